// Connects the decision logic of an agent (Agent) to the process: links from entries, the endpoint
// and the timer.
#pragma once

#include "core/agent.h"
#include "runtime/admin_view.h"
#include "runtime/clock.h"
#include "runtime/endpoint_client.h"
#include "runtime/link_hub.h"
#include "runtime/observer.h"
#include "runtime/settings.h"
#include "runtime/timer.h"

#include <string>
#include <system_error>

namespace caraway {

class AgentHost final
  : public AgentPort
  , public LinkHandler
  , public EndpointHandler
  , public AdminView
{
public:
  AgentHost(const AgentSettings& aSettings, Peer aSelf, const Clock& aClock, Random& aRandom,
            Poller& aPoller, Observer& aObserver);

  // Opens the listener for entries.
  std::error_code Start();
  std::uint16_t Port() const { return this->hub.Port(); }

  std::string StatusJson() const override;
  const ConfigState& Config() const override { return this->agent.Config(); }
  void BeginLeaving() override;
  bool IsLeaving() const override { return this->leaving; }
  bool IsDone() const override;

  void Send(NodeId aTo, const Message& aMessage) override;
  void Dispatch(const RequestId& aId, WorkKind aKind, const std::string& aRoute,
                const std::string& aBody) override;
  void Abort(const RequestId& aId) override;
  void Probe() override;
  void Order(LogOffset aFencing, const std::string& aBody) override;
  void Note(const Event& aEvent) override;

  void OnPeerUp(Peer aPeer, const Hello& aHello) override;
  void OnPeerDown(NodeId aNode, LinkEnd aEnd) override;
  void OnPeerMessage(Peer aFrom, const Message& aMessage) override;
  void OnRefusedFrame(std::string_view aCause) override;

  void OnWorkChunk(const RequestId& aId, std::uint32_t aTokens, const std::string& aData) override;
  void OnWorkEnd(const RequestId& aId, const WorkResult& aResult) override;
  void OnProbe(bool aReachable) override;
  void OnOrderDone(LogOffset aFencing, bool aAccepted) override;

private:
  void AfterInput();
  void AnnounceChanges();

  AgentSettings settings;
  const Clock& clock;
  Observer& observer;
  EndpointClient endpoint;
  LinkHub hub;
  Agent agent;
  bool leaving = false;
  Hello announced;
  TimePoint announcedAt{};
  bool isHintTimerArmed = false;
  TimePoint armedFor = kNever;
  Timer timer;
  Timer hintTimer;
};

} // namespace caraway
