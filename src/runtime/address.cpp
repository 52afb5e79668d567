#include "runtime/address.h"

#include <gio/gio.h>

#include <charconv>

namespace caraway {

std::optional<Address> ParseAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  const std::string_view port = aText.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  Address address{ std::string(host), 0 };
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
  const bool isComplete = error == std::errc{} && end == port.data() + port.size();
  if (!isComplete || !g_hostname_is_ip_address(address.host.c_str())) {
    return std::nullopt;
  }
  return address;
}

std::string FormatAddress(const Address& aAddress)
{
  const bool isIpv6 = aAddress.host.find(':') != std::string::npos;
  const std::string host = isIpv6 ? "[" + aAddress.host + "]" : aAddress.host;
  return host + ":" + std::to_string(aAddress.port);
}

} // namespace caraway
