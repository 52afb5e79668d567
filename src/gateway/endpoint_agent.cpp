#include "gateway/endpoint_agent.h"

#include "runtime/log.h"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <utility>

namespace caraway::gateway {

namespace {

using std::chrono::milliseconds;

// A report takes well under a millisecond on the same machine.
constexpr Duration kReportTimeout = milliseconds(400);
// A report names each run; some hundred bytes for each of a few hundred runs.
constexpr std::uint64_t kMaxReportBytes = 256 << 10;

} // namespace

EndpointAgent::EndpointAgent(const AgentSettings& aSettings, const Peer& aSelf, Poller& aPoller,
                             const Clock& aClock, const ReportReader& aReports)
  : settings(aSettings)
  , clock(aClock)
  , reports(aReports)
  , pool(aPoller, aClock)
  , net(aPoller, aSelf, *this)
  , queue(aSettings.queue, *this)
  , reportTimer([this] { this->AskReport(); })
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
    this->AskReport();
    this->stateTimer.ArmAfter(this->settings.statePeriod);
  }
  return error;
}

direct::AgentState EndpointAgent::State() const
{
  direct::AgentState state;
  state.endpointBornMs = this->report.bornMs;
  state.isReachable = this->isReachable;
  state.isLeaving = this->report.isLeaving;
  state.limit = this->queue.Limit();
  state.taken = this->queue.Taken();
  state.pendingPrefill = this->queue.PendingPrefill();
  state.waiting = this->queue.Waiting();
  const Pace& pace = this->queue.FirstEvents();
  state.firstEventBaseUs = static_cast<std::uint32_t>(pace.FirstToken(0).count());
  state.firstEventPer1000Us =
    static_cast<std::uint32_t>((pace.FirstToken(1000) - pace.FirstToken(0)).count());
  for (const auto& [node, row] : this->entries) {
    state.entries.push_back(row.address.host);
  }
  return state;
}

void EndpointAgent::OfferSlotTo(const Peer& aHolder, direct::CallNumber aCall)
{
  const auto found = this->entries.find(aHolder.node);
  if (found != this->entries.end()) {
    this->offersMade++;
    this->net.Send(found->second.address, direct::OfferSlot{ aCall });
    LogEvent(
      LogLevel::kInfo, "offered",
      { { "entry", found->second.address.host },
        { "call", std::to_string(aCall) },
        { "taken", std::to_string(this->queue.Taken()) },
        { "limit", std::to_string(this->queue.Limit()) },
        { "waiting", std::to_string(this->queue.WaitingCount()) },
        { "prefill", std::to_string(this->queue.PendingPrefill()) },
        { "report_age_ms", std::to_string((this->Now() - this->reportedAt) / milliseconds(1)) } });
  }
}

void EndpointAgent::OnPeerMessage(const Address& aFrom, const Peer& aPeer,
                                  const direct::DirectMessage& aMessage)
{
  const TimePoint now = this->Now();
  EntryRow& row = this->entries[aPeer.node];
  const bool isNew = row.heardAt == TimePoint{};
  row.address = aFrom;
  row.heardAt = now;
  if (isNew) {
    LogEvent(LogLevel::kInfo, "entry_heard", { { "entry", FormatAddress(aFrom) } });
    this->net.Send(aFrom, this->State());
  }
  if (const auto* reserve = std::get_if<direct::ReserveSlot>(&aMessage)) {
    row.holds = true;
    this->queue.Reserve(now, aPeer, *reserve);
  } else if (const auto* withdraw = std::get_if<direct::WithdrawSlot>(&aMessage)) {
    this->queue.Withdraw(now, aPeer, withdraw->call);
  } else if (const auto* use = std::get_if<direct::UseSlot>(&aMessage)) {
    row.holds = true;
    this->queue.Use(now, aPeer, *use);
  } else if (const auto* begin = std::get_if<direct::BeginAnswer>(&aMessage)) {
    this->queue.BeginAnswer(now, aPeer, begin->call);
  } else if (const auto* release = std::get_if<direct::ReleaseSlot>(&aMessage)) {
    this->queue.Release(now, aPeer, release->call);
  } else if (const auto* state = std::get_if<direct::HoldState>(&aMessage)) {
    row.holds = !state->waiting.empty() || !state->running.empty();
    if (state->slots != this->slots) {
      this->slots = state->slots;
      this->UpdateLimit();
    }
    this->queue.Reconcile(now, aPeer, *state);
  }
}

void EndpointAgent::OnPeerMessagesDone()
{
  this->AfterInput();
}

