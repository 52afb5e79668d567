#include "gateway/endpoint_agent.h"

#include "direct/rate_news.h"
#include "runtime/log.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>

namespace caraway::gateway {

namespace {

using std::chrono::milliseconds;

// A report from the same VM normally takes well under a millisecond.
constexpr Duration kReportTimeout = milliseconds(400);
// A report lists each run: some hundred bytes for each of a few hundred runs.
constexpr std::uint64_t kMaxReportBytes = 256 << 10;
// Share of the request rate that the endpoint names for reports, and the longest report period: an
// endpoint that names a rate of zero still gets one in this time.
constexpr double kReportRateShare = 0.1;
constexpr Duration kMaxReportPeriod = milliseconds(2500);
// Calls get at least this share of the named rate, also where reports take more than theirs.
constexpr double kMinCallShare = 0.5;

} // namespace

EndpointAgent::EndpointAgent(const AgentSettings& aSettings, const Peer& aSelf, Poller& aPoller,
                             const Clock& aClock, const ReportReader& aReports)
  : settings(aSettings)
  , clock(aClock)
  , reports(aReports)
  , pool(aPoller, aClock)
  , net(aPoller, aSelf, *this)
  , queue(aSettings.queue, *this)
  , reportTimer([this] { this->RequestReport(); })
  , stateTimer([this] { this->SendStates(); })
  , queueTimer([this] {
    this->armedFor = kNever;
    this->queue.OnTimer(this->Now());
    this->AfterInput();
  })
{
}

std::error_code EndpointAgent::Start()
{
  const std::error_code error = this->net.Bind(this->settings.listen);
  if (!error) {
    this->RequestReport();
    this->stateTimer.ArmAfter(this->settings.statePeriod);
  }
  return error;
}

direct::AgentState EndpointAgent::State() const
{
  direct::AgentState state = this->queue.State();
  state.endpointBornMs = this->report.bornMs;
  state.isReachable = this->isReachable;
  state.isLeaving = this->report.isLeaving;
  return state;
}

void EndpointAgent::SendFromQueue(const Address& aEntry, const direct::QueueMessage& aMessage)
{
  this->net.Send(aEntry, direct::ToDirectMessage(aMessage));
  const auto* offer = std::get_if<direct::OfferSlot>(&aMessage);
  if (offer == nullptr) {
    return;
  }
  this->offerCount++;
  const direct::SlotQueue& slotQueue = this->queue.Queue();
  LogEvent(
    LogLevel::kInfo, "offered",
    { { "entry", aEntry.host },
      { "call", std::to_string(offer->call) },
      { "taken", std::to_string(slotQueue.Taken()) },
      { "limit", std::to_string(slotQueue.Limit()) },
      { "waiting", std::to_string(slotQueue.WaitingCount()) },
      { "prefill", std::to_string(slotQueue.PendingPrefill()) },
      { "report_age_ms", std::to_string((this->Now() - this->lastReportAt) / milliseconds(1)) } });
}

void EndpointAgent::OnPeerMessage(const Address& aFrom, const Peer& aPeer,
                                  const direct::DirectMessage& aMessage)
{
  const std::optional<direct::QueueMessage> message = direct::ToQueueMessage(aMessage);
  if (!message) {
    return;
  }
  if (this->queue.OnMessage(this->Now(), aFrom, aPeer, *message)) {
    LogEvent(LogLevel::kInfo, "entry_heard", { { "entry", FormatAddress(aFrom) } });
    this->net.Send(aFrom, this->State());
    if (const auto news = direct::NewsOf(this->Now(), this->namedRate, this->report.bornMs, true)) {
      this->net.Send(aFrom, *news);
    }
    if (const auto news = this->ColdNews()) {
      this->net.Send(aFrom, *news);
    }
  }
  if (const auto* news = std::get_if<direct::RateNews>(&*message)) {
    if (const auto read = direct::ReadNews(this->Now(), *news, this->report.bornMs)) {
      this->AddRate(*read, aFrom.host);
    }
  }
  if (const auto* news = std::get_if<direct::ColdNews>(&*message)) {
    this->OnColdNews(*news, aFrom.host);
  }
  if (this->queue.Slots() != this->slots) {
    this->slots = this->queue.Slots();
    this->UpdateLimit();
  }
}

void EndpointAgent::OnPeerMessagesDone()
{
  this->AfterInput();
}

void EndpointAgent::RequestReport()
{
  const TimePoint now = this->Now();
  if (now < this->pausedUntil) {
    this->reportTimer.ArmAfter(this->pausedUntil - now);
    return;
  }
  if (this->reportExchange.expired() && now >= this->nextReportAt) {
    EndpointRequest request;
    request.address = this->settings.endpoint;
    request.bytes = this->reports.WriteReportRequest();
    request.connectTimeout = kReportTimeout;
    request.maxBodyBytes = kMaxReportBytes;
    this->reportRequestedAt = now;
    this->reportCount++;
    this->reportHead = {};
    this->reportBody.clear();
    this->nextReportAt = now + this->ReportPeriod();
    this->reportExchange = this->pool.Send(std::move(request), *this);
  } else if (!this->reportExchange.expired() && now - this->reportRequestedAt > kReportTimeout) {
    this->pool.Cancel(this->reportExchange);
    this->reportExchange.reset();
  }
  this->UpdateColdPhase("time");
  const Duration extraPeriod = this->ReportPeriod() - this->settings.reportPeriod;
  if (this->isReachable &&
      now - this->lastReportAt > this->settings.endpointTimeout + extraPeriod) {
    this->isReachable = false;
    LogEvent(LogLevel::kWarning, "endpoint_silent",
             { { "endpoint", FormatAddress(this->settings.endpoint) } });
    this->UpdateLimit();
    this->AfterInput();
  }
  this->reportTimer.ArmAfter(this->settings.reportPeriod);
}

void EndpointAgent::OnHead(const ResponseHead& aHead)
{
  this->reportHead = aHead;
  const direct::EndpointNotice notice = this->reports.ParseNotice(aHead);
  if (notice.rest > Duration::zero()) {
    // The endpoint is alive, so missing reports during the pause must not mark it as unreachable.
    this->pausedUntil = this->Now() + notice.rest;
    this->lastReportAt = std::max(this->lastReportAt, this->pausedUntil);
    LogEvent(LogLevel::kInfo, "endpoint_rests",
             { { "endpoint", FormatAddress(this->settings.endpoint) },
               { "rest_ms", std::to_string(notice.rest / milliseconds(1)) } });
  }
}

void EndpointAgent::OnBody(std::string_view aData)
{
  this->reportBody.append(aData);
}

void EndpointAgent::OnEnd(ExchangeEnd aEnd)
{
  this->reportExchange.reset();
  if (aEnd == ExchangeEnd::kComplete) {
    const auto read = this->reports.ReadReport(this->reportHead, this->reportBody);
    if (read) {
      this->ApplyReport(*read);
      const direct::EndpointNotice notice = this->reports.ParseNotice(this->reportHead);
      if (notice.isRateKnown) {
        this->AddRate({ notice.maxRate, this->reportRequestedAt, this->Now() }, "report");
      }
      if (notice.coldRemaining) {
        this->AddColdNotice(*notice.coldRemaining);
      }
      this->AfterInput();
      return;
    }
  }
  // A refused connection means that no process is listening.
  if (aEnd == ExchangeEnd::kUnsent && this->isReachable) {
    this->isReachable = false;
    LogEvent(LogLevel::kWarning, "endpoint_down",
             { { "endpoint", FormatAddress(this->settings.endpoint) } });
    this->UpdateLimit();
    this->AfterInput();
  }
}

void EndpointAgent::ApplyReport(const EndpointReport& aReport)
{
  const bool hasChanged = !this->isReachable || aReport.bornMs != this->report.bornMs ||
                          aReport.isLeaving != this->report.isLeaving;
  if (aReport.bornMs != this->report.bornMs) {
    this->namedRate = {};
    this->cold = {};
  }
  if (aReport.bornMs != this->report.bornMs || !this->isReachable) {
    this->SuspectCold(aReport);
  }
  this->report = aReport;
  this->lastReportAt = this->Now();
  this->isReachable = true;
  if (hasChanged) {
    LogEvent(LogLevel::kInfo, "endpoint_seen",
             { { "born_ms", std::to_string(aReport.bornMs) },
               { "leaving", aReport.isLeaving ? "true" : "false" } });
    this->UpdateColdPhase("report");
    this->UpdateLimit();
    this->SendStates();
  }
}

// Applies a request rate that the endpoint named; aSource: who received the answer.
void EndpointAgent::AddRate(const direct::RateObservation& aObservation, std::string_view aSource)
{
  if (!this->namedRate.Add(aObservation)) {
    return;
  }
  // The answer shows that the endpoint lives, and the time of the next report depends on the rate.
  this->lastReportAt = std::max(this->lastReportAt, aObservation.latest);
  this->nextReportAt = std::min(this->nextReportAt, this->Now() + this->ReportPeriod());
  const std::optional<double> rate = this->namedRate.PerSecond();
  LogEvent(LogLevel::kInfo, "endpoint_rate",
           { { "endpoint", FormatAddress(this->settings.endpoint) },
             { "born_ms", std::to_string(this->report.bornMs) },
             { "per_s", rate ? std::to_string(*rate) : "none" },
             { "source", std::string(aSource) },
             { "report_ms", std::to_string(this->ReportPeriod() / milliseconds(1)) },
             { "reports", std::to_string(this->reportCount) } });
  this->UpdateLimit();
  if (const auto news = direct::NewsOf(this->Now(), this->namedRate, this->report.bornMs, true)) {
    this->queue.SendToAll(*news);
  }
}

// Reports are requests to the endpoint too: they take a small share of the rate that it names.
Duration EndpointAgent::ReportPeriod() const
{
  const std::optional<double> rate = this->namedRate.PerSecond();
  if (!rate) {
    return this->settings.reportPeriod;
  }
  const auto byRate = std::chrono::duration<double>(1 / std::max(*rate * kReportRateShare, 1e-3));
  return std::clamp(std::chrono::duration_cast<Duration>(byRate), this->settings.reportPeriod,
                    kMaxReportPeriod);
}

void EndpointAgent::UpdateLimit()
{
  const bool mayOffer = this->isReachable && !this->report.isLeaving;
  this->queue.SetLimit(
    this->Now(), mayOffer && this->slots > 0 ? this->slots + this->settings.extraRequests : 0);
  std::optional<double> callRate = this->namedRate.EnforcedRate();
  if (callRate) {
    const double reportRate = 1 / SecondsOf(this->ReportPeriod());
    callRate = std::max(*callRate - reportRate, *callRate * kMinCallShare);
  }
  const direct::RateBounds bounds =
    direct::BoundsOf(this->coldLimits, this->isCold, direct::RateHolder::kAgent);
  this->queue.SetMaxInSecond(this->Now(), bounds.maxInSecond);
  this->queue.SetRate(this->Now(), direct::LowerRate(callRate, bounds.perSecond));
}

std::string EndpointAgent::MetricsText() const
{
  const direct::SlotQueue& slotQueue = this->queue.Queue();
  prometheus::Registry registry;
  const auto add = [&registry](const char* aName, const char* aHelp, double aValue) {
    prometheus::BuildGauge().Name(aName).Help(aHelp).Register(registry).Add({}).Set(aValue);
  };
  add("caraway_agent_limit", "Requests that may be at the endpoint at once", slotQueue.Limit());
  add("caraway_agent_taken", "Slots offered or used", slotQueue.Taken());
  add("caraway_agent_waiting", "Reservations in the queue",
      static_cast<double>(slotQueue.WaitingCount()));
  add("caraway_agent_prefill_tokens", "Prompt tokens before their first event",
      slotQueue.PendingPrefill());
  add("caraway_agent_offers_total", "Offers since the start",
      static_cast<double>(this->offerCount));
  add("caraway_agent_reports_total", "Reports requested from the endpoint",
      static_cast<double>(this->reportCount));
  add("caraway_agent_named_rate", "Requests per second that the endpoint names; -1 if none",
      this->namedRate.PerSecond().value_or(-1));
  add("caraway_agent_endpoint_cold", "The endpoint is cold or suspected of it",
      this->isCold ? 1 : 0);
  add("caraway_agent_endpoint_reachable", "The endpoint answers", this->isReachable ? 1 : 0);
  add("caraway_agent_entries", "Entries heard", static_cast<double>(this->queue.EntryCount()));
  add("caraway_log_lines_dropped", "Log lines beyond the bound, since the start",
      static_cast<double>(DroppedLogLines()));
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

void EndpointAgent::SendStates()
{
  const TimePoint now = this->Now();
  this->queue.SendStates(now, this->State(),
                         direct::NewsOf(now, this->namedRate, this->report.bornMs, true),
                         this->ColdNews());
  this->net.Flush();
  this->stateTimer.ArmAfter(this->settings.statePeriod);
}

void EndpointAgent::AfterInput()
{
  this->net.Flush();
  const TimePoint next = this->queue.NextTimer(this->Now());
  if (next < this->armedFor) {
    this->armedFor = next;
    this->queueTimer.ArmAfter(next - this->Now());
  }
}

} // namespace caraway::gateway
