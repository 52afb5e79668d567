// Test fixture: an agent with a recording host and a simulated clock.
#pragma once

#include "core/agent.h"
#include "core/uuid.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace caraway {

// Records the agent's calls to its host.
class RecordingAgentPort final : public AgentPort
{
public:
  void Note(const Event& aEvent) override { this->events.push_back(aEvent); }
  void Send(NodeId aTo, const Message& aMessage) override
  {
    this->sent.emplace_back(aTo, aMessage);
  }
  void Dispatch(const RequestId& aId, WorkKind, const std::string&, const std::string&) override
  {
    this->dispatched.push_back(aId);
  }
  void Abort(const RequestId& aId) override { this->aborted.push_back(aId); }
  void Probe() override { this->probes++; }
  void Order(LogOffset aFencing, const std::string&) override { this->orders.push_back(aFencing); }

  std::size_t Count(EventKind aKind) const
  {
    return static_cast<std::size_t>(
      std::count_if(this->events.begin(), this->events.end(),
                    [aKind](const Event& aEvent) { return aEvent.kind == aKind; }));
  }

  std::vector<Event> events;
  std::vector<std::pair<NodeId, Message>> sent;
  std::vector<RequestId> dispatched;
  std::vector<RequestId> aborted;
  std::vector<LogOffset> orders;
  int probes = 0;
};

// An agent with two connected entries, "left" and "right".
struct AgentFixture
{
  explicit AgentFixture(const AgentOptions& aOptions = AgentOptions{})
    : agent(aOptions, AgentIdentity{ "agent-1", "fife", "fife-a", "tiny", "v1", false },
            this->random, this->port)
  {
    this->agent.OnPeerUp(this->now, this->left, Hello{});
    this->agent.OnPeerUp(this->now, this->right, Hello{});
  }

  RequestId NewId() { return MakeUuid7(this->now.wall, this->random); }

  // Advances the clock and runs every timer that becomes due.
  void Advance(Duration aTime)
  {
    const TimePoint end = this->now.steady + aTime;
    for (TimePoint next = this->agent.NextTimer(); next <= end; next = this->agent.NextTimer()) {
      this->MoveTo(std::max(next, this->now.steady));
      this->agent.OnTimer(this->now);
    }
    this->MoveTo(end);
  }

  void MoveTo(TimePoint aTime)
  {
    this->now.wall += std::chrono::duration_cast<milliseconds>(aTime - this->now.steady);
    this->now.steady = aTime;
  }

  Reserve MakeReserve(Tier aTier = 1)
  {
    Reserve reserve;
    reserve.id = this->NewId();
    reserve.account = "shop";
    reserve.tier = aTier;
    reserve.startWithin = seconds(1);
    reserve.endWithin = seconds(30);
    reserve.promptTokens = 100;
    reserve.outputTokens = 50;
    reserve.fingerprint = reserve.id.low;
    return reserve;
  }

  void From(Peer aPeer, const Message& aMessage)
  {
    this->agent.OnMessage(this->now, aPeer, aMessage);
  }

  // Messages of one type sent for a request.
  template<class Kind>
  std::vector<Kind> SentOf(const RequestId& aId) const
  {
    std::vector<Kind> found;
    for (const auto& [to, message] : this->port.sent) {
      const Kind* body = std::get_if<Kind>(&message);
      if (body != nullptr && body->id == aId) {
        found.push_back(*body);
      }
    }
    return found;
  }

  template<class Kind>
  bool HasSent(const RequestId& aId) const
  {
    return !this->SentOf<Kind>(aId).empty();
  }

  void GrantOffer(Peer aPeer, const RequestId& aId, LogOffset aClaim = kNoOffset)
  {
    this->From(aPeer, Grant{ aId, this->SentOf<Offer>(aId).back().offer, "{}", aClaim });
  }

  // Reserves and grants a slot; one must be free.
  RequestId Run(const Reserve& aReserve, LogOffset aClaim = kNoOffset)
  {
    this->From(this->left, aReserve);
    this->GrantOffer(this->left, aReserve.id, aClaim);
    return aReserve.id;
  }

  RequestId Run(Tier aTier = 1) { return this->Run(this->MakeReserve(aTier)); }

  void Chunk(const RequestId& aId, const std::string& aData = "x ")
  {
    this->agent.OnWorkChunk(this->now, aId, 1, aData);
  }

  void End(const RequestId& aId, WorkEnd aEnd = WorkEnd::kComplete)
  {
    WorkResult result;
    result.end = aEnd;
    this->agent.OnWorkEnd(this->now, aId, result);
  }

  Now now{ TimePoint{ seconds(1000) }, WallTime{ seconds(1764816512) } };
  Random random{ 7 };
  RecordingAgentPort port;
  Peer left{ NodeIdOf("left"), Incarnation{ 1 } };
  Peer right{ NodeIdOf("right"), Incarnation{ 1 } };
  Agent agent;
};

} // namespace caraway
