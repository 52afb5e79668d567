// Non-blocking TCP connection with buffered input and output, driven by the poller.
#pragma once

#include "runtime/address.h"
#include "runtime/poller.h"
#include "runtime/wire_filter.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace caraway {

// Callbacks of a connection. They run on the main loop and may destroy the socket.
class TcpOwner
{
public:
  virtual ~TcpOwner() = default;
  virtual void OnConnected() {}
  // New bytes were appended to the input buffer.
  virtual void OnInput() = 0;
  // The remote end has closed its side. aReset is true if the connection failed in both directions.
  virtual void OnInputEnd(bool aReset) = 0;
  // The kernel has accepted all buffered output.
  virtual void OnDrained() {}
};

class TcpSocket final : public IoHandler
{
public:
  TcpSocket(Poller& aPoller, TcpOwner& aOwner);
  ~TcpSocket() override;
  TcpSocket(const TcpSocket&) = delete;
  TcpSocket& operator=(const TcpSocket&) = delete;

  // Starts to connect; false if that failed immediately. Otherwise OnConnected or OnInputEnd
  // follows, unless IsConnected is already true.
  bool Connect(const Address& aAddress);
  // Takes ownership of an accepted descriptor. aFilter: between the buffers and the wire; nullptr:
  // none.
  void Adopt(int aFd, std::unique_ptr<WireFilter> aFilter = nullptr);

  // Writes as much of aData as the kernel accepts and buffers the rest. If the filter can't carry
  // it, the connection fails.
  void Write(std::string_view aData);
  // Frees the memory of buffers that are empty, before the connection is kept idle.
  void ReleaseBuffers();
  // Stops or resumes reading; while stopped, a close by the remote end is still reported.
  void SetReading(bool aIsReading);
  // Closes the write side once all output is sent; input can still be read.
  void ShutdownOutput();
  // Closes the connection. With aAbort it is reset, so that the remote end sees an error instead of
  // an orderly close.
  void Close(bool aAbort = false);

  // Sets the receiver of further callbacks.
  void SetOwner(TcpOwner& aOwner) { this->owner = &aOwner; }

  bool IsOpen() const { return this->fd >= 0; }
  bool IsConnected() const { return this->isConnected; }
  // True if the kernel has accepted any output since the connection was opened.
  bool HasSent() const { return this->hasSent; }
  std::size_t PendingOutput() const { return this->output.size() - this->outputOffset; }
  std::string& Input() { return this->input; }
  // IP address of the remote end; empty if unknown.
  std::string RemoteHost() const;
  // Limits the buffered input, in bytes. The owner must consume some of it when it is reached.
  void SetMaxInput(std::size_t aBytes) { this->maxInput = aBytes; }

  void OnIo(std::uint32_t aEvents) override;

private:
  void UpdateWatch();
  bool ReadAvailable();
  bool Decode(std::string_view aWire);
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
  std::unique_ptr<WireFilter> filter;
  std::string input;
  std::string output;
  std::size_t outputOffset = 0;
  std::size_t filterOutput = 0; // that the filter added by itself since all was sent
  std::size_t maxInput = SIZE_MAX;
};

// Listens for connections and passes accepted descriptors to a callback.
class TcpListener final : public IoHandler
{
public:
  TcpListener(Poller& aPoller, std::function<void(int)> aOnAccept);
  ~TcpListener() override;
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  // Starts listening; port 0 selects an ephemeral port.
  std::error_code Listen(const Address& aAddress);
  std::uint16_t Port() const { return this->port; }
  void Close();

  void OnIo(std::uint32_t aEvents) override;

private:
  void RefuseOne();

  Poller& poller;
  std::function<void(int)> onAccept;
  int fd = -1;
  int spareFd = -1; // closed to accept a connection when the process has no descriptors left
  std::uint16_t port = 0;
};

} // namespace caraway
