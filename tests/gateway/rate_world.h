// Entries without agents that share one endpoint, in virtual time: dispatchers and owned queues
// exchange messages over a bus instead of sockets.
#pragma once

#include "direct/dispatcher.h"
#include "gateway/owned_queues.h"

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <set>

namespace caraway::gateway {

using direct::AttemptEnd;
using direct::CallNumber;
using direct::EndpointInfo;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Duration kWindow = seconds(4);
inline constexpr Duration kHop = milliseconds(2);      // of a message between entries
inline constexpr Duration kRunTime = milliseconds(40); // of a call, with its way
inline constexpr Duration kCallPeriod = milliseconds(25);
inline constexpr Duration kStatePeriod = milliseconds(200);

struct World
{
  struct Entry final
    : direct::DispatchPort
    , OwnedQueuesPort
  {
    Entry(World& aWorld, std::uint64_t aNumber, std::uint64_t aIncarnation = 1)
      : world(aWorld)
      , host("10.0.0." + std::to_string(aNumber))
      , peer{ NodeId{ aNumber }, Incarnation{ aIncarnation } }
      , random(aNumber)
      , budget({}, aWorld.now)
      , dispatcher({}, this->peer, "here", this->random, this->budget, *this)
      , queues({}, *this)
    {
    }

    void StartAttempt(CallNumber aCall, const EndpointInfo&) override
    {
      this->world.Run(*this, aCall);
    }
    void GiveUp(CallNumber, direct::GiveUpReason, Duration aRetryAfter) override
    {
      this->givenUp++;
      this->minRetryAfter = std::min(this->minRetryAfter, aRetryAfter);
    }
    void SendToAgent(const std::string&, const direct::DirectMessage& aMessage) override
    {
      if (this->world.toAgent) {
        this->world.toAgent(*this, aMessage);
      }
    }
    void SendToOwner(const std::string& aHost, const direct::QueueEnvelope& aMessage) override
    {
      this->world.Send(*this, aHost, aMessage);
    }
    void OnQueueChange(const EndpointInfo&, std::string_view, bool, Duration) override {}
    void ProbeEndpoint(const EndpointInfo&) override {}
    void OnEndpointDied(const EndpointInfo&, std::string_view, std::size_t) override {}
    void OnSuspect(const direct::SuspectUpdate&) override {}
    void OnNamedRate(const EndpointInfo&, std::optional<double>, std::string_view) override {}
    void SendFromOwnedQueue(const Address& aEntry, const direct::QueueEnvelope& aMessage) override
    {
      this->world.Send(*this, aEntry.host, aMessage);
    }

    World& world;
    std::string host;
    Peer peer;
    Random random;
    direct::RetryBudget budget;
    direct::Dispatcher dispatcher;
    OwnedQueues queues;
    CallNumber lastCall = 0;
    int givenUp = 0;
    Duration minRetryAfter = Duration::max();
    TimePoint toldAt = kNever;
    bool isDead = false; // replaced by a later process
  };

  explicit World(int aEntries, bool aHasAgents = false, const direct::ColdLimits& aLimits = {})
    : hasAgents(aHasAgents)
  {
    EndpointInfo info;
    info.id = "e1";
    info.service = "app";
    info.host = "10.0.1.1";
    info.port = 80;
    info.slots = 6;
    info.bornMs = 1;
    info.coldLimits = aLimits;
    this->listed[info.id] = info;
    for (int index = 1; index <= aEntries; index++) {
      this->entries.emplace_back(*this, index);
    }
    this->List();
    this->SetOwner("10.0.0.1");
    this->Play(seconds(2));
  }

  // Gives all entries the list of endpoints.
  void List()
  {
    const auto count = std::count_if(this->entries.begin(), this->entries.end(),
                                     [](const Entry& aEntry) { return !aEntry.isDead; });
    const auto hasAgent = [this](const std::string&) { return this->hasAgents; };
    for (Entry& entry : this->entries) {
      entry.queues.SetEndpoints(this->now, this->listed, hasAgent);
      entry.dispatcher.SetEndpoints(this->now, this->listed, hasAgent);
      entry.dispatcher.SetEntryCount(static_cast<std::uint32_t>(count));
    }
  }

  void SetOwner(const std::string& aHost)
  {
    this->owner = aHost;
    for (Entry& entry : this->entries) {
      entry.dispatcher.SetOwners(this->now, { { "e1", aHost } });
    }
  }

  // Replaces the processes of all entries.
  void RestartEntries()
  {
    this->incarnation++;
    const std::size_t count = this->entries.size();
    auto old = this->entries.begin();
    for (std::size_t index = 0; index < count; index++, ++old) {
      if (!old->isDead) {
        old->isDead = true;
        this->entries.emplace_back(*this, static_cast<std::uint64_t>(old->peer.node),
                                   this->incarnation);
      }
    }
    this->List();
    this->SetOwner(std::string(this->owner));
  }

  void NameRate(std::optional<double> aRate)
  {
    this->rate = aRate;
    this->namedAt = this->namedAt == TimePoint{} ? this->now : this->namedAt;
  }

