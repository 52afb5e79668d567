// Endpoints that announced their shutdown in a response. The announcement holds for the lifetime
// of the endpoint process, whatever the platform's list says, and is shared with other entries.
#pragma once

#include "core/types.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace caraway::direct {

// Identifies one process of an endpoint across restarts.
struct EndpointIncarnation
{
  std::uint64_t endpoint = 0; // hash of the endpoint id
  std::int64_t bornMs = 0;    // start of the process, Unix time; 0: unknown

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(endpoint, bornMs);
  }

  // NOLINTNEXTLINE(modernize-use-nullptr): reported inside the compiler-made operator
  friend auto operator<=>(const EndpointIncarnation&, const EndpointIncarnation&) = default;
};

EndpointIncarnation IncarnationOf(std::string_view aId, std::int64_t aBornMs);

class LeavingTable
{
public:
  // Returns true if the incarnation was not in the table.
  bool Add(TimePoint aNow, const EndpointIncarnation& aIncarnation);
  bool Contains(const EndpointIncarnation& aIncarnation) const
  {
    return this->announcedAt.contains(aIncarnation);
  }
  // Recent additions, to be sent to other entries.
  std::vector<EndpointIncarnation> Recent(TimePoint aNow) const;

private:
  std::map<EndpointIncarnation, TimePoint> announcedAt;
};

} // namespace caraway::direct
