// Conversion between Address and sockaddr_in. Supports only IPv4, the only version on the platform.
#pragma once

#include "runtime/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <optional>

namespace caraway {

inline std::optional<sockaddr_in> ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port);
  if (inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

inline Address FromSocketAddress(const sockaddr_in& aAddress)
{
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &aAddress.sin_addr, text, sizeof(text));
  return Address{ text, ntohs(aAddress.sin_port) };
}

inline const sockaddr* AsGeneric(const sockaddr_in& aAddress)
{
  return reinterpret_cast<const sockaddr*>(&aAddress);
}

inline sockaddr* AsGeneric(sockaddr_in& aAddress)
{
  return reinterpret_cast<sockaddr*>(&aAddress);
}

} // namespace caraway
