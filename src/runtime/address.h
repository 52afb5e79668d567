// IP number and port of a listener or peer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace caraway {

// Connections that may wait to be accepted. GLib's default of 10 resets peers in a burst.
constexpr int kListenBacklog = 4096;

struct Address
{
  std::string host; // IP number, no name
  std::uint16_t port = 0;

  friend bool operator==(const Address&, const Address&) = default;
  friend auto operator<=>(const Address&, const Address&) = default;
};

// Reads "ip:port" or "[ip6]:port"; nullopt for host names and malformed text.
std::optional<Address> ParseAddress(std::string_view aText);

std::string FormatAddress(const Address& aAddress);

} // namespace caraway
