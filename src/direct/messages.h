// Messages of the direct path between processes. All pending messages to one process are sent in
// one datagram. Datagrams may be lost, so entries periodically send agents their complete state.
#pragma once

#include "direct/call.h"
#include "direct/leaving_table.h"
#include "direct/version_move.h"

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace caraway::direct {

// Entry to agent: asks for a slot of the agent's endpoint.
struct ReserveSlot
{
  CallNumber call = 0;
  Tier tier = kLowestTier;
  Tier rank = kLowestTier;        // orders calls within a tier
  std::int32_t startWithinMs = 0; // to meet its objective; negative once missed
  std::int32_t endWithinMs = 0;
  std::uint32_t promptTokens = 0; // not yet cached at this endpoint, estimated by the entry
  std::uint32_t outputTokens = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(call, tier, rank, startWithinMs, endWithinMs, promptTokens, outputTokens);
  }

  friend bool operator==(const ReserveSlot&, const ReserveSlot&) = default;
};

// Entry to agent: cancels the reservation and any offer made for it.
struct WithdrawSlot
{
  CallNumber call = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(call);
  }

  friend bool operator==(const WithdrawSlot&, const WithdrawSlot&) = default;
};

// Agent to entry: a slot is held for the call until the offer expires.
struct OfferSlot
{
  CallNumber call = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(call);
  }

  friend bool operator==(const OfferSlot&, const OfferSlot&) = default;
};

// Entry to agent: the call was sent to the endpoint.
struct UseSlot
{
  CallNumber call = 0;
  std::uint32_t promptTokens = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(call, promptTokens);
  }

  friend bool operator==(const UseSlot&, const UseSlot&) = default;
};

// Entry to agent: the first event of the call's response arrived.
struct BeginAnswer
{
  CallNumber call = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(call);
  }

  friend bool operator==(const BeginAnswer&, const BeginAnswer&) = default;
};

// Entry to agent: the call no longer runs at the endpoint.
struct ReleaseSlot
{
  CallNumber call = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(call);
  }

  friend bool operator==(const ReleaseSlot&, const ReleaseSlot&) = default;
};

// Entry to agent: snapshot of all reservations and slots that the entry holds there. The agent
// releases any that are not listed.
struct HoldState
{
  std::uint32_t slots = 0; // of the endpoint, according to its registration
  std::vector<ReserveSlot> waiting;
  std::vector<UseSlot> running; // promptTokens is 0 once the first event has arrived

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(slots, waiting, running);
  }

  friend bool operator==(const HoldState&, const HoldState&) = default;
};

// Agent to entry: state of the endpoint as observed by its local agent.
struct AgentState
{
  std::int64_t endpointBornMs = 0;  // start of the endpoint process, Unix time; 0: unknown
  bool isReachable = false;         // the endpoint responds to the agent
  bool isLeaving = false;           // the endpoint has announced its shutdown
  std::uint32_t limit = 0;          // maximum concurrent requests at the endpoint
  std::uint32_t taken = 0;          // slots offered or in use
  std::uint32_t pendingPrefill = 0; // prompt tokens of running calls without a first event
  std::array<std::uint16_t, kTierCount> waiting{}; // reservations by rank
  // Time to first event measured over all entries: fixed part, and part per 1,000 pending prompt
  // tokens. Zero: not measured yet.
  std::uint32_t firstEventBaseUs = 0;
  std::uint32_t firstEventPer1000Us = 0;
  // IP addresses of a rotating sample of the entries known to the agent.
  std::vector<std::string> entries;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(endpointBornMs, isReachable, isLeaving, limit, taken, pendingPrefill, waiting,
             firstEventBaseUs, firstEventPer1000Us, entries);
  }

  friend bool operator==(const AgentState&, const AgentState&) = default;
};

// Between an entry and a queue, while an endpoint names a request rate and for a while after: the
// observation in force at the sender (see NamedRate).
struct RateNews
{
  bool isFromQueue = false;        // from the process that keeps the queue, to an entry
  std::int64_t endpointBornMs = 0; // start of the endpoint process, Unix time; 0: unknown
  double perSecond = -1;           // negative: no limit
  std::uint32_t earliestAgeMs = 0;
  std::uint32_t latestAgeMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(isFromQueue, endpointBornMs, perSecond, earliestAgeMs, latestAgeMs);
  }

  friend bool operator==(const RateNews&, const RateNews&) = default;
};

