// Exchange of named rates between the processes that use an endpoint.
#pragma once

#include "direct/messages.h"
#include "direct/named_rate.h"

#include <optional>

namespace caraway::direct {

// Share of a named rate that a queue may use while a better one, which uses the rate itself, has
// timed out here: other entries may still reach that one.
constexpr double kFallbackRateShare = 0.5;

// What to tell other processes about the endpoint that started at aBornMs; nullopt if nothing was
// named recently.
// aIsFromQueue: the sender keeps the endpoint's queue.
std::optional<RateNews> NewsOf(TimePoint aNow, const NamedRate& aRate, std::int64_t aBornMs,
                               bool aIsFromQueue);

// Reads news about the endpoint that started at aBornMs; nullopt if it is about another process.
std::optional<RateObservation> ReadNews(TimePoint aNow, const RateNews& aNews,
                                        std::int64_t aBornMs);

} // namespace caraway::direct
