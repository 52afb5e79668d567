#include "bench/report.h"

#include <boost/format.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace caraway::bench {

namespace {

constexpr double kPlotWidth = 520;
constexpr double kPlotHeight = 220;
constexpr double kPlotMargin = 40;
constexpr std::array<std::string_view, 6> kColours = { "#1b6ca8", "#c0392b", "#d68910",
                                                       "#7d3c98", "#239b56", "#566573" };

// Puts the values into the places of a printf-like pattern.
template<class... Values>
std::string Fill(const char* aPattern, const Values&... aValues)
{
  boost::format text(aPattern);
  ((text % aValues), ...);
  return text.str();
}

std::string Percent(double aShare)
{
  return Fill("%.1f%%", aShare * 100);
}

nlohmann::json TierJson(const TierResult& aTier)
{
  nlohmann::json json;
  json["calls"] = aTier.calls;
  json["good"] = aTier.good;
  json["goodput"] = aTier.Share();
  json["late"] = aTier.late;
  json["refused"] = aTier.refused;
  json["cut"] = aTier.cut;
  json["unknown"] = aTier.unknown;
  return json;
}

nlohmann::json ResultJson(const RunResult& aResult)
{
  nlohmann::json json;
  json["policy"] = aResult.policy;
  json["load"] = aResult.load;
  json["capacity_per_second"] = aResult.capacity;
  json["good_per_second"] = aResult.goodPerSecond;
  json["tiers"] = nlohmann::json::array();
  for (const TierResult& tier : aResult.tiers) {
    json["tiers"].push_back(TierJson(tier));
  }
  json["refusals"] = aResult.refusals;
  json["first_token_ms"] = aResult.firstToken;
  json["inter_token_ms"] = aResult.interToken;
  json["prefill_run"] = aResult.prefillRun;
  json["prefill_wasted"] = aResult.prefillWasted;
  json["control_messages_per_request"] = aResult.controlPerRequest;
  json["messages_per_request"] = aResult.messagesPerRequest;
  json["violations"] = aResult.violations;
  json["signature"] = Fill("%016x", aResult.signature);
  return json;
}

// Policies in the order in which they first appear.
std::vector<std::string> PoliciesOf(std::span<const RunResult> aResults)
{
  std::vector<std::string> names;
  for (const RunResult& result : aResults) {
    if (std::find(names.begin(), names.end(), result.policy) == names.end()) {
      names.push_back(result.policy);
    }
  }
  return names;
}

// One line for each policy: goodput of a tier over the load.
void PlotTier(std::ostream& aOut, std::span<const RunResult> aResults, std::size_t aTier)
{
  double highest = 0;
  for (const RunResult& result : aResults) {
    highest = std::max(highest, result.load);
  }
  aOut << Fill("<svg width=\"%s\" height=\"%s\" font-family=\"sans-serif\" font-size=\"11\">",
               kPlotWidth + 180, kPlotHeight + 2 * kPlotMargin);
  aOut << Fill("<text x=\"%s\" y=\"18\">goodput of tier %s by load</text>", kPlotMargin, aTier);
  for (int step = 0; step <= 4; ++step) {
    const double y = kPlotMargin + kPlotHeight * (1 - step / 4.0);
    aOut << Fill("<line x1=\"%1%\" x2=\"%2%\" y1=\"%3%\" y2=\"%3%\" stroke=\"#ddd\"/>"
                 "<text x=\"2\" y=\"%3%\">%4%%%</text>",
                 kPlotMargin, kPlotMargin + kPlotWidth, y, step * 25);
  }
  std::size_t colour = 0;
  for (const std::string& policy : PoliciesOf(aResults)) {
    std::string points;
    for (const RunResult& result : aResults) {
      if (result.policy == policy) {
        const double x = kPlotMargin + kPlotWidth * result.load / highest;
        const double y = kPlotMargin + kPlotHeight * (1 - result.tiers.at(aTier).Share());
        points += Fill("%.1f,%.1f ", x, y);
      }
    }
    const std::string_view stroke = kColours.at(colour % kColours.size());
    aOut << Fill("<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>"
                 "<text x=\"%s\" y=\"%s\" fill=\"%s\">%s</text>",
                 points, stroke, kPlotMargin + kPlotWidth + 10,
                 kPlotMargin + 16.0 * static_cast<double>(colour), stroke, policy);
    ++colour;
  }
  aOut << "</svg>\n";
}

void PrintRow(std::ostream& aOut, const RunResult& aResult)
{
  aOut << Fill("<tr><td>%s</td><td>%.2f</td><td>%.1f</td>", aResult.policy, aResult.load,
               aResult.goodPerSecond);
  for (const TierResult& tier : aResult.tiers) {
    aOut << "<td>" << Percent(tier.Share()) << "</td>";
  }
  aOut << Fill("<td>%.0f / %.0f / %.0f</td><td>%.1f / %.1f / %.1f</td>", aResult.firstToken[0],
               aResult.firstToken[1], aResult.firstToken[2], aResult.interToken[0],
               aResult.interToken[1], aResult.interToken[2]);
  aOut << Fill("<td>%s</td><td>%.1f</td><td>%016x</td></tr>\n", Percent(aResult.WastedShare()),
               aResult.controlPerRequest, aResult.signature);
}

} // namespace