  void Send(const Entry& aFrom, const std::string& aHost, const direct::QueueEnvelope& aMessage)
  {
    if (this->cut.contains(aFrom.host) != this->cut.contains(aHost)) {
      return;
    }
    const auto to =
      std::find_if(this->entries.begin(), this->entries.end(),
                   [&](const Entry& aEntry) { return aEntry.host == aHost && !aEntry.isDead; });
    if (aFrom.isDead || to == this->entries.end()) {
      return;
    }
    this->bus.emplace(this->now + kHop, [this, &aFrom, &entry = *to, aMessage] {
      const auto* news = std::get_if<direct::RateNews>(&aMessage.message);
      const auto* cold = std::get_if<direct::ColdNews>(&aMessage.message);
      const bool isFromOwner = std::holds_alternative<direct::AgentState>(aMessage.message) ||
                               std::holds_alternative<direct::OfferSlot>(aMessage.message) ||
                               (news != nullptr && news->isFromQueue) ||
                               (cold != nullptr && cold->isFromQueue);
      if (isFromOwner) {
        entry.dispatcher.OnOwnerMessage(this->now, aFrom.host, aMessage);
      } else {
        entry.queues.OnMessage(this->now, Address{ aFrom.host, 1 }, aFrom.peer, aMessage);
      }
    });
  }

  // The endpoint runs a call and answers with the rate that it names then.
  void Run(Entry& aEntry, CallNumber aCall)
  {
    this->runs++;
    this->starts.push_back(this->now);
    if (this->rate && this->now > aEntry.toldAt && this->now - aEntry.toldAt >= milliseconds(500)) {
      this->arrivals.push_back(this->now);
    }
    this->bus.emplace(this->now + kRunTime, [this, &aEntry, aCall, sentAt = this->now] {
      if (aEntry.dispatcher.EndpointOf(aCall) == nullptr) {
        return;
      }
      direct::EndpointNotice notice;
      notice.maxRate = this->rate;
      if (this->rate && aEntry.toldAt == kNever) {
        aEntry.toldAt = this->now;
      }
      aEntry.dispatcher.OnNotice(this->now, "e1", notice, sentAt);
      aEntry.dispatcher.OnAttemptEnd(this->now, aCall, AttemptEnd::kAnswered);
    });
  }

  void Submit(Entry& aEntry)
  {
    direct::CallSpec spec;
    spec.number = ++aEntry.lastCall;
    spec.service = "app";
    spec.tier = static_cast<Tier>(spec.number % 2);
    spec.rank = spec.tier;
    spec.objective = milliseconds(500);
    spec.arrived = this->now;
    spec.deadline = this->now + seconds(3);
    aEntry.dispatcher.Submit(this->now, spec);
  }

  void Play(Duration aTime)
  {
    for (const TimePoint end = this->now + aTime; this->now < end; this->now += milliseconds(1)) {
      while (!this->bus.empty() && this->bus.begin()->first <= this->now) {
        const std::function<void()> deliver = this->bus.begin()->second;
        this->bus.erase(this->bus.begin());
        deliver();
      }
      if (this->onTick) {
        this->onTick();
      }
      Duration stagger{};
      for (Entry& entry : this->entries) {
        if (entry.isDead) {
          continue;
        }
        const Duration at = this->now.time_since_epoch() + stagger;
        stagger += milliseconds(7);
        if (at % kCallPeriod == Duration::zero()) {
          this->Submit(entry);
        }
        if (at % kStatePeriod == Duration::zero()) {
          entry.queues.SendStates(this->now);
        }
        if (entry.dispatcher.NextTimer() <= this->now) {
          entry.dispatcher.OnTimer(this->now);
        }
        if (entry.queues.NextTimer(this->now) <= this->now) {
          entry.queues.OnTimer(this->now);
        }
      }
    }
  }

  // Highest number of arrivals in kWindow, from told entries and three seconds after the naming.
  std::size_t MostInWindow() const
  {
    std::size_t most = 0;
    for (auto last = this->arrivals.begin(); last != this->arrivals.end(); ++last) {
      if (*last >= this->namedAt + seconds(3)) {
        const auto first = std::lower_bound(this->arrivals.begin(), last, *last - kWindow);
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
      }
    }
    return most;
  }

  static double Allowed(double aRate) { return 1.5 * aRate * SecondsOf(kWindow) + 5; }

  TimePoint now{ seconds(1000) };
  std::map<std::string, EndpointInfo> listed;
  std::list<Entry> entries;
  std::multimap<TimePoint, std::function<void()>> bus;
  std::set<std::string> cut; // hosts that hear only each other
  std::optional<double> rate;
  TimePoint namedAt{};
  std::vector<TimePoint> arrivals;
  std::vector<TimePoint> starts; // of all runs
  int runs = 0;
  bool hasAgents = false;
  std::string owner;
  std::uint64_t incarnation = 1;
  std::function<void(Entry&, const direct::DirectMessage&)> toAgent;
  std::function<void()> onTick;
};

} // namespace caraway::gateway
