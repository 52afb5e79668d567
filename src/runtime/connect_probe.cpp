#include "runtime/connect_probe.h"

#include <utility>

namespace caraway {

ConnectProbe::ConnectProbe(Poller& aPoller, std::function<void(bool aIsListening)> aOnResult)
  : onResult(std::move(aOnResult))
  , socket(aPoller, *this)
  , timer([this] {
    this->socket.Close(true);
    std::exchange(this->onResult, nullptr)(this->isListening);
  })
{
}

void ConnectProbe::Start(const Address& aAddress, Duration aTimeout)
{
  this->timer.ArmAfter(aTimeout);
  if (!this->socket.Connect(aAddress)) {
    this->ReportAsync(false);
  } else if (this->socket.IsConnected()) {
    this->ReportAsync(true);
  }
}

void ConnectProbe::OnInputEnd(bool)
{
  this->ReportAsync(false);
}

// Reports through the timer, so that the callback never runs inside Start or a socket callback.
void ConnectProbe::ReportAsync(bool aIsListening)
{
  if (this->socket.IsOpen()) {
    this->socket.Close(true);
  }
  this->isListening = aIsListening;
  this->timer.ArmAfter(Duration::zero());
}

} // namespace caraway
