#include "runtime/tcp_socket.h"

#include "runtime/socket_address.h"

#include <fcntl.h>
#include <netdb.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <system_error>
#include <utility>

namespace caraway {

namespace {

constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;
// Max. bytes read per readiness event, so that one peer cannot starve the others.
constexpr std::size_t kMaxBytesPerEvent = std::size_t{ 256 } * 1024;
// Time without acknowledgement of sent data after which the kernel closes the connection.
constexpr unsigned kUserTimeoutMs = 5000;
constexpr int kMaxAcceptsPerEvent = 64;
// Of answers that a filter gives by itself and the remote end does not read.
constexpr std::size_t kMaxFilterOutput = std::size_t{ 64 } * 1024;
constexpr std::size_t kMaxEmptyCapacity = std::size_t{ 64 } * 1024; // of an output buffer

void SetOption(int aFd, int aLevel, int aName, int aValue)
{
  setsockopt(aFd, aLevel, aName, &aValue, sizeof(aValue));
}

} // namespace

TcpSocket::TcpSocket(Poller& aPoller, TcpOwner& aOwner)
  : poller(aPoller)
  , owner(&aOwner)
{
}

TcpSocket::~TcpSocket()
{
  this->Close();
}

bool TcpSocket::Connect(const Address& aAddress)
{
  const std::optional<AnySocketAddress> target = ToAnySocketAddress(aAddress);
  if (!target) {
    return false;
  }
  this->fd = socket(target->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (this->fd < 0) {
    return false;
  }
  SetOption(this->fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(this->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  const int result =
    connect(this->fd, reinterpret_cast<const sockaddr*>(&target->storage), target->size);
  if (result != 0 && errno != EINPROGRESS) {
    close(this->fd);
    this->fd = -1;
    return false;
  }
  this->isConnected = result == 0;
  this->watchedEvents =
    this->isConnected ? std::uint32_t{ EPOLLIN | EPOLLRDHUP } : std::uint32_t{ EPOLLOUT };
  this->poller.Add(this->fd, this->watchedEvents, *this);
  return true;
}

void TcpSocket::Adopt(int aFd, std::unique_ptr<WireFilter> aFilter)
{
  this->fd = aFd;
  this->filter = std::move(aFilter);
  this->isConnected = true;
  SetOption(this->fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(this->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  this->watchedEvents = EPOLLIN | EPOLLRDHUP;
  this->poller.Add(this->fd, this->watchedEvents, *this);
}

void TcpSocket::Write(std::string_view aData)
{
  if (this->fd < 0) {
    return;
  }
  if (this->outputOffset > this->output.size() / 2) {
    this->output.erase(0, std::exchange(this->outputOffset, 0));
  }
  if (this->filter == nullptr) {
    this->output.append(aData);
  } else if (!this->filter->Encode(aData, this->output)) {
    shutdown(this->fd, SHUT_RDWR); // the owner is told from the main loop
  }
  if (this->isConnected) {
    this->Flush();
    this->UpdateWatch();
  }
}

void TcpSocket::ReleaseBuffers()
{
  if (this->input.empty()) {
    std::string().swap(this->input);
  }
  if (this->output.empty()) {
    std::string().swap(this->output);
  }
}

std::string TcpSocket::RemoteHost() const
{
  sockaddr_storage remote{};
  socklen_t size = sizeof(remote);
  std::array<char, NI_MAXHOST> host{};
  if (getpeername(this->fd, reinterpret_cast<sockaddr*>(&remote), &size) != 0 ||
      getnameinfo(reinterpret_cast<const sockaddr*>(&remote), size, host.data(), host.size(),
                  nullptr, 0, NI_NUMERICHOST) != 0) {
    return "";
  }
  return host.data();
}

void TcpSocket::SetReading(bool aIsReading)
{
  if (this->isReading != aIsReading) {
    this->isReading = aIsReading;
    this->UpdateWatch();
  }
}

void TcpSocket::ShutdownOutput()
{
  const bool isFirst = !std::exchange(this->isShutdownRequested, true);
  if (this->fd < 0) {
    return;
  }
  if (isFirst && this->filter != nullptr) {
    this->filter->Finish(this->output);
    this->Flush();
    this->UpdateWatch();
  } else if (this->PendingOutput() == 0) {
    shutdown(this->fd, SHUT_WR);
  }
}

void TcpSocket::Close(bool aAbort)
{
  if (this->fd < 0) {
    return;
  }
  if (aAbort) {
    const linger option{ 1, 0 };
    setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  } else if (this->filter != nullptr && !this->isShutdownRequested) {
    this->filter->Finish(this->output);
    this->Flush();
  }
  this->poller.Remove(this->fd);
  close(this->fd);
  this->fd = -1;
  this->filter.reset();
}

void TcpSocket::OnIo(std::uint32_t aEvents)
{
  if (!this->isConnected) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(this->fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0 || (aEvents & (EPOLLERR | EPOLLHUP)) != 0) {
      this->Fail();
      return;
    }
    this->isConnected = true;
    if (!this->Flush()) {
      this->Fail();
      return;
    }
    this->UpdateWatch();
    this->owner->OnConnected();
    return;
  }
  if ((aEvents & EPOLLOUT) != 0) {
    if (!this->Flush()) {
      this->Fail();
      return;
    }
    this->UpdateWatch();
    if (this->PendingOutput() == 0) {
      this->owner->OnDrained();
      return; // other events are reported again; the owner may have destroyed the socket
    }
  }
  if ((aEvents & (EPOLLERR | EPOLLHUP)) != 0 && (aEvents & EPOLLIN) == 0) {
    this->Fail();
    return;
  }
  if ((aEvents & EPOLLIN) != 0 && this->isReading) {
    if (this->ReadAvailable()) {
      return;
    }
  } else if ((aEvents & EPOLLRDHUP) != 0 && !this->hasInputEnded) {
    // Unread input is ignored, because the sender has closed the connection.
    this->hasInputEnded = true;
    this->UpdateWatch();
    this->owner->OnInputEnd((aEvents & EPOLLERR) != 0);
  }
}

// Reads available input and reports it. True if the owner was called.
bool TcpSocket::ReadAvailable()
{
  std::array<char, kReadBytes> buffer;
  std::size_t received = 0; // from the wire
  std::size_t total = 0;    // input of the owner
  bool isReset = false;
  while (received < kMaxBytesPerEvent && this->input.size() < this->maxInput) {
    const std::size_t wanted = std::min(buffer.size(), this->maxInput - this->input.size());
    const ssize_t count = recv(this->fd, buffer.data(), wanted, 0);
    if (count > 0) {
      const std::size_t before = this->input.size();
      if (!this->Decode({ buffer.data(), static_cast<std::size_t>(count) })) {
        this->hasInputEnded = true;
        isReset = true;
        total = 0;
        break;
      }
      total += this->input.size() - before;
      received += static_cast<std::size_t>(count);
      if (static_cast<std::size_t>(count) < wanted) {
        break;
      }
      continue;
    }
    if (count == 0) {
      // After data the end is read again, because the socket would not signal it any more.
      this->hasInputEnded = total == 0;
    } else if (errno == EINTR) {
      continue;
    } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
      this->hasInputEnded = true;
      isReset = true;
    }
    break;
  }
  const bool hasEnded = this->hasInputEnded;
  if (hasEnded) {
    this->UpdateWatch();
  }
  if (total > 0) {
    this->owner->OnInput();
    return true; // the end is reported with the next readiness event
  }
  if (hasEnded) {
    this->owner->OnInputEnd(isReset);
    return true;
  }
  return false;
}

// Appends what bytes from the wire contain to the input. False if the connection has failed.
bool TcpSocket::Decode(std::string_view aWire)
{
  if (this->filter == nullptr) {
    this->input.append(aWire);
    return true;
  }
  const std::size_t before = this->output.size();
  const bool isSound = this->filter->Decode(aWire, this->input, this->output);
  this->filterOutput += this->output.size() - before;
  const bool isFlushed = this->Flush();
  this->UpdateWatch();
  return isSound && isFlushed && this->filterOutput <= kMaxFilterOutput;
}

// Writes as much output as the kernel accepts. False if the connection has failed.
bool TcpSocket::Flush()
{
  while (this->PendingOutput() > 0) {
    const ssize_t count =
      send(this->fd, this->output.data() + this->outputOffset, this->PendingOutput(), MSG_NOSIGNAL);
    if (count < 0) {
      if (errno == EINTR) {
        continue;
      }
      return errno == EAGAIN || errno == EWOULDBLOCK;
    }
    this->hasSent = true;
    this->outputOffset += static_cast<std::size_t>(count);
  }
  this->output.clear();
  this->outputOffset = 0;
  this->filterOutput = 0;
  if (this->output.capacity() > kMaxEmptyCapacity) {
    std::string().swap(this->output);
  }
  if (this->isShutdownRequested) {
    shutdown(this->fd, SHUT_WR);
  }
  return true;
}

void TcpSocket::Fail()
{
  this->hasInputEnded = true;
  this->poller.Remove(this->fd);
  close(this->fd);
  this->fd = -1;
  this->owner->OnInputEnd(true);
}

void TcpSocket::UpdateWatch()
{
  if (this->fd < 0 || !this->isConnected) {
    return;
  }
  std::uint32_t wantedEvents = 0;
  if (!this->hasInputEnded) {
    wantedEvents |= EPOLLRDHUP;
    wantedEvents |= this->isReading ? std::uint32_t{ EPOLLIN } : 0U;
  }
  wantedEvents |= this->PendingOutput() > 0 ? std::uint32_t{ EPOLLOUT } : 0U;
  if (wantedEvents != this->watchedEvents) {
    this->watchedEvents = wantedEvents;
    this->poller.Modify(this->fd, wantedEvents);
  }
}

TcpListener::TcpListener(Poller& aPoller, std::function<void(int)> aOnAccept)
  : poller(aPoller)
  , onAccept(std::move(aOnAccept))
{
}

TcpListener::~TcpListener()
{
  this->Close();
}

std::error_code TcpListener::Listen(const Address& aAddress)
{
  const std::optional<sockaddr_in> local = ToSocketAddress(aAddress);
  if (!local) {
    return std::make_error_code(std::errc::invalid_argument);
  }
  this->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (this->fd < 0) {
    return { errno, std::generic_category() };
  }
  SetOption(this->fd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(this->fd, AsGeneric(*local), sizeof(*local)) != 0 ||
      listen(this->fd, kListenBacklog) != 0) {
    const std::error_code error(errno, std::generic_category());
    close(this->fd);
    this->fd = -1;
    return error;
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(this->fd, AsGeneric(bound), &size);
  this->port = ntohs(bound.sin_port);
  this->spareFd = open("/dev/null", O_RDONLY | O_CLOEXEC);
  this->poller.Add(this->fd, EPOLLIN, *this);
  return {};
}

void TcpListener::Close()
{
  if (this->fd >= 0) {
    this->poller.Remove(this->fd);
    close(this->fd);
    this->fd = -1;
  }
  if (this->spareFd >= 0) {
    close(this->spareFd);
    this->spareFd = -1;
  }
}

// Without a descriptor, a connection would stay in the queue and be reported for ever.
void TcpListener::RefuseOne()
{
  if (this->spareFd >= 0) {
    close(this->spareFd);
  }
  const int accepted = accept4(this->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted >= 0) {
    close(accepted);
  }
  this->spareFd = open("/dev/null", O_RDONLY | O_CLOEXEC);
}

void TcpListener::OnIo(std::uint32_t)
{
  for (int acceptCount = 0; acceptCount < kMaxAcceptsPerEvent && this->fd >= 0; acceptCount++) {
    const int accepted = accept4(this->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0 && (errno == EMFILE || errno == ENFILE)) {
      this->RefuseOne();
      continue;
    }
    if (accepted < 0) {
      return;
    }
    this->onAccept(accepted);
  }
}

} // namespace caraway