std::uint64_t SignatureOf(std::span<const RunResult> aResults)
{
  std::uint64_t signature = 0;
  for (const RunResult& result : aResults) {
    const std::string text = std::to_string(result.signature);
    signature = HashOf(text, signature);
  }
  return signature;
}

void PrintText(std::ostream& aOut, const RunResult& aResult)
{
  aOut << Fill("policy=%s load=%.2f capacity=%.1f/s good=%.1f/s (%s of capacity)\n", aResult.policy,
               aResult.load, aResult.capacity, aResult.goodPerSecond,
               Percent(aResult.goodPerSecond / aResult.capacity));
  for (std::size_t i = 0; i < aResult.tiers.size(); ++i) {
    const TierResult& tier = aResult.tiers.at(i);
    aOut << Fill("  tier %s calls=%s goodput=%.4f late=%s refused=%s cut=%s unknown=%s\n", i,
                 tier.calls, tier.Share(), tier.late, tier.refused, tier.cut, tier.unknown);
  }
  aOut << Fill("  first_token_ms p50=%.1f p95=%.1f p99=%.1f  inter_token_ms p50=%.1f "
               "p95=%.1f p99=%.1f\n",
               aResult.firstToken[0], aResult.firstToken[1], aResult.firstToken[2],
               aResult.interToken[0], aResult.interToken[1], aResult.interToken[2]);
  aOut << Fill("  prefill_wasted=%s of %s (%.2f%%)  messages_per_request control=%.1f "
               "all=%.1f  violations=%s\n  refusals",
               aResult.prefillWasted, aResult.prefillRun, aResult.WastedShare() * 100,
               aResult.controlPerRequest, aResult.messagesPerRequest, aResult.violations);
  for (const auto& [reason, count] : aResult.refusals) {
    aOut << " " << reason << "=" << count;
  }
  aOut << "\n  refused_while_lower_tier_ran";
  for (const std::uint64_t count : aResult.inversions) {
    aOut << " " << count;
  }
  aOut << Fill("\n  decisions=%s signature=%016x\n", aResult.decisions, aResult.signature);
}

void PrintJson(std::ostream& aOut, std::span<const RunResult> aResults)
{
  nlohmann::json json;
  json["signature"] = Fill("%016x", SignatureOf(aResults));
  json["runs"] = nlohmann::json::array();
  for (const RunResult& result : aResults) {
    json["runs"].push_back(ResultJson(result));
  }
  aOut << json.dump(2) << "\n";
}

void PrintHtml(std::ostream& aOut, std::span<const RunResult> aResults)
{
  aOut << "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>caraway-bench</title><style>"
          "body{font-family:sans-serif}td,th{padding:2px 8px;text-align:right;border-bottom:1px "
          "solid #ddd}</style></head><body><h1>caraway-bench</h1>\n";
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    PlotTier(aOut, aResults, tier);
  }
  aOut << "<table><tr><th>policy</th><th>load</th><th>good/s</th><th>tier 0</th><th>tier 1</th>"
          "<th>tier 2</th><th>tier 3</th><th>first token ms p50/95/99</th><th>between tokens ms "
          "p50/95/99</th><th>prefill wasted</th><th>control messages per request</th>"
          "<th>signature</th></tr>\n";
  for (const RunResult& result : aResults) {
    PrintRow(aOut, result);
  }
  aOut << Fill("</table><p>signature=%016x</p></body></html>\n", SignatureOf(aResults));
}

} // namespace caraway::bench
