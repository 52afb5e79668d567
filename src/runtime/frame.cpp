#include "runtime/frame.h"

#include "core/cereal_bytes.h"

#include <glib.h>
#include <sys/random.h>

#include <cstring>
#include <system_error>

namespace caraway {

namespace {

constexpr std::size_t kDigestBytes = 32;

using Digest = std::array<std::uint8_t, kDigestBytes>;

void Update(GHmac* aHmac, const void* aData, std::size_t aSize)
{
  g_hmac_update(aHmac, static_cast<const guchar*>(aData), static_cast<gssize>(aSize));
}

Digest FinishDigest(GHmac* aHmac)
{
  Digest digest{};
  gsize size = digest.size();
  g_hmac_get_digest(aHmac, digest.data(), &size);
  return digest;
}

std::array<std::uint8_t, 8> BigEndian(std::uint64_t aValue)
{
  std::array<std::uint8_t, 8> bytes{};
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    bytes[i] = static_cast<std::uint8_t>(aValue >> (56 - 8 * i));
  }
  return bytes;
}

} // namespace

Nonce GenerateNonce()
{
  Nonce nonce{};
  if (getrandom(nonce.data(), nonce.size(), 0) != static_cast<ssize_t>(nonce.size())) {
    throw std::system_error(errno, std::generic_category(), "getrandom");
  }
  return nonce;
}

void SessionKey::HmacFree::operator()(GHmac* aHmac) const
{
  g_hmac_unref(aHmac);
}

SessionKey::SessionKey(const ClusterKey& aKey, const Nonce& aDialer, const Nonce& aListener)
{
  const std::unique_ptr<GHmac, HmacFree> derive(
    g_hmac_new(G_CHECKSUM_SHA256, aKey.data(), aKey.size()));
  Update(derive.get(), aDialer.data(), aDialer.size());
  Update(derive.get(), aListener.data(), aListener.size());
  const Digest key = FinishDigest(derive.get());
  this->keyedHmac.reset(g_hmac_new(G_CHECKSUM_SHA256, key.data(), key.size()));
}

Mac SessionKey::ComputeMac(Direction aDirection, std::uint64_t aSequence,
                           std::string_view aPayload) const
{
  const std::unique_ptr<GHmac, HmacFree> hmac(g_hmac_copy(this->keyedHmac.get()));
  const auto direction = static_cast<std::uint8_t>(aDirection);
  const auto sequence = BigEndian(aSequence);
  Update(hmac.get(), &direction, sizeof(direction));
  Update(hmac.get(), sequence.data(), sequence.size());
  Update(hmac.get(), aPayload.data(), aPayload.size());
  const Digest digest = FinishDigest(hmac.get());
  Mac mac{};
  std::memcpy(mac.data(), digest.data(), mac.size());
  return mac;
}

bool MacsEqual(const Mac& aLeft, std::string_view aRight)
{
  if (aRight.size() != aLeft.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    difference |= aLeft[i] ^ static_cast<std::uint8_t>(aRight[i]);
  }
  return difference == 0;
}

std::string EncodeEnvelope(const Envelope& aEnvelope)
{
  return ToBytes(aEnvelope);
}

std::optional<Envelope> DecodeEnvelope(std::string_view aBytes)
{
  return FromBytes<Envelope>(aBytes);
}

void AppendFrame(std::string& aBuffer, const SessionKey& aKey, Direction aDirection,
                 std::uint64_t aSequence, std::string_view aPayload)
{
  const auto length = static_cast<std::uint32_t>(aPayload.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    aBuffer.push_back(static_cast<char>(length >> shift));
  }
  aBuffer.append(aPayload);
  const Mac mac = aKey.ComputeMac(aDirection, aSequence, aPayload);
  aBuffer.append(reinterpret_cast<const char*>(mac.data()), mac.size());
}

std::uint32_t ReadFrameLength(std::string_view aBytes)
{
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i) {
    length = (length << 8) | static_cast<std::uint8_t>(aBytes[i]);
  }
  return length;
}

} // namespace caraway
