#include "tools/time_text.h"

#include <glib.h>

#include <charconv>

namespace caraway {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxRelativeCount = 1000000; // units in a relative time

// Length of a time unit; zero if the unit is unknown.
milliseconds UnitLength(std::string_view aUnit)
{
  if (aUnit == "s") {
    return std::chrono::seconds(1);
  }
  if (aUnit == "m") {
    return std::chrono::minutes(1);
  }
  return aUnit == "h" ? milliseconds(std::chrono::hours(1)) : milliseconds(0);
}

std::optional<WallTime> ParseIso(const std::string& aText)
{
  GTimeZone* utc = g_time_zone_new_utc();
  GDateTime* time = g_date_time_new_from_iso8601(aText.c_str(), utc);
  g_time_zone_unref(utc);
  if (time == nullptr) {
    return std::nullopt;
  }
  const std::int64_t ms =
    g_date_time_to_unix(time) * 1000 + g_date_time_get_microsecond(time) / 1000;
  g_date_time_unref(time);
  return WallTime(milliseconds(ms));
}

} // namespace

std::optional<WallTime> ParseTime(const std::string& aText, WallTime aNow)
{
  std::int64_t count = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, count);
  const milliseconds unit =
    UnitLength(std::string_view(rest, static_cast<std::size_t>(end - rest)));
  if (error == std::errc{} && unit > milliseconds(0) && count > 0 && count <= kMaxRelativeCount) {
    return aNow + count * unit;
  }
  return ParseIso(aText);
}

std::string FormatTime(WallTime aTime)
{
  const std::int64_t ms = aTime.time_since_epoch().count();
  GDateTime* time = g_date_time_new_from_unix_utc(ms / 1000);
  if (time == nullptr) {
    return std::to_string(ms);
  }
  char* text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S");
  std::string fraction = std::to_string(1000 + ms % 1000);
  std::string result = std::string(text) + "." + fraction.substr(1) + "Z";
  g_free(text);
  g_date_time_unref(time);
  return result;
}

} // namespace caraway
