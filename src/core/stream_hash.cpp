#include "core/stream_hash.h"

namespace caraway {

StreamHash::StreamHash()
  : state(XXH3_createState())
{
  XXH3_64bits_reset(this->state.get());
}

void StreamHash::Add(std::string_view aData)
{
  XXH3_64bits_update(this->state.get(), aData.data(), aData.size());
}

std::uint64_t StreamHash::Digest() const
{
  return XXH3_64bits_digest(this->state.get());
}

} // namespace caraway
