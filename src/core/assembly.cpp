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

bool Assembly::Matches(const Finish& aFinish) const
{
  if (this->first > 0) {
    return true;
  }
  return this->next == aFinish.chunks && this->bytes == aFinish.bytes &&
         this->hash.Digest() == aFinish.checksum;
}

} // namespace caraway
