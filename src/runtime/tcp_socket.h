// A TCP connection without blocking: buffered input and output on the poller.
#pragma once

#include "runtime/address.h"
#include "runtime/poller.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <system_error>

namespace caraway {

// Receives what happens on a connection; called from the main loop. A call may destroy the socket.
class TcpOwner
{
public:
  virtual ~TcpOwner() = default;
  virtual void OnConnected() {}
  // Bytes were added to the input.
  virtual void OnInput() = 0;
  // The other end sends nothing more. aReset: the connection is broken for both directions.
  virtual void OnInputEnd(bool aReset) = 0;
  // All output was taken by the kernel.
  virtual void OnDrained() {}
};

class TcpSocket final : public IoHandler
{
public:
  TcpSocket(Poller& aPoller, TcpOwner& aOwner);
  ~TcpSocket() override;
  TcpSocket(const TcpSocket&) = delete;
  TcpSocket& operator=(const TcpSocket&) = delete;

  // Opens a connection; false if it failed at once. OnConnected or OnInputEnd follow.
  bool Connect(const Address& aAddress);
  // Takes over an accepted descriptor.
  void Adopt(int aFd);

  // Sends aData, now as far as the kernel takes it and the rest later.
  void Write(std::string_view aData);
  // Stops or resumes reading; a stopped socket still notices that the other end is gone.
  void SetReading(bool aIsReading);
  // Sends nothing more; input can still be read.
  void ShutdownOutput();
  // Closes the connection; aAbort resets it, so that the other end sees an error, not an end.
  void Close(bool aAbort = false);

  // Reports go to aOwner from now on.
  void SetOwner(TcpOwner& aOwner) { this->owner = &aOwner; }

  bool IsOpen() const { return this->fd >= 0; }
  bool IsConnected() const { return this->isConnected; }
  // Bytes of the output have reached the kernel since the connection was opened.
  bool HasSent() const { return this->hasSent; }
  std::size_t PendingOutput() const { return this->output.size() - this->outputOffset; }
  std::string& Input() { return this->input; }

  void OnIo(std::uint32_t aEvents) override;

private:
  void UpdateWatch();
  bool ReadAvailable();
  bool Flush();
  void Fail();

  Poller& poller;
  TcpOwner* owner;
  int fd = -1;
  bool isConnected = false;
  bool isReading = true;
  bool hasInputEnded = false;
  bool hasSent = false;
  bool isShutdownRequested = false;
  std::uint32_t watchedEvents = 0;
  std::string input;
  std::string output;
  std::size_t outputOffset = 0;
};

// Listens for connections and hands over their descriptors.
class TcpListener final : public IoHandler
{
public:
  TcpListener(Poller& aPoller, std::function<void(int)> aOnAccept);
  ~TcpListener() override;
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Opens the listener; port 0 lets the kernel choose one.
  std::error_code Listen(const Address& aAddress);
  std::uint16_t Port() const { return this->port; }
  void Close();

  void OnIo(std::uint32_t aEvents) override;

private:
  Poller& poller;
  std::function<void(int)> onAccept;
  int fd = -1;
  std::uint16_t port = 0;
};

} // namespace caraway
