// Tests whether a process listens at an address by opening and closing a TCP connection.
#pragma once

#include "runtime/tcp_socket.h"
#include "runtime/timer.h"

#include <functional>

namespace caraway {

class ConnectProbe final : private TcpOwner
{
public:
  // aOnResult runs once, on the main loop, after Start has returned. It may destroy the probe.
  ConnectProbe(Poller& aPoller, std::function<void(bool aIsListening)> aOnResult);

  // Reports false if the connection is not established within aTimeout.
  void Start(const Address& aAddress, Duration aTimeout);

private:
  void OnConnected() override { this->ReportAsync(true); }
  void OnInput() override {}
  void OnInputEnd(bool aReset) override;
  void ReportAsync(bool aIsListening);

  std::function<void(bool aIsListening)> onResult;
  TcpSocket socket;
  Timer timer;
  bool isListening = false;
};

} // namespace caraway
