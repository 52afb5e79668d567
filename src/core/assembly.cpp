#include "core/assembly.h"

namespace caraway {

ChunkCheck Assembly::Add(const Chunk& aChunk)
{
  if (aChunk.number < this->next) {
    return ChunkCheck::kRepeated;
  }
  if (aChunk.number > this->next) {
    return ChunkCheck::kGap;
  }
  ++this->next;
  this->tokens += aChunk.tokens;
  this->bytes += aChunk.data.size();
  this->hash.Add(aChunk.data);
  return ChunkCheck::kNext;
}

} // namespace caraway
