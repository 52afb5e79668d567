// Memory of request bodies, counted from the head of a request until its end.
#pragma once

#include "runtime/memory_account.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace caraway {

class BodyMemory : public std::enable_shared_from_this<BodyMemory>
{
public:
  // aOnFreed is called when memory was freed.
  BodyMemory(std::shared_ptr<MemoryAccount> aAccount, std::function<void()> aOnFreed)
    : account(std::move(aAccount))
    , onFreed(std::move(aOnFreed))
  {
  }

  std::size_t Held() const { return this->heldBytes; }

  // Counts aBytes until the result is destroyed, which may be after this object.
  std::shared_ptr<void> Hold(std::size_t aBytes)
  {
    this->heldBytes += aBytes;
    this->account->Change(Holder::kBody, 0, aBytes);
    return { this, [weak = this->weak_from_this(), account = this->account, aBytes](void*) {
              account->Change(Holder::kBody, aBytes, 0);
              if (const std::shared_ptr<BodyMemory> memory = weak.lock()) {
                memory->heldBytes -= aBytes;
                memory->onFreed();
              }
            } };
  }

private:
  std::shared_ptr<MemoryAccount> account;
  std::function<void()> onFreed;
  std::size_t heldBytes = 0;
};

} // namespace caraway
