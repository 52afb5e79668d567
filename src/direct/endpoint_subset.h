// Chooses the endpoints at which an entry queues: all of a small pool, a subset of a large one.
// This keeps the number of messages between entries and agents from growing with the product of
// their numbers: with hundreds of VMs, a full mesh costs more than the calls themselves.
#pragma once

#include "direct/endpoint_table.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace caraway::direct {

struct EndpointSubsetOptions
{
  std::size_t smallPoolSize = 64; // endpoints per service and version up to which all are used
  std::size_t subsetSize = 48;    // endpoints of a larger pool, own failure domain first
  // Minimum part of subsetSize in other failure domains, which take calls when the own one is full.
  std::size_t minOtherDomain = 12;
};

// Returns the ids of the endpoints at which the entry aSelf in aFailureDomain queues. Rendezvous
// hashing spreads the entries evenly and limits the change when an endpoint is added or removed.
std::set<std::string> ChooseEndpointSubset(const EndpointSubsetOptions& aOptions,
                                           std::uint64_t aSelf, const std::string& aFailureDomain,
                                           const std::map<std::string, EndpointInfo>& aAll);

} // namespace caraway::direct
