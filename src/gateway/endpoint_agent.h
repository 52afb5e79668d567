// The agent on the VM of a model engine: queues the reservations of all entries for the engine's
// slots and monitors the engine by polling its status report. Requests do not pass through the
// agent, so its termination interrupts none.
#pragma once

#include "direct/cold_rate.h"
#include "direct/named_rate.h"
#include "gateway/peer_net.h"
#include "gateway/protocol_adapter.h"
#include "gateway/queue_server.h"
#include "runtime/clock.h"
#include "runtime/endpoint_pool.h"
#include "runtime/timer.h"

#include <string>
#include <system_error>

namespace caraway::gateway {

struct AgentSettings
{
  Address listen;                                         // for datagrams from entries
  Address endpoint;                                       // the engine on the same VM
  Duration reportPeriod = std::chrono::milliseconds(200); // polling of the engine's report
  Duration statePeriod =
    std::chrono::milliseconds(200); // of AgentState to entries with slots or reservations here
  // An engine without a report for this long counts as down; covers several report periods.
  Duration endpointTimeout = std::chrono::milliseconds(700);
  // Requests sent to the engine beyond its slots: one that is queued there takes a freed slot
  // without a network round trip.
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
  // Metrics in the Prometheus text format.
  std::string MetricsText() const;

private:
  void SendFromQueue(const Address& aEntry, const direct::QueueMessage& aMessage) override;
  void OnPeerMessage(const Address& aFrom, const Peer& aPeer,
                     const direct::DirectMessage& aMessage) override;
  void OnPeerMessagesDone() override;
  void OnHead(const ResponseHead& aHead) override;
  void OnBody(std::string_view aData) override;
  void OnEnd(ExchangeEnd aEnd) override;

  void RequestReport();
  void ApplyReport(const EndpointReport& aReport);
  void AddRate(const direct::RateObservation& aObservation, std::string_view aSource);
  // Applies what an entry or the endpoint says about its cold times; aSource: who.
  void OnColdNews(const direct::ColdNews& aNews, std::string_view aSource);
  void AddColdNotice(Duration aRemaining);
  // The endpoint's process aReport is seen for the first time, or again after silence.
  void SuspectCold(const EndpointReport& aReport);
  void UpdateColdPhase(std::string_view aSource);
  std::optional<direct::ColdNews> ColdNews() const;
  Duration ReportPeriod() const;
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
  std::uint32_t slots = 0; // of the engine, as reported by entries
  EndpointReport report;
  TimePoint lastReportAt{};
  bool isReachable = false;
  std::weak_ptr<EndpointExchange> reportExchange;
  ResponseHead reportHead;
  TimePoint pausedUntil{}; // end of the Retry-After period that the engine requested
  std::string reportBody;
  TimePoint reportRequestedAt{};
  TimePoint nextReportAt{};
  std::uint64_t offerCount = 0;
  std::uint64_t reportCount = 0; // reports requested
  direct::NamedRate namedRate;
  direct::ColdLimits coldLimits; // as told by entries
  TimePoint coldLimitsAt{};
  direct::ColdState cold;
  bool isCold = false;
  TimePoint armedFor = kNever;
  Timer reportTimer;
  Timer stateTimer;
  Timer queueTimer;
};

} // namespace caraway::gateway
