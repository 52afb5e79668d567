// Which agents an entry keeps connections to, so that its state and its traffic don't grow with the
// fleet. Rendezvous hashing: every entry ranks the agents of a pool by a hash of both names.
#pragma once

#include "core/types.h"

#include <span>
#include <string>
#include <vector>

namespace caraway {

// An agent that may be chosen.
struct SubsetMember
{
  std::string name;
  std::string failureDomain;
  std::string pool;
  std::string version;
};

struct SubsetOptions
{
  std::size_t perPool = 20;     // agents of one pool and version; all of them in smaller pools
  std::size_t minPerDomain = 2; // of them, in each failure domain that has so many
};

// Names of the members that the entry called aSelf keeps connections to, sorted. When one member
// comes or goes, at most that one and one other change in the result, apart from members that make
// up for a failure domain's share.
std::vector<std::string> ChooseSubset(std::string_view aSelf,
                                      std::span<const SubsetMember> aMembers,
                                      const SubsetOptions& aOptions);

} // namespace caraway
