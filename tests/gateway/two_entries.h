// Fixture with two gateways.
#pragma once

#include "fixture.h"

#include <functional>
#include <memory>

namespace caraway::gateway {

// Two gateways on one clock. Like the platform's store, the tests give them only each other's
// address.
struct TwoEntries : GatewayFixture
{
  TwoEntries()
  {
    GatewaySettings other = this->settings;
    other.peerListen = { "127.0.0.2", this->gateway->PeerPort() };
    this->second =
      std::make_unique<Gateway>(other, Peer{ NodeId{ 2 }, Incarnation{ 1 } }, this->poller,
                                this->clock, this->random, this->protocol);
    BOOST_REQUIRE(!this->second->Start());
  }

  bool AdvanceUntil(const std::function<bool()>& aDone)
  {
    return caraway::AdvanceUntil(this->clock, [&] {
      for (Gateway* entry : { this->gateway.get(), this->second.get() }) {
        entry->ConfirmConfig(1, this->clock.Read().steady);
      }
      return aDone();
    });
  }

  std::unique_ptr<Gateway> second;
};

} // namespace caraway::gateway
