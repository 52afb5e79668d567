// Subsetting: chooses the agents that an entry keeps connections to, so that its state and traffic
// do not grow with the fleet. Each entry ranks the agents of a pool by a hash of both names
// (rendezvous hashing).
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
  std::size_t perPool = 20;     // agents per pool and version; smaller pools are used completely
  std::size_t minPerDomain = 2; // of these, from each failure domain, if it has as many
};

// Returns the sorted names of the members that the entry aSelf keeps connections to. When one
// member is added or removed, at most that one and one other change in the result, apart from
// members that restore a failure domain's minimum.
std::vector<std::string> ChooseSubset(std::string_view aSelf,
                                      std::span<const SubsetMember> aMembers,
                                      const SubsetOptions& aOptions);

} // namespace caraway
