// Checks that the chunks of one answer arrive in order and completely.
#pragma once

#include "core/messages.h"
#include "core/stream_hash.h"

namespace caraway {

enum class ChunkCheck : std::uint8_t
{
  kNext,     // the expected chunk: deliver it
  kRepeated, // received before: ignore it
  kGap,      // a chunk is missing: request it
};

class Assembly
{
public:
  // aFirst: number of the first chunk received here. Earlier ones were delivered by another entry,
  // so length and checksum cannot be checked when it is not 0.
  explicit Assembly(std::uint32_t aFirst = 0)
    : next(aFirst)
    , first(aFirst)
  {
  }

  ChunkCheck Add(const Chunk& aChunk);
  // Whether all chunks that aFinish announces have arrived.
  bool HasAllChunks(const Finish& aFinish) const { return this->next >= aFinish.chunks; }
  // Whether all chunks were received here, so that length and checksum can be checked.
  bool IsFromStart() const { return this->first == 0; }
  std::uint64_t Bytes() const { return this->bytes; }
  std::uint64_t Checksum() const { return this->hash.Digest(); }

  std::uint32_t Next() const { return this->next; }
  std::uint32_t Tokens() const { return this->tokens; }
  bool IsEmpty() const { return this->next == 0; }

private:
  std::uint32_t next;
  std::uint32_t first;
  std::uint32_t tokens = 0;
  std::uint64_t bytes = 0;
  StreamHash hash;
};

} // namespace caraway
