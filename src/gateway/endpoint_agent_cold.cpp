// The agent's part in cold endpoints: what it knows about its own one, and the limits by entries.
#include "direct/cold_news.h"
#include "gateway/endpoint_agent.h"
#include "runtime/log.h"

#include <algorithm>

namespace caraway::gateway {

namespace {

using std::chrono::milliseconds;

// Difference between the clocks of the endpoint and of the agent, beyond which the age of the
// process is not that of its report.
constexpr Duration kClockMargin = milliseconds(2500);
// Entries tell the limits with each of their states; these end when no entry tells them any more.
constexpr Duration kLimitsTimeout = std::chrono::seconds(5);

} // namespace

// A process that an agent finds at its own start may have run for long: its age is used. One that
// replaced another, or comes back after silence, counts as just started.
void EndpointAgent::SuspectCold(const EndpointReport& aReport)
{
  const caraway::Now now = this->clock.Read();
  Duration age{};
  if (this->lastReportAt == TimePoint{} && aReport.bornMs > 0) {
    age = now.wall.time_since_epoch() - milliseconds(aReport.bornMs);
    age = std::clamp<Duration>(age - kClockMargin, Duration::zero(), now.steady.time_since_epoch());
  }
  this->cold.Suspect(now.steady - age);
}

void EndpointAgent::OnColdNews(const direct::ColdNews& aNews, std::string_view aSource)
{
  const direct::ColdLimits limits = direct::LimitsIn(aNews);
  const auto stated = direct::StatementIn(this->Now(), aNews, this->report.bornMs);
  const bool isNew = stated && this->cold.Add(*stated);
  this->coldLimitsAt = this->Now();
  if (isNew || limits != this->coldLimits) {
    this->coldLimits = limits;
    this->UpdateColdPhase(aSource);
    this->UpdateLimit();
  }
}

void EndpointAgent::AddColdNotice(Duration aRemaining)
{
  const TimePoint now = this->Now();
  if (this->cold.Add({ now + aRemaining, this->reportRequestedAt, now })) {
    this->UpdateColdPhase("report");
  }
}

void EndpointAgent::UpdateColdPhase(std::string_view aSource)
{
  const TimePoint now = this->Now();
  if (this->coldLimits.IsSet() && now - this->coldLimitsAt > kLimitsTimeout) {
    this->coldLimits = {};
    this->UpdateLimit();
  }
  const TimePoint until = this->cold.Until(this->coldLimits);
  const bool isCold = this->coldLimits.IsSet() && now < until;
  if (isCold == this->isCold) {
    return;
  }
  this->isCold = isCold;
  LogEvent(LogLevel::kInfo, "endpoint_cold",
           { { "endpoint", FormatAddress(this->settings.endpoint) },
             { "born_ms", std::to_string(this->report.bornMs) },
             { "phase", isCold ? "cold" : "warm" },
             { "remaining_ms", std::to_string(isCold ? (until - now) / milliseconds(1) : 0) },
             { "source", std::string(aSource) },
             { "report_age_ms", std::to_string((now - this->lastReportAt) / milliseconds(1)) } });
  this->UpdateLimit();
}

std::optional<direct::ColdNews> EndpointAgent::ColdNews() const
{
  return this->isCold ? std::optional(direct::QueueColdNewsOf(
                          this->Now(), this->cold, this->coldLimits, this->report.bornMs))
                      : std::nullopt;
}

} // namespace caraway::gateway
