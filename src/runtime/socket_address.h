// Conversion between Address and socket addresses. Datagrams and listeners use IPv4 only.
#pragma once

#include "runtime/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstring>
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

// Address of either IP version.
struct AnySocketAddress
{
  sockaddr_storage storage{};
  socklen_t size = 0;
};

inline std::optional<AnySocketAddress> ToAnySocketAddress(const Address& aAddress)
{
  AnySocketAddress address;
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
  if (inet_pton(AF_INET6, aAddress.host.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(aAddress.port);
    address.size = sizeof(sockaddr_in6);
    return address;
  }
  const std::optional<sockaddr_in> v4 = ToSocketAddress(aAddress);
  if (!v4) {
    return std::nullopt;
  }
  std::memcpy(&address.storage, &*v4, sizeof(*v4));
  address.size = sizeof(sockaddr_in);
  return address;
}

} // namespace caraway
