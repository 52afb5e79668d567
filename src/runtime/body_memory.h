// Memory of request bodies, counted from the head of a request until its end.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace caraway {

class BodyMemory : public std::enable_shared_from_this<BodyMemory>
{
public:
  // aOnFreed is called when memory was freed.
  explicit BodyMemory(std::function<void()> aOnFreed)
    : onFreed(std::move(aOnFreed))
  {
  }

  std::size_t Held() const { return this->heldBytes; }

  // Counts aBytes until the result is destroyed, which may be after this object.
  std::shared_ptr<void> Hold(std::size_t aBytes)
  {
    this->heldBytes += aBytes;
    return { this, [weak = this->weak_from_this(), aBytes](void*) {
              if (const std::shared_ptr<BodyMemory> memory = weak.lock()) {
                memory->heldBytes -= aBytes;
                memory->onFreed();
              }
            } };
  }

private:
  std::function<void()> onFreed;
  std::size_t heldBytes = 0;
};

} // namespace caraway
