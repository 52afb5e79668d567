#include "runtime/datagram_socket.h"

#include "runtime/socket_address.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace caraway {

namespace {

constexpr std::size_t kMaxDatagramBytes = std::size_t{ 64 } * 1024; // limit of UDP
constexpr int kMaxDatagramsPerEvent = 64;
constexpr int kReceiveBufferBytes = 1 << 20; // holds a burst of small messages without loss

} // namespace

DatagramSocket::DatagramSocket(Poller& aPoller, DatagramHandler& aHandler)
  : poller(aPoller)
  , handler(aHandler)
{
}

DatagramSocket::~DatagramSocket()
{
  if (this->fd >= 0) {
    this->poller.Remove(this->fd);
    close(this->fd);
  }
}

std::error_code DatagramSocket::Bind(const Address& aAddress)
{
  const std::optional<sockaddr_in> local = ToSocketAddress(aAddress);
  if (!local) {
    return std::make_error_code(std::errc::invalid_argument);
  }
  const int newFd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (newFd < 0) {
    return { errno, std::generic_category() };
  }
  setsockopt(newFd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
  if (bind(newFd, AsGeneric(*local), sizeof(*local)) != 0) {
    const std::error_code error(errno, std::generic_category());
    close(newFd);
    return error;
  }
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(newFd, AsGeneric(bound), &size);
  this->port = ntohs(bound.sin_port);
  this->fd = newFd;
  this->poller.Add(this->fd, EPOLLIN, *this);
  return {};
}

void DatagramSocket::Send(const Address& aTo, std::string_view aData)
{
  const std::optional<sockaddr_in> target = ToSocketAddress(aTo);
  if (!target || this->fd < 0 ||
      sendto(this->fd, aData.data(), aData.size(), MSG_NOSIGNAL, AsGeneric(*target),
             sizeof(*target)) < 0) {
    this->droppedCount++;
  }
}

void DatagramSocket::OnIo(std::uint32_t)
{
  std::array<char, kMaxDatagramBytes> buffer;
  for (int received = 0; received < kMaxDatagramsPerEvent; received++) {
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const ssize_t count =
      recvfrom(this->fd, buffer.data(), buffer.size(), 0, AsGeneric(from), &size);
    if (count < 0) {
      return;
    }
    this->handler.OnDatagram(FromSocketAddress(from),
                             std::string_view(buffer.data(), static_cast<std::size_t>(count)));
  }
}

} // namespace caraway
