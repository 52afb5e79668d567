#include "core/event.h"

#include <array>

namespace caraway {

namespace {

constexpr std::array<std::string_view, 21> kNames = {
  "accepted", "reserved",  "offered",   "granted", "dispatched", "first_token", "finished",
  "refused",  "withdrawn", "cancelled", "peer_up", "peer_down",  "config",      "move",
  "claim",    "endpoint",  "limit",     "suspect", "leaving",    "security",    "violation",
};

} // namespace

std::string_view ToString(EventKind aKind)
{
  return kNames.at(static_cast<std::size_t>(aKind));
}

} // namespace caraway
