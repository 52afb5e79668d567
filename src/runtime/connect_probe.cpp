#include "runtime/connect_probe.h"

#include <utility>

namespace caraway {

ConnectProbe::ConnectProbe(Poller& aPoller, std::function<void(bool aIsListening)> aDone)
  : done(std::move(aDone))
  , socket(aPoller, *this)
  , timer([this] {
    this->socket.Close(true);
    std::exchange(this->done, nullptr)(this->isListening);
  })
{
}

void ConnectProbe::Start(const Address& aAddress, Duration aTimeout)
{
  this->timer.ArmAfter(aTimeout);
  if (!this->socket.Connect(aAddress)) {
    this->End(false);
  } else if (this->socket.IsConnected()) {
    this->End(true);
  }
}

void ConnectProbe::OnInputEnd(bool)
{
  this->End(false);
}

// The timer reports, so that nobody is called from inside a call of the socket's or of Start.
void ConnectProbe::End(bool aIsListening)
{
  if (this->socket.IsOpen()) {
    this->socket.Close(true);
  }
  this->isListening = aIsListening;
  this->timer.ArmAfter(Duration::zero());
}

} // namespace caraway
