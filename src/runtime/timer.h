// One-shot timer on the GLib main loop, re-armed without allocation.
#pragma once

#include "core/types.h"

#include <glib.h>

#include <cstdint>
#include <functional>

namespace caraway {

class Timer
{
public:
  // aCallback runs on the main loop when the timer is due; it may arm the timer again.
  explicit Timer(std::function<void()> aCallback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Runs the callback once after aDelay; replaces an earlier arming.
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