// Between an entry and a queue, about an endpoint whose service limits cold processes: the limits,
// and the statement in force at the sender (see ColdState).
struct ColdNews
{
  bool isFromQueue = false;        // from the process that keeps the queue, to an entry
  std::int64_t endpointBornMs = 0; // start of the endpoint process, Unix time; 0: unknown
  std::uint32_t coldTimeMs = 0;
  float perSecond = 0;
  float maxInSecond = 0;
  bool hasStatement = false;
  std::uint32_t remainingMs = 0; // zero: warm
  std::uint32_t earliestAgeMs = 0;
  std::uint32_t latestAgeMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(isFromQueue, endpointBornMs, coldTimeMs, perSecond, maxInSecond, hasStatement,
             remainingMs, earliestAgeMs, latestAgeMs);
  }

  friend bool operator==(const ColdNews&, const ColdNews&) = default;
};

// Quota usage of one account at one entry since the entry started.
struct AccountUsage
{
  std::uint64_t account = 0; // hash of the account name
  std::uint64_t units = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(account, units);
  }

  friend bool operator==(const AccountUsage&, const AccountUsage&) = default;
};

// Usage of one account in the last window, in buckets of equal time, newest first.
struct SavedUsage
{
  std::uint64_t account = 0;
  std::vector<std::uint32_t> units;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(account, units);
  }

  friend bool operator==(const SavedUsage&, const SavedUsage&) = default;
};

// Entry to entry, from one that started less than a window ago: asks for a UsageWindow.
struct UsageRequest
{
  template<class Archive>
  void serialize(Archive&)
  {
  }

  friend bool operator==(const UsageRequest&, const UsageRequest&) = default;
};

// Entry to entry: usage of all entries in the last window as known to the sender, which has counted
// for a whole window; omits accounts with negligible usage.
struct UsageWindow
{
  std::vector<SavedUsage> accounts;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(accounts);
  }

  friend bool operator==(const UsageWindow&, const UsageWindow&) = default;
};

// Entry to entry: state that is shared to enforce limits over all entries.
struct EntryState
{
  std::int64_t sentAtUs = 0; // the sender's clock
  // Last sentAtUs received from the receiver, which proves that this state is not older than that.
  std::int64_t echoUs = 0;
  std::uint64_t configVersion = 0;  // of the active configuration
  std::uint32_t configAgeMs = 0;    // since the platform's store confirmed it as current
  std::uint64_t endpointsHash = 0;  // of the sender's endpoint list
  std::uint32_t endpointsAgeMs = 0; // since the list was read from the store
  bool readsStore = false;          // the sender can reach the store
  std::uint64_t storeEra = 0;       // rises when the store was restored; 0: unknown
  // Since quota usage was last known by the sender to be saved; zero: not saved by any entry.
  std::uint32_t usageSavedAgeMs = 0;
  std::vector<AccountUsage> usages;
  // Usage of all entries in the last window, sent by the entry that receives all states every
  // round.
  std::vector<AccountUsage> windowUsages;
  std::vector<MoveState> moves;             // version moves in progress or recently ended
  std::vector<EndpointIncarnation> leaving; // recently announced to the sender
  std::vector<Suspicion> suspicions;        // requests during which endpoints crashed
  std::vector<Suspicion> partSuspicions;    // parts of prompts in such requests

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(sentAtUs, echoUs, configVersion, configAgeMs, endpointsHash, endpointsAgeMs,
             readsStore, storeEra, usageSavedAgeMs, usages, windowUsages, moves, leaving,
             suspicions, partSuspicions);
  }

  friend bool operator==(const EntryState&, const EntryState&) = default;
};

using QueueMessage = std::variant<ReserveSlot, WithdrawSlot, OfferSlot, UseSlot, BeginAnswer,
                                  ReleaseSlot, HoldState, AgentState, RateNews, ColdNews>;

// Exchanged with the entry that owns the queue of an endpoint without an agent.
struct QueueEnvelope
{
  std::uint64_t endpoint = 0; // hash of the endpoint id
  QueueMessage message;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(endpoint, message);
  }

  friend bool operator==(const QueueEnvelope&, const QueueEnvelope&) = default;
};

using DirectMessage =
  std::variant<ReserveSlot, WithdrawSlot, OfferSlot, UseSlot, BeginAnswer, ReleaseSlot, HoldState,
               AgentState, EntryState, QueueEnvelope, RateNews, UsageRequest, UsageWindow,
               ColdNews>; // append only, as older builds read the others

DirectMessage ToDirectMessage(const QueueMessage& aMessage);
// Returns nullopt if the message is not a queue message.
std::optional<QueueMessage> ToQueueMessage(const DirectMessage& aMessage);

struct Datagram
{
  Peer from;
  std::vector<DirectMessage> messages;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(from, messages);
  }

  friend bool operator==(const Datagram&, const Datagram&) = default;
};

std::string EncodeDatagram(const Datagram& aDatagram);
// Returns nullopt unless the bytes are exactly one valid datagram.
std::optional<Datagram> DecodeDatagram(std::string_view aBytes);

} // namespace caraway::direct
