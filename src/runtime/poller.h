// Readiness notification for file descriptors: one epoll instance as a single source of the GLib
// main loop, so that the cost of a loop iteration does not grow with the number of connections.
#pragma once

#include <glib.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace caraway {

// Receives readiness events of one descriptor. aEvents is the mask reported by epoll: EPOLLIN,
// EPOLLOUT, EPOLLRDHUP, EPOLLHUP and EPOLLERR.
class IoHandler
{
public:
  virtual ~IoHandler() = default;
  virtual void OnIo(std::uint32_t aEvents) = 0;
};

// Descriptors that the process may open.
std::uint32_t DescriptorLimit();

class Poller
{
public:
  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  // Watches aFd for aEvents until Remove. aHandler must stay valid until then.
  void Add(int aFd, std::uint32_t aEvents, IoHandler& aHandler);
  void Modify(int aFd, std::uint32_t aEvents);
  void Remove(int aFd);

  // Runs aHook after each batch of events, for work done once per batch.
  void AddBatchHook(std::function<void()> aHook);

private:
  struct Slot
  {
    IoHandler* handler = nullptr;
    std::uint32_t generation = 0; // incremented each time the descriptor number is added
  };

  static int OnReady(int aFd, GIOCondition aCondition, void* aData);
  void DispatchEvents();

  int epoll;
  unsigned source;
  std::vector<Slot> slots; // indexed by descriptor
  std::vector<std::function<void()>> batchHooks;
};

} // namespace caraway
