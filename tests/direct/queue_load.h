// Plays a load of calls on one endpoint's queue, without a network.
#pragma once

#include "direct/slot_queue.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace caraway::direct::test {

// A call at one endpoint. Times are relative to the start of the load.
struct PlayedCall
{
  Duration arrives{};
  Duration objective{}; // latest start to be on time
  Duration patience{};  // latest start at all
  Duration runs{};      // slot time
  ReserveSlot request;  // rank, account and tokens; the other fields are set here
};

// Returns when each call started; nullopt: not within its patience.
inline std::vector<std::optional<Duration>> PlayLoad(const std::vector<PlayedCall>& aCalls,
                                                     std::uint32_t aSlots,
                                                     const SlotQueueOptions& aOptions = {})
{
  struct Port : SlotQueuePort
  {
    void OfferSlotTo(const Peer&, CallNumber aCall) override { this->offers.push_back(aCall); }
    std::vector<CallNumber> offers;
  };
  constexpr Duration kTick = std::chrono::milliseconds(1);
  const Peer holder{ NodeId{ 1 }, Incarnation{ 1 } };
  const TimePoint begin{ std::chrono::seconds(100) };
  Port port;
  SlotQueue queue(aOptions, port);
  queue.SetLimit(begin, aSlots);
  std::vector<std::size_t> arrivals(aCalls.size());
  for (std::size_t index = 0; index < aCalls.size(); index++) {
    arrivals[index] = index;
  }
  std::stable_sort(arrivals.begin(), arrivals.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return aCalls[aLeft].arrives < aCalls[aRight].arrives;
  });
  std::vector<std::optional<Duration>> starts(aCalls.size());
  std::multimap<TimePoint, CallNumber> ends;
  std::size_t next = 0;
  for (TimePoint now = begin; next < arrivals.size() || queue.WaitingCount() + queue.Taken() > 0;
       now += kTick) {
    for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) {
      queue.Release(now, holder, ends.begin()->second);
    }
    for (; next < arrivals.size() && begin + aCalls[arrivals[next]].arrives <= now; next++) {
      const PlayedCall& call = aCalls[arrivals[next]];
      ReserveSlot request = call.request;
      request.call = arrivals[next] + 1;
      request.startWithinMs = static_cast<std::int32_t>(call.objective.count() / 1000);
      request.endWithinMs = static_cast<std::int32_t>(call.patience.count() / 1000);
      queue.Reserve(now, holder, request);
    }
    queue.KeepAlive(now, holder);
    queue.OnTimer(now);
    while (!port.offers.empty()) {
      const CallNumber number = port.offers.front();
      port.offers.erase(port.offers.begin());
      const PlayedCall& call = aCalls[number - 1];
      starts[number - 1] = now - begin;
      ends.emplace(now + call.runs, number);
      queue.Use(now, holder, UseSlot{ number, call.request.promptTokens });
      queue.BeginAnswer(now, holder, number);
    }
  }
  return starts;
}

} // namespace caraway::direct::test
