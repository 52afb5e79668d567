// One-shot timer on the GLib main loop; re-arming does not allocate.
#pragma once

#include "core/types.h"

#include <glib.h>

#include <cstdint>
#include <functional>

namespace caraway {

class Timer
{
public:
  // aCallback runs on the main loop when the timer expires; it may re-arm the timer.
  explicit Timer(std::function<void()> aCallback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Runs the callback once after aDelay; replaces a pending expiry.
  void ArmAfter(Duration aDelay);
  void Cancel();

private:
  static int Dispatch(GSource* aSource, int (*aFunction)(void*), void* aData);

  std::function<void()> callback;
  GSource* source = nullptr;
  std::int64_t dueAt = kDisarmed; // monotonic time of GLib, microseconds

  static constexpr std::int64_t kDisarmed = -1;
};

} // namespace caraway
