#include "runtime/poller.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <system_error>
#include <utility>

namespace caraway {

namespace {

constexpr int kMaxEventsPerBatch = 64;

epoll_event MakeEvent(int aFd, std::uint32_t aGeneration, std::uint32_t aEvents)
{
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 = (std::uint64_t{ aGeneration } << 32) | static_cast<std::uint32_t>(aFd);
  return event;
}

} // namespace

std::uint32_t DescriptorLimit()
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<std::uint32_t>(
    std::min<rlim_t>(limit.rlim_cur, std::numeric_limits<std::uint32_t>::max()));
}

Poller::Poller()
  : epoll(epoll_create1(EPOLL_CLOEXEC))
{
  if (this->epoll < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
  this->source = g_unix_fd_add(this->epoll, G_IO_IN, &Poller::OnReady, this);
}

Poller::~Poller()
{
  g_source_remove(this->source);
  close(this->epoll);
}

void Poller::Add(int aFd, std::uint32_t aEvents, IoHandler& aHandler)
{
  const auto index = static_cast<std::size_t>(aFd);
  if (index >= this->slots.size()) {
    this->slots.resize(index + 1);
  }
  Slot& slot = this->slots[index];
  slot.handler = &aHandler;
  slot.generation++;
  epoll_event event = MakeEvent(aFd, slot.generation, aEvents);
  epoll_ctl(this->epoll, EPOLL_CTL_ADD, aFd, &event);
}

void Poller::Modify(int aFd, std::uint32_t aEvents)
{
  epoll_event event =
    MakeEvent(aFd, this->slots[static_cast<std::size_t>(aFd)].generation, aEvents);
  epoll_ctl(this->epoll, EPOLL_CTL_MOD, aFd, &event);
}

void Poller::Remove(int aFd)
{
  this->slots[static_cast<std::size_t>(aFd)].handler = nullptr;
  epoll_ctl(this->epoll, EPOLL_CTL_DEL, aFd, nullptr);
}

void Poller::AddBatchHook(std::function<void()> aHook)
{
  this->batchHooks.push_back(std::move(aHook));
}

int Poller::OnReady(int, GIOCondition, void* aData)
{
  static_cast<Poller*>(aData)->DispatchEvents();
  return G_SOURCE_CONTINUE;
}

// A handler may remove other descriptors of the same batch, and their numbers may be reused. An
// event is dispatched only if the generation of its descriptor still matches.
void Poller::DispatchEvents()
{
  std::array<epoll_event, kMaxEventsPerBatch> events{};
  const int count = epoll_wait(this->epoll, events.data(), kMaxEventsPerBatch, 0);
  for (int index = 0; index < count; index++) {
    const epoll_event& event = events[static_cast<std::size_t>(index)];
    const auto fd = static_cast<std::uint32_t>(event.data.u64);
    const auto generation = static_cast<std::uint32_t>(event.data.u64 >> 32);
    const Slot slot = this->slots[fd];
    if (slot.handler != nullptr && slot.generation == generation) {
      slot.handler->OnIo(event.events);
    }
  }
  for (const std::function<void()>& hook : this->batchHooks) {
    hook();
  }
}

} // namespace caraway