void EndpointAgent::AskReport()
{
  const TimePoint now = this->Now();
  if (now < this->restsUntil) {
    this->reportTimer.ArmAfter(this->restsUntil - now);
    return;
  }
  if (this->asking.expired()) {
    EndpointRequest request;
    request.address = this->settings.endpoint;
    request.bytes = this->reports.WriteReportRequest();
    request.connectTimeout = kReportTimeout;
    request.maxBodyBytes = kMaxReportBytes;
    this->askedAt = now;
    this->reportHead = {};
    this->reportBody.clear();
    this->asking = this->pool.Send(std::move(request), *this);
  } else if (now - this->askedAt > kReportTimeout) {
    this->pool.Cancel(this->asking);
    this->asking.reset();
  }
  if (this->isReachable && now - this->reportedAt > this->settings.endpointSilence) {
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
  const direct::EndpointNotice notice = this->reports.NoticeOf(aHead);
  if (notice.rest > Duration::zero()) {
    // It lives and answers: neither the rest nor what is not heard during it is a sign of trouble.
    this->restsUntil = this->Now() + notice.rest;
    this->reportedAt = std::max(this->reportedAt, this->restsUntil);
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
  this->asking.reset();
  if (aEnd == ExchangeEnd::kComplete) {
    const auto read = this->reports.ReadReport(this->reportHead, this->reportBody);
    if (read) {
      this->TakeReport(*read);
      this->AfterInput();
      return;
    }
  }
  // A refused connection shows at once that no process listens.
  if (aEnd == ExchangeEnd::kUnsent && this->isReachable) {
    this->isReachable = false;
    LogEvent(LogLevel::kWarning, "endpoint_down",
             { { "endpoint", FormatAddress(this->settings.endpoint) } });
    this->UpdateLimit();
    this->AfterInput();
  }
}

void EndpointAgent::TakeReport(const EndpointReport& aReport)
{
  const bool changed = !this->isReachable || aReport.bornMs != this->report.bornMs ||
                       aReport.isLeaving != this->report.isLeaving;
  this->report = aReport;
  this->reportedAt = this->Now();
  this->isReachable = true;
  if (changed) {
    LogEvent(LogLevel::kInfo, "endpoint_seen",
             { { "born_ms", std::to_string(aReport.bornMs) },
               { "leaving", aReport.isLeaving ? "true" : "false" } });
    this->UpdateLimit();
    this->SendStates();
  }
}

void EndpointAgent::UpdateLimit()
{
  const bool mayOffer = this->isReachable && !this->report.isLeaving;
  this->queue.SetLimit(
    this->Now(), mayOffer && this->slots > 0 ? this->slots + this->settings.extraRequests : 0);
}

std::string EndpointAgent::MetricsText() const
{
  prometheus::Registry registry;
  const auto add = [&registry](const char* aName, const char* aHelp, double aValue) {
    prometheus::BuildGauge().Name(aName).Help(aHelp).Register(registry).Add({}).Set(aValue);
  };
  add("caraway_agent_limit", "Requests that may be at the endpoint at once", this->queue.Limit());
  add("caraway_agent_taken", "Slots offered or used", this->queue.Taken());
  add("caraway_agent_waiting", "Reservations in the queue",
      static_cast<double>(this->queue.WaitingCount()));
  add("caraway_agent_prefill_tokens", "Prompt tokens before their first event",
      this->queue.PendingPrefill());
  add("caraway_agent_offers_total", "Offers since the start",
      static_cast<double>(this->offersMade));
  add("caraway_agent_endpoint_reachable", "The endpoint answers", this->isReachable ? 1 : 0);
  add("caraway_agent_entries", "Entries heard", static_cast<double>(this->entries.size()));
  add("caraway_log_lines_dropped", "Log lines beyond the bound, since the start",
      static_cast<double>(DroppedLogLines()));
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

void EndpointAgent::SendStates()
{
  const TimePoint now = this->Now();
  std::erase_if(this->entries, [&](const auto& aRow) {
    return now - aRow.second.heardAt > this->settings.entrySilence;
  });
  const direct::AgentState state = this->State();
  std::uint32_t index = ++this->stateRound;
  for (const auto& [node, row] : this->entries) {
    const bool isItsTurn = index++ % this->settings.idleStatePeriods == 0;
    if (row.holds || isItsTurn) {
      this->net.Send(row.address, state);
    }
  }
  this->net.Flush();
  this->stateTimer.ArmAfter(this->settings.statePeriod);
}

void EndpointAgent::AfterInput()
{
  this->net.Flush();
  const TimePoint next = this->queue.NextTimer();
  if (next < this->armedFor) {
    this->armedFor = next;
    this->queueTimer.ArmAfter(next - this->Now());
  }
}

} // namespace caraway::gateway
