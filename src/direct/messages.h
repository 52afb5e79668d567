// Messages of the direct path between processes, one datagram for all that one process has to say
// to another. Datagrams may be lost: entries repeat the whole of what they hold at an agent.
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
  Tier rank = kLowestTier;      // among calls of one tier
  std::int32_t startLeftMs = 0; // until it must be sent to meet its objective; negative afterwards
  std::int32_t timeLeftMs = 0;
  std::uint32_t promptTokens = 0; // to be read by this endpoint, as far as the entry knows
  std::uint32_t outputTokens = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(call, tier, rank, startLeftMs, timeLeftMs, promptTokens, outputTokens);
  }

  friend bool operator==(const ReserveSlot&, const ReserveSlot&) = default;
};

// Entry to agent: neither the reservation nor an offer for it is wanted any more.
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

// Agent to entry: a slot is held for the call for a short time.
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

// Entry to agent: the first event of the call's answer arrived.
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

// Entry to agent: the call has left the endpoint.
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

// Entry to agent: all that the entry holds there. What is missing in it is released.
struct HoldState
{
  std::uint32_t slots = 0; // of the endpoint, by its registration
  std::vector<ReserveSlot> waiting;
  std::vector<UseSlot> running; // prompt tokens 0: the answer has begun

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(slots, waiting, running);
  }

  friend bool operator==(const HoldState&, const HoldState&) = default;
};

// Agent to entry: the endpoint as the agent beside it sees it.
struct AgentState
{
  std::int64_t endpointBornMs = 0;  // start of the endpoint's process, Unix time; 0: not known
  bool isReachable = false;         // the endpoint answers the agent
  bool isLeaving = false;           // the endpoint says that it leaves
  std::uint32_t limit = 0;          // requests that may be at the endpoint at once
  std::uint32_t taken = 0;          // offered or running
  std::uint32_t pendingPrefill = 0; // prompt tokens at the endpoint before their first event
  std::array<std::uint16_t, kTierCount> waiting{}; // reservations by rank
  // Time to a first event, learned over all entries: without a prompt, and for each 1,000 prompt
  // tokens to be read until then. Zero: nothing learned yet.
  std::uint32_t firstEventBaseUs = 0;
  std::uint32_t firstEventPer1000Us = 0;
  // IP numbers of some of the entries that the agent hears, others in each state.
  std::vector<std::string> entries;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(endpointBornMs, isReachable, isLeaving, limit, taken, pendingPrefill, waiting,
             firstEventBaseUs, firstEventPer1000Us, entries);
  }

  friend bool operator==(const AgentState&, const AgentState&) = default;
};

// Use of one account's quota at one entry since its start.
struct AccountUse
{
  std::uint64_t account = 0; // hash of its name
  std::uint64_t tokens = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(account, tokens);
  }

  friend bool operator==(const AccountUse&, const AccountUse&) = default;
};

// Entry to entry: what the bounds over all entries need.
struct EntryState
{
  std::int64_t sentAtUs = 0; // the sender's clock
  // The receiver's clock as last sent by it: shows that this state is not older than that.
  std::int64_t echoUs = 0;
  std::uint64_t configOffset = 0;   // of the configuration in force there
  std::uint32_t configAgeMs = 0;    // since the platform's store confirmed it as the newest
  std::uint64_t endpointsHash = 0;  // of the list of endpoints there
  std::uint32_t endpointsAgeMs = 0; // since the list was read from the store
  bool readsStore = false;          // the store answers the sender
  // Since the use of quotas was last saved, as far as the sender knows; zero: nobody saves it.
  std::uint32_t useSavedAgeMs = 0;
  std::vector<AccountUse> uses;
  // From the entry that hears all others in every round: use of all entries in the last window.
  std::vector<AccountUse> windowUses;
  std::vector<MoveState> moves;      // of versions, that are under way or have just ended
  std::vector<EndpointLife> leaving; // that said so to the sender a short while ago
  std::vector<Suspicion> suspicions; // of requests under which endpoints died

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(sentAtUs, echoUs, configOffset, configAgeMs, endpointsHash, endpointsAgeMs, readsStore,
             useSavedAgeMs, uses, windowUses, moves, leaving, suspicions);
  }

  friend bool operator==(const EntryState&, const EntryState&) = default;
};

using QueueMessage = std::variant<ReserveSlot, WithdrawSlot, OfferSlot, UseSlot, BeginAnswer,
                                  ReleaseSlot, HoldState, AgentState>;

// Between an entry and the entry that owns the queue of an endpoint without an agent.
struct ForEndpoint
{
  std::uint64_t endpoint = 0; // hash of its id
  QueueMessage message;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(endpoint, message);
  }

  friend bool operator==(const ForEndpoint&, const ForEndpoint&) = default;
};

using DirectMessage = std::variant<ReserveSlot, WithdrawSlot, OfferSlot, UseSlot, BeginAnswer,
                                   ReleaseSlot, HoldState, AgentState, EntryState, ForEndpoint>;

DirectMessage ToDirect(const QueueMessage& aMessage);
// nullopt for a message that is not for or from a queue.
std::optional<QueueMessage> ToQueue(const DirectMessage& aMessage);

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
// nullopt for anything that is not exactly one datagram.
std::optional<Datagram> DecodeDatagram(std::string_view aBytes);

} // namespace caraway::direct
