// Selects the peers to connect to from the platform's VM list.
#pragma once

#include "runtime/address.h"
#include "runtime/log_client.h"

#include <set>
#include <span>
#include <string>

namespace caraway {

// Number of other entries that an entry connects to.
constexpr std::size_t kEntryPeerCount = 3;

// Addresses that the entry named aSelf keeps connections to: a subset of the agents (core/subset.h)
// and a few other entries, chosen so that all entries form a connected graph and no pair connects
// twice.
std::set<Address> ChoosePeers(const std::string& aSelf, std::span<const Vm> aVms);

} // namespace caraway
