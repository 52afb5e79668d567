#include "tools/event_order.h"

#include <algorithm>
#include <array>
#include <map>
#include <queue>

namespace caraway {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Which side of a message an event belongs to.
enum class Side : std::uint8_t
{
  kEntry,
  kAgent,
};

// A step of a request that is caused by a message from another process.
struct MessageRule
{
  Side sender;
  std::string_view cause;
  std::string_view effect; // at the other side
};

// Messages between entry and agent, by the events on both sides. Events may be missing on either
// side.
constexpr std::array kRules = {
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

// Effects of each event.
using Graph = std::vector<std::vector<std::size_t>>;

void AddEdge(Graph& aNext, std::vector<std::size_t>& aWaiting, std::size_t aFrom, std::size_t aTo)
{
  aNext[aFrom].push_back(aTo);
  ++aWaiting[aTo];
}

// Events of one process follow each other.
void AddSequences(const std::vector<ReportedEvent>& aEvents, Graph& aNext,
                  std::vector<std::size_t>& aWaiting)
{
  std::map<std::string, std::vector<std::size_t>> byNode;
  for (std::size_t index = 0; index < aEvents.size(); ++index) {
    byNode[aEvents[index].node].push_back(index);
  }
  for (auto& [node, list] : byNode) {
    std::ranges::sort(list, {}, [&](std::size_t aIndex) { return aEvents[aIndex].sequence; });
    for (std::size_t place = 1; place < list.size(); ++place) {
      AddEdge(aNext, aWaiting, list[place - 1], list[place]);
    }
  }
}

// Events of one request at one process, in their sequence.
struct RequestAtNode
{
  std::vector<std::size_t> events;
  Side side = Side::kEntry;
};

using RequestByNode = std::map<std::string, RequestAtNode>;

// Events of one kind that may concern the other process.
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

// Messages about one request from one process to another: the first cause goes with the first
// effect, and so on.
void AddMessagesBetween(const std::vector<ReportedEvent>& aEvents,
                        const RequestByNode::value_type& aFrom,
                        const RequestByNode::value_type& aTo, Graph& aNext,
                        std::vector<std::size_t>& aWaiting)
{
  for (const MessageRule& rule : kRules) {
    if (rule.sender != aFrom.second.side) {
      continue;
    }
    const auto causes = Select(aEvents, aFrom.second, rule.cause, aTo.first);
    const auto effects = Select(aEvents, aTo.second, rule.effect, aFrom.first);
    for (std::size_t index = 0; index < std::min(causes.size(), effects.size()); ++index) {
      AddEdge(aNext, aWaiting, causes[index], effects[index]);
    }
  }
}

void AddMessages(const std::vector<ReportedEvent>& aEvents, Graph& aNext,
                 std::vector<std::size_t>& aWaiting)
{
  std::map<std::string, RequestByNode> requests;
  for (std::size_t index = 0; index < aEvents.size(); ++index) {
    const ReportedEvent& event = aEvents[index];
    if (event.request.empty()) {
      continue;
    }
    RequestAtNode& here = requests[event.request][event.node];
    here.events.push_back(index);
    if (event.kind == "offered" || event.kind == "dispatched") {
      here.side = Side::kAgent;
    }
  }
  for (auto& [request, nodes] : requests) {
    for (auto& [node, here] : nodes) {
      std::ranges::sort(here.events, {},
                        [&](std::size_t aIndex) { return aEvents[aIndex].sequence; });
    }
    for (const auto& from : nodes) {
      for (const auto& to : nodes) {
        if (from.second.side != to.second.side) {
          AddMessagesBetween(aEvents, from, to, aNext, aWaiting);
        }
      }
    }
  }
}

// Event to go on with when the messages contradict each other: the earliest one that is next in the
// sequence of its process.
std::size_t BreakTie(const std::vector<ReportedEvent>& aEvents, const std::vector<bool>& aDone)
{
  std::map<std::string, std::size_t> heads;
  for (std::size_t index = 0; index < aEvents.size(); ++index) {
    if (aDone[index]) {
      continue;
    }
    const auto [head, isNew] = heads.try_emplace(aEvents[index].node, index);
    if (!isNew && aEvents[index].sequence < aEvents[head->second].sequence) {
      head->second = index;
    }
  }
  const auto earliest = std::ranges::min_element(
    heads, {}, [&](const auto& aHead) { return aEvents[aHead.second].ordered; });
  return earliest->second;
}

// Puts an effect behind its cause. The next event of the same process keeps its distance, so that a
// clock that is behind is corrected from there on.
void RaiseTime(const ReportedEvent& aCause, ReportedEvent& aEffect)
{
  const bool sameProcess = aCause.node == aEffect.node;
  const auto shift = sameProcess ? aCause.ordered - aCause.wall : milliseconds(0);
  aEffect.ordered = std::max({ aEffect.ordered, aCause.ordered, aEffect.wall + shift });
}

std::string TextOf(const Json& aJson, const char* aName)
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
    event.node = TextOf(item, "node");
    event.sequence = item.value("seq", std::uint64_t{ 0 });
    event.wall = WallTime(milliseconds(item.value("wall_ms", std::int64_t{ 0 })) + aOffset);
    event.kind = TextOf(item, "kind");
    event.request = TextOf(item, "request");
    event.peer = TextOf(item, "peer");
    event.json = item;
    events.push_back(std::move(event));
  }
  return events;
}

void OrderEvents(std::vector<ReportedEvent>& aEvents)
{
  Graph next(aEvents.size());
  std::vector<std::size_t> waiting(aEvents.size(), 0);
  AddSequences(aEvents, next, waiting);
  AddMessages(aEvents, next, waiting);
  using Ready = std::pair<WallTime, std::size_t>;
  std::priority_queue<Ready, std::vector<Ready>, std::greater<>> ready;
  for (std::size_t index = 0; index < aEvents.size(); ++index) {
    aEvents[index].ordered = aEvents[index].wall;
    if (waiting[index] == 0) {
      ready.emplace(aEvents[index].ordered, index);
    }
  }
  std::vector<std::size_t> order;
  std::vector<bool> done(aEvents.size(), false);
  while (order.size() < aEvents.size()) {
    const std::size_t index = ready.empty() ? BreakTie(aEvents, done) : ready.top().second;
    if (!ready.empty()) {
      ready.pop();
    }
    if (done[index]) {
      continue;
    }
    done[index] = true;
    order.push_back(index);
    for (const std::size_t effect : next[index]) {
      RaiseTime(aEvents[index], aEvents[effect]);
      if (--waiting[effect] == 0) {
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
