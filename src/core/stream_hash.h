// Incremental checksum of an answer: equals HashOf of its concatenated chunks.
#pragma once

#include "core/types.h"

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include <memory>

namespace caraway {

class StreamHash
{
public:
  StreamHash();

  void Add(std::string_view aData);
  std::uint64_t Digest() const;

private:
  struct StateDeleter
  {
    void operator()(XXH3_state_t* aState) const { XXH3_freeState(aState); }
  };

  std::unique_ptr<XXH3_state_t, StateDeleter> state;
};

} // namespace caraway
