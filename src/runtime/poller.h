// Readiness of file descriptors: one epoll set as a single source of the GLib main loop, so that
// the cost of a turn does not grow with the number of connections.
#pragma once

#include <glib.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace caraway {

// Receives the readiness of one descriptor. aEvents: EPOLLIN, EPOLLOUT, EPOLLRDHUP, EPOLLHUP and
// EPOLLERR as reported.
class IoHandler
{
public:
  virtual ~IoHandler() = default;
  virtual void OnIo(std::uint32_t aEvents) = 0;
};

class Poller
{
public:
  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  // Watches aFd for aEvents until Remove. aHandler must outlive that.
  void Add(int aFd, std::uint32_t aEvents, IoHandler& aHandler);
  void Modify(int aFd, std::uint32_t aEvents);
  void Remove(int aFd);

  // aHook runs after each batch of events; for work that is done once for all of them.
  void AddBatchHook(std::function<void()> aHook);

private:
  struct Slot
  {
    IoHandler* handler = nullptr;
    std::uint32_t generation = 0; // of this use of the descriptor's number
  };

  static int OnReady(int aFd, GIOCondition aCondition, void* aData);
  void DispatchEvents();

  int epoll;
  unsigned source;
  std::vector<Slot> slots; // by descriptor
  std::vector<std::function<void()>> batchHooks;
};

} // namespace caraway
