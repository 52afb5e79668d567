#include "direct/messages.h"

#include "core/memory_stream.h"

#include <cereal/archives/portable_binary.hpp>

#include <istream>
#include <ostream>

namespace caraway::direct {

std::string EncodeDatagram(const Datagram& aDatagram)
{
  std::string bytes;
  StringBuffer buffer(bytes);
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(aDatagram);
  return bytes;
}

std::optional<Datagram> DecodeDatagram(std::string_view aBytes)
{
  MemoryBuffer buffer(aBytes);
  std::istream stream(&buffer);
  Datagram datagram;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(datagram);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  if (buffer.in_avail() > 0) {
    return std::nullopt;
  }
  return datagram;
}

} // namespace caraway::direct
