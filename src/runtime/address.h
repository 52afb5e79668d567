// IP address and port of a listener or peer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace caraway {

// Listen backlog. GLib's default of 10 causes connection resets during a burst.
constexpr int kListenBacklog = 4096;

struct Address
{
  std::string host; // numeric IP address, not a host name
  std::uint16_t port = 0;

  friend bool operator==(const Address&, const Address&) = default;
  friend bool operator<(const Address& aLeft, const Address& aRight)
  {
    return std::tie(aLeft.host, aLeft.port) < std::tie(aRight.host, aRight.port);
  }
};

// Parses "ip:port" or "[ip6]:port"; nullopt for host names and malformed text.
std::optional<Address> ParseAddress(std::string_view aText);

std::string FormatAddress(const Address& aAddress);

} // namespace caraway
