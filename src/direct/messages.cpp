#include "direct/messages.h"

#include "core/cereal_bytes.h"

namespace caraway::direct {

std::string EncodeDatagram(const Datagram& aDatagram)
{
  return ToBytes(aDatagram);
}

std::optional<Datagram> DecodeDatagram(std::string_view aBytes)
{
  return FromBytes<Datagram>(aBytes);
}

} // namespace caraway::direct
