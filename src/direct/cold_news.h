// Exchange of what is known about cold endpoints between entries and the keepers of queues. Agents
// read no configuration, so entries tell them the limits too.
#pragma once

#include "direct/cold_rate.h"
#include "direct/messages.h"

#include <optional>

namespace caraway::direct {

// From an entry to the queue of the endpoint that started at aBornMs.
ColdNews NewsOf(TimePoint aNow, const ColdState& aState, const ColdLimits& aLimits,
                std::int64_t aBornMs);
// From a queue to entries: suspicions count like statements.
ColdNews QueueColdNewsOf(TimePoint aNow, const ColdState& aState, const ColdLimits& aLimits,
                         std::int64_t aBornMs);

ColdLimits LimitsIn(const ColdNews& aNews);
// The statement in news about the endpoint that started at aBornMs; nullopt if there is none or it
// is about another process.
std::optional<ColdObservation> StatementIn(TimePoint aNow, const ColdNews& aNews,
                                           std::int64_t aBornMs);

} // namespace caraway::direct
