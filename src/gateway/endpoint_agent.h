// The agent beside a model engine: runs the queue before the engine's slots for all entries, and
// watches the engine through its own fresh report. It carries no request itself, so its end cuts
// none.
#pragma once

#include "gateway/dialect.h"
#include "gateway/peer_net.h"
#include "gateway/queue_server.h"
#include "runtime/clock.h"
#include "runtime/endpoint_pool.h"
#include "runtime/timer.h"

#include <string>
#include <system_error>

namespace caraway::gateway {

struct AgentSettings
{
  Address listen;                                         // for datagrams of entries
  Address endpoint;                                       // the engine beside it
  Duration reportPeriod = std::chrono::milliseconds(200); // of the engine's report
  Duration statePeriod = std::chrono::milliseconds(200);  // of AgentState to entries that hold here
  // An engine that did not answer for this long counts as down; some periods of its report.
  Duration endpointSilence = std::chrono::milliseconds(700);
  // Requests at the engine beyond its slots: one that waits there fills the slot that falls free
  // without a round trip.
  std::uint32_t extraRequests = 0;
  QueueServerOptions queue;
};

class EndpointAgent final
  : private QueueServerPort
  , private PeerMessageHandler
  , private ExchangeHandler
{
public:
  EndpointAgent(const AgentSettings& aSettings, const Peer& aSelf, Poller& aPoller,
                const Clock& aClock, const ReportReader& aReports);

  std::error_code Start();
  std::uint16_t Port() const { return this->net.Port(); }
  direct::AgentState State() const;
  // Metrics in the text format of Prometheus.
  std::string MetricsText() const;

private:
  void SendFromQueue(const Address& aEntry, const direct::QueueMessage& aMessage) override;
  void OnPeerMessage(const Address& aFrom, const Peer& aPeer,
                     const direct::DirectMessage& aMessage) override;
  void OnPeerMessagesDone() override;
  void OnHead(const ResponseHead& aHead) override;
  void OnBody(std::string_view aData) override;
  void OnEnd(ExchangeEnd aEnd) override;

  void AskReport();
  void TakeReport(const EndpointReport& aReport);
  void UpdateLimit();
  void SendStates();
  void AfterInput();
  TimePoint Now() const { return this->clock.Read().steady; }

  AgentSettings settings;
  const Clock& clock;
  const ReportReader& reports;
  EndpointPool pool;
  PeerNet net;
  QueueServer queue;
  std::uint32_t slots = 0; // of the engine, as entries know it
  EndpointReport report;
  TimePoint reportedAt{};
  bool isReachable = false;
  std::weak_ptr<EndpointExchange> asking;
  ResponseHead reportHead;
  TimePoint restsUntil{}; // the engine asked for a rest
  std::string reportBody;
  TimePoint askedAt{};
  std::uint64_t offersMade = 0;
  TimePoint armedFor = kNever;
  Timer reportTimer;
  Timer stateTimer;
  Timer queueTimer;
};

} // namespace caraway::gateway
