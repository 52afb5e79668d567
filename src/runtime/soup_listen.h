// Helpers for libsoup servers.
#pragma once

#include "runtime/address.h"
#include "runtime/glib_ptr.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <string>
#include <system_error>

namespace caraway {

// Listens at aAddress; with port 0 the kernel chooses the port. aTls: callers use TLS.
std::error_code ListenAt(SoupServer* aServer, const Address& aAddress, bool aTls);

// Port of the server's first listener, 0 if there is none.
std::uint16_t PortOf(SoupServer* aServer);

// Sets the complete answer.
void Reply(SoupServerMessage* aMessage, std::uint16_t aStatus, const char* aType,
           const std::string& aBody);

} // namespace caraway
