#include "tools/event_order.h"

#include <algorithm>
#include <array>
#include <map>
#include <queue>

namespace caraway {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Role of a process in the handling of a request.
enum class Side : std::uint8_t
{
  kEntry,
  kAgent,
};

// Two events of a request, the first at the sender of a message, the second at its receiver.
struct MessageRule
{
  Side sender;
  std::string_view cause;
  std::string_view effect; // at the receiver
};

// Messages between entry and agent, identified by the events at both. Either event may be missing.
constexpr std::array kMessageRules = {
  MessageRule{ Side::kEntry, "accepted", "offered" },
  MessageRule{ Side::kEntry, "reserved", "offered" },
  MessageRule{ Side::kEntry, "accepted", "refused" },
  MessageRule{ Side::kEntry, "reserved", "refused" },
  MessageRule{ Side::kAgent, "offered", "granted" },
  MessageRule{ Side::kEntry, "granted", "dispatched" },
  MessageRule{ Side::kAgent, "dispatched", "first_token" },
  MessageRule{ Side::kAgent, "first_token", "first_token" },
  MessageRule{ Side::kAgent, "dispatched", "finished" },
  MessageRule{ Side::kAgent, "finished", "finished" },
  MessageRule{ Side::kEntry, "cancelled", "cancelled" },
};

// Indices of each event's direct effects.
using Graph = std::vector<std::vector<std::size_t>>;

void AddEdge(Graph& aEffects, std::vector<std::size_t>& aPendingCauses, std::size_t aFrom,
             std::size_t aTo)
{
  aEffects[aFrom].push_back(aTo);
  ++aPendingCauses[aTo];
}

// Adds an edge between successive events of each process.
void AddSequenceEdges(const std::vector<ReportedEvent>& aEvents, Graph& aEffects,
                      std::vector<std::size_t>& aPendingCauses)
{
  std::map<std::string, std::vector<std::size_t>> byNode;
  for (std::size_t index = 0; index < aEvents.size(); ++index) {
    byNode[aEvents[index].node].push_back(index);
  }
  for (auto& [node, list] : byNode) {
    std::ranges::sort(list, {}, [&](std::size_t aIndex) { return aEvents[aIndex].sequence; });
    for (std::size_t position = 1; position < list.size(); ++position) {
      AddEdge(aEffects, aPendingCauses, list[position - 1], list[position]);
    }
  }
}

// Events of one request at one process, by sequence number.
struct RequestAtNode
{
  std::vector<std::size_t> events;
  Side side = Side::kEntry;
};

using RequestByNode = std::map<std::string, RequestAtNode>;

// Events of one kind whose peer is the other process or not named.
std::vector<std::size_t> Select(const std::vector<ReportedEvent>& aEvents,
                                const RequestAtNode& aRequest, std::string_view aKind,
                                const std::string& aOther)
{
  std::vector<std::size_t> found;
  std::ranges::copy_if(aRequest.events, std::back_inserter(found), [&](std::size_t aIndex) {
    const ReportedEvent& event = aEvents[aIndex];
    return event.kind == aKind && (event.peer.empty() || event.peer == aOther);
  });
  return found;
}

// Adds an edge for each message about one request from one process to another, pairing causes and
// effects of a rule in order.
void AddMessageEdgesBetween(const std::vector<ReportedEvent>& aEvents,
                            const RequestByNode::value_type& aFrom,
                            const RequestByNode::value_type& aTo, Graph& aEffects,
                            std::vector<std::size_t>& aPendingCauses)
{
  for (const MessageRule& rule : kMessageRules) {
    if (rule.sender != aFrom.second.side) {
      continue;
    }
    const auto causes = Select(aEvents, aFrom.second, rule.cause, aTo.first);
    const auto effects = Select(aEvents, aTo.second, rule.effect, aFrom.first);
    for (std::size_t index = 0; index < std::min(causes.size(), effects.size()); ++index) {
      AddEdge(aEffects, aPendingCauses, causes[index], effects[index]);
    }
  }
}

void AddMessageEdges(const std::vector<ReportedEvent>& aEvents, Graph& aEffects,
                     std::vector<std::size_t>& aPendingCauses)
{
  std::map<std::string, RequestByNode> requests;
  for (std::size_t index = 0; index < aEvents.size(); ++index) {
    const ReportedEvent& event = aEvents[index];
    if (event.request.empty()) {
      continue;
    }
    RequestAtNode& requestAtNode = requests[event.request][event.node];
    requestAtNode.events.push_back(index);
    if (event.kind == "offered" || event.kind == "dispatched") {
      requestAtNode.side = Side::kAgent;
    }
  }
  for (auto& [request, nodes] : requests) {
    for (auto& [node, requestAtNode] : nodes) {
      std::ranges::sort(requestAtNode.events, {},
                        [&](std::size_t aIndex) { return aEvents[aIndex].sequence; });
    }
    for (const auto& from : nodes) {
      for (const auto& to : nodes) {
        if (from.second.side != to.second.side) {
          AddMessageEdgesBetween(aEvents, from, to, aEffects, aPendingCauses);
        }
      }
    }
  }
}

// Chooses the next event when the messages form a cycle: the earliest one among the first remaining
// events of each process.
std::size_t PickFromCycle(const std::vector<ReportedEvent>& aEvents,
                          const std::vector<bool>& aIsOrdered)
{
  std::map<std::string, std::size_t> earliestByNode;
  for (std::size_t index = 0; index < aEvents.size(); ++index) {
    if (aIsOrdered[index]) {
      continue;
    }
    const auto [earliestAtNode, isNew] = earliestByNode.try_emplace(aEvents[index].node, index);
    if (!isNew && aEvents[index].sequence < aEvents[earliestAtNode->second].sequence) {
      earliestAtNode->second = index;
    }
  }
  const auto earliest = std::ranges::min_element(
    earliestByNode, {}, [&](const auto& aHead) { return aEvents[aHead.second].ordered; });
  return earliest->second;
}

// Raises the time of an effect to at least that of its cause. Within a process the correction
// carries over to the next event, so that a clock that is behind is corrected from there on.
void MoveAfterCause(const ReportedEvent& aCause, ReportedEvent& aEffect)
{
  const bool isSameProcess = aCause.node == aEffect.node;
  const auto shift = isSameProcess ? aCause.ordered - aCause.wall : milliseconds(0);
  aEffect.ordered = std::max({ aEffect.ordered, aCause.ordered, aEffect.wall + shift });
}

std::string StringMember(const Json& aJson, const char* aName)
{
  const auto found = aJson.find(aName);
  return found != aJson.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

std::vector<ReportedEvent> ReadEvents(const std::string& aText, milliseconds aOffset)
{
  std::vector<ReportedEvent> events;
  const Json root = Json::parse(aText, nullptr, false);
  if (!root.is_object() || !root.contains("events") || !root["events"].is_array()) {
    return events;
  }
  for (const Json& item : root["events"]) {
    if (!item.is_object()) {
      continue;
    }
    ReportedEvent event;
    event.node = StringMember(item, "node");
    event.sequence = item.value("seq", std::uint64_t{ 0 });
    event.wall = WallTime(milliseconds(item.value("wall_ms", std::int64_t{ 0 })) + aOffset);
    event.kind = StringMember(item, "kind");
    event.request = StringMember(item, "request");
    event.peer = StringMember(item, "peer");
    event.json = item;
    events.push_back(std::move(event));
  }
  return events;
}

void OrderEvents(std::vector<ReportedEvent>& aEvents)
{
  Graph effects(aEvents.size());
  std::vector<std::size_t> pendingCauses(aEvents.size(), 0);
  AddSequenceEdges(aEvents, effects, pendingCauses);
  AddMessageEdges(aEvents, effects, pendingCauses);
  using Ready = std::pair<WallTime, std::size_t>;
  std::priority_queue<Ready, std::vector<Ready>, std::greater<>> ready;
  for (std::size_t index = 0; index < aEvents.size(); ++index) {
    aEvents[index].ordered = aEvents[index].wall;
    if (pendingCauses[index] == 0) {
      ready.emplace(aEvents[index].ordered, index);
    }
  }
  std::vector<std::size_t> order;
  std::vector<bool> isOrdered(aEvents.size(), false);
  while (order.size() < aEvents.size()) {
    const std::size_t index =
      ready.empty() ? PickFromCycle(aEvents, isOrdered) : ready.top().second;
    if (!ready.empty()) {
      ready.pop();
    }
    if (isOrdered[index]) {
      continue;
    }
    isOrdered[index] = true;
    order.push_back(index);
    for (const std::size_t effect : effects[index]) {
      MoveAfterCause(aEvents[index], aEvents[effect]);
      if (--pendingCauses[effect] == 0) {
        ready.emplace(aEvents[effect].ordered, effect);
      }
    }
  }
  std::vector<ReportedEvent> sorted;
  sorted.reserve(aEvents.size());
  for (const std::size_t index : order) {
    sorted.push_back(std::move(aEvents[index]));
  }
  aEvents = std::move(sorted);
}

} // namespace caraway
