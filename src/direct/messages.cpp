#include "direct/messages.h"

#include "core/cereal_bytes.h"

namespace caraway::direct {

DirectMessage ToDirectMessage(const QueueMessage& aMessage)
{
  return std::visit([](const auto& aOne) -> DirectMessage { return aOne; }, aMessage);
}

std::optional<QueueMessage> ToQueueMessage(const DirectMessage& aMessage)
{
  return std::visit(
    [](const auto& aOne) -> std::optional<QueueMessage> {
      if constexpr (std::is_constructible_v<QueueMessage, decltype(aOne)>) {
        return aOne;
      }
      return std::nullopt;
    },
    aMessage);
}

std::string EncodeDatagram(const Datagram& aDatagram)
{
  return ToBytes(aDatagram);
}

std::optional<Datagram> DecodeDatagram(std::string_view aBytes)
{
  return FromBytes<Datagram>(aBytes);
}

} // namespace caraway::direct
