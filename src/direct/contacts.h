// Endpoints that one entry queues at: all of a small pool, some of a large one, so that messages
// between entries and agents do not grow with the product of their numbers. Answers deployments of
// hundreds of machines, where all of them at all cost more than the calls themselves.
#pragma once

#include "direct/endpoint_table.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace caraway::direct {

struct ContactOptions
{
  std::size_t smallPool = 64; // endpoints of one service and version that are all contacts
  std::size_t contacts = 48;  // in a larger pool, own failure domain first
  // Of them, in other failure domains at the least: where calls go when the own one is full.
  std::size_t farContacts = 12;
};

// Ids of the endpoints that the entry aSelf in aFailureDomain queues at. Rendezvous hashing spreads
// entries evenly, and one endpoint that comes or goes changes little.
std::set<std::string> ChooseContacts(const ContactOptions& aOptions, std::uint64_t aSelf,
                                     const std::string& aFailureDomain,
                                     const std::map<std::string, EndpointInfo>& aAll);

} // namespace caraway::direct
