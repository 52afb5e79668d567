// Frames between processes: 4-byte length in network byte order, payload, MAC. The payload is an
// Envelope in cereal's portable binary format, or empty for a heartbeat.
#pragma once

#include "core/messages.h"

#include <glib.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace caraway {

constexpr std::size_t kNonceBytes = 16;
constexpr std::size_t kMacBytes = 16; // HMAC-SHA256 truncated to 128 bits (RFC 2104, section 5)
constexpr std::size_t kFrameLengthBytes = 4;
constexpr std::size_t kClusterKeyBytes = 32;

using Nonce = std::array<std::uint8_t, kNonceBytes>;
using ClusterKey = std::array<std::uint8_t, kClusterKeyBytes>;
using Mac = std::array<std::uint8_t, kMacBytes>;

// Direction of a frame: sent by the process that opened the connection or by the one that accepted
// it.
enum class Direction : std::uint8_t
{
  kFromDialer = 1,
  kFromListener = 2,
};

// Generates a nonce with the random number generator of the operating system.
Nonce GenerateNonce();

// Key of one connection, derived from the cluster key and both nonces. Computes the MAC of a frame
// over its direction, sequence number and payload.
class SessionKey
{
public:
  SessionKey(const ClusterKey& aKey, const Nonce& aDialer, const Nonce& aListener);

  Mac ComputeMac(Direction aDirection, std::uint64_t aSequence, std::string_view aPayload) const;

private:
  struct HmacFree
  {
    void operator()(GHmac* aHmac) const;
  };
  std::unique_ptr<GHmac, HmacFree> keyedHmac; // copied for each frame
};

// Compares two MACs in constant time.
bool MacsEqual(const Mac& aLeft, std::string_view aRight);

std::string EncodeEnvelope(const Envelope& aEnvelope);

// Returns nullopt unless aBytes is exactly one envelope.
std::optional<Envelope> DecodeEnvelope(std::string_view aBytes);

// Appends one frame with aPayload to aBuffer.
void AppendFrame(std::string& aBuffer, const SessionKey& aKey, Direction aDirection,
                 std::uint64_t aSequence, std::string_view aPayload);

// Reads the payload length from the first four bytes of aBytes.
std::uint32_t ReadFrameLength(std::string_view aBytes);

} // namespace caraway
