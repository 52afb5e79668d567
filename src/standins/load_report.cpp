#include "standins/load_report.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <sstream>

namespace caraway {

namespace {

constexpr int kBins = 600;
constexpr double kLowest = 0.01;    // milliseconds
constexpr double kHighest = 600000; // milliseconds
constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;
constexpr double kP99 = 0.99;
constexpr int kColumn = 10; // characters

using Milliseconds = std::chrono::duration<double, std::milli>;

double InMilliseconds(Duration aTime)
{
  return Milliseconds(aTime).count();
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : bins(boost::histogram::make_histogram(Axis(kBins, kLowest, kHighest)))
{
}

void LatencyHistogram::Add(Duration aLatency)
{
  this->bins(InMilliseconds(aLatency));
  ++this->count;
}

Duration LatencyHistogram::Quantile(double aShare) const
{
  const double wanted = aShare * static_cast<double>(this->count);
  double seen = 0;
  for (int bin = -1; bin <= kBins && this->count > 0; ++bin) {
    seen += this->bins.at(bin);
    if (seen >= wanted && seen > 0) {
      const double upper = bin >= kBins ? kHighest : this->bins.axis().bin(bin).upper();
      return std::chrono::duration_cast<Duration>(Milliseconds(upper));
    }
  }
  return Duration::zero();
}

void LoadReport::Add(const LoadSample& aSample)
{
  TierCounts& tier = this->tiers.at(aSample.tier);
  ++tier.sent;
  ++tier.results.at(static_cast<std::size_t>(aSample.result));
  tier.inTime += aSample.inTime ? 1 : 0;
  if (!aSample.reason.empty()) {
    ++tier.reasons[aSample.reason];
  }
  if (aSample.hasFirstToken) {
    tier.firstToken.Add(aSample.firstToken);
  }
}

void LoadReport::AddTokenGap(Tier aTier, Duration aGap)
{
  this->tiers.at(aTier).tokenGap.Add(aGap);
}

std::uint64_t LoadReport::Sent() const
{
  std::uint64_t sent = 0;
  for (const TierCounts& tier : this->tiers) {
    sent += tier.sent;
  }
  return sent;
}

std::uint64_t LoadReport::Count(LoadResult aResult) const
{
  std::uint64_t count = 0;
  for (const TierCounts& tier : this->tiers) {
    count += tier.results.at(static_cast<std::size_t>(aResult));
  }
  return count;
}

std::string LoadReport::Json() const
{
  nlohmann::json list = nlohmann::json::array();
  nlohmann::json totals{ { "sent", this->Sent() }, { "retries", this->retries } };
  for (std::size_t index = 0; index < kLoadResults; ++index) {
    const auto result = static_cast<LoadResult>(index);
    totals[std::string(ToString(result))] = this->Count(result);
  }
  std::uint64_t inTime = 0;
  for (std::size_t index = 0; index < kTierCount; ++index) {
    const TierCounts& tier = this->tiers.at(index);
    inTime += tier.inTime;
    nlohmann::json row{ { "tier", index },
                        { "sent", tier.sent },
                        { "in_time", tier.inTime },
                        { "reasons", tier.reasons },
                        { "first_token_ms_p50", InMilliseconds(tier.firstToken.Quantile(kMedian)) },
                        { "first_token_ms_p95", InMilliseconds(tier.firstToken.Quantile(kP95)) },
                        { "first_token_ms_p99", InMilliseconds(tier.firstToken.Quantile(kP99)) },
                        { "token_gap_ms_p95", InMilliseconds(tier.tokenGap.Quantile(kP95)) } };
    for (std::size_t result = 0; result < kLoadResults; ++result) {
      row[std::string(ToString(static_cast<LoadResult>(result)))] = tier.results.at(result);
    }
    list.push_back(std::move(row));
  }
  totals["in_time"] = inTime;
  totals["tiers"] = std::move(list);
  return totals.dump(2);
}

std::string LoadReport::Table() const
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(1);
  for (const char* head : { "tier", "sent", "in_time", "goodput%" }) {
    out << std::setw(kColumn) << head;
  }
  for (std::size_t result = 0; result < kLoadResults; ++result) {
    out << std::setw(kColumn) << ToString(static_cast<LoadResult>(result));
  }
  out << std::setw(kColumn) << "ttft_p50" << std::setw(kColumn) << "ttft_p95" << std::setw(kColumn)
      << "gap_p95"
      << "\n";
  for (std::size_t index = 0; index < kTierCount; ++index) {
    const TierCounts& tier = this->tiers.at(index);
    const double share =
      tier.sent == 0 ? 0
                     : 100.0 * static_cast<double>(tier.inTime) / static_cast<double>(tier.sent);
    out << std::setw(kColumn) << index << std::setw(kColumn) << tier.sent << std::setw(kColumn)
        << tier.inTime << std::setw(kColumn) << share;
    for (const std::uint64_t count : tier.results) {
      out << std::setw(kColumn) << count;
    }
    out << std::setw(kColumn) << InMilliseconds(tier.firstToken.Quantile(kMedian))
        << std::setw(kColumn) << InMilliseconds(tier.firstToken.Quantile(kP95))
        << std::setw(kColumn) << InMilliseconds(tier.tokenGap.Quantile(kP95)) << "\n";
  }
  return out.str();
}

} // namespace caraway
