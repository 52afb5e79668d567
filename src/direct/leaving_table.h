// Endpoints that said in an answer that they stop soon. Such a word holds for the life of the
// endpoint's process, whatever the platform's list says of it, and other entries are told.
#pragma once

#include "core/types.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace caraway::direct {

// One life of an endpoint's process.
struct EndpointLife
{
  std::uint64_t endpoint = 0; // hash of its id
  std::int64_t bornMs = 0;    // start of its process, Unix time; 0: not known

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(endpoint, bornMs);
  }

  // NOLINTNEXTLINE(modernize-use-nullptr): reported inside the compiler-made operator
  friend auto operator<=>(const EndpointLife&, const EndpointLife&) = default;
};

EndpointLife LifeOf(std::string_view aId, std::int64_t aBornMs);

class LeavingTable
{
public:
  // True if this is news.
  bool Add(TimePoint aNow, const EndpointLife& aLife);
  bool Contains(const EndpointLife& aLife) const { return this->saidAt.contains(aLife); }
  // What other entries may not have heard yet.
  std::vector<EndpointLife> Recent(TimePoint aNow) const;

private:
  std::map<EndpointLife, TimePoint> saidAt;
};

} // namespace caraway::direct
