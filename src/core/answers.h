// Answers that an agent keeps until their entry has confirmed them, and tombstones of requests that
// must not run, or not run again. Memory is limited by bytes and by count.
#pragma once

#include "core/messages.h"
#include "core/stream_hash.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace caraway {

// The answer of one dispatched request.
struct Answer
{
  std::string account;
  std::optional<Peer> owner;         // entry that receives the chunks; empty while disconnected
  TimePoint ownerlessSince = kNever; // when the owner disconnected
  std::vector<Chunk> chunks;         // chunks that are still kept, starting at number `first`
  std::uint32_t first = 0;
  std::uint32_t confirmedChunks = 0; // the entry confirmed the chunks below this number
  std::uint64_t bytes = 0;           // of all chunks, including dropped ones
  StreamHash hash;
  std::optional<Finish> finish; // set when the endpoint has finished
  TimePoint finishedAt = kNever;
  bool isDelivered = false; // the entry confirmed the Finish

  std::uint32_t Count() const
  {
    return this->first + static_cast<std::uint32_t>(this->chunks.size());
  }
};

class AnswerStore
{
public:
  AnswerStore(std::uint32_t aMaxBytes, Duration aRetention);

  // Starts the answer of a dispatched request; false if one exists already.
  bool Begin(const RequestId& aId, const std::string& aAccount, Peer aOwner);
  // Appends the next chunk; nullptr for an unknown or finished answer. The result is valid until
  // the next call.
  const Chunk* Append(const RequestId& aId, std::uint32_t aTokens, const std::string& aData);
  // Finishes an answer; fills in the number, total length and checksum of its chunks.
  const Finish* End(TimePoint aNow, const RequestId& aId, Finish aFinish);
  void Ack(const RequestId& aId, std::uint32_t aNextChunk, bool aFinished);

  Answer* Find(const RequestId& aId);
  const Answer* Find(const RequestId& aId) const;
  // Assigns the answer to another entry.
  void SetOwner(Answer& aAnswer, Peer aOwner) const;
  // Removes a disconnected entry as the owner of its answers.
  void ClearOwner(TimePoint aNow, NodeId aNode);

  // Running requests whose answers have had no owner for the retention time or longer.
  std::vector<RequestId> FindAbandoned(TimePoint aNow) const;
  // If the chunks that Trim cannot drop exceed the memory limit, the running request with the
  // largest answer, which has to be aborted.
  std::optional<RequestId> FindOversized() const;
  // Erases finished answers older than the retention time. Returns when the next answer expires or
  // becomes abandoned.
  TimePoint Expire(TimePoint aNow);
  // Drops confirmed chunks, then the oldest finished answers (delivered ones first), until the rest
  // fits into the memory limit.
  void Trim();

  std::uint64_t KeptBytes() const { return this->keptBytes; }
  std::size_t Size() const { return this->answers.size(); }
  // Finished answers that their entry has not confirmed.
  std::size_t CountUnconfirmed() const;

private:
  void DropConfirmedChunks(Answer& aAnswer);
  void Erase(const RequestId& aId);

  std::uint64_t maxBytes;
  Duration retention;
  std::uint64_t keptBytes = 0;
  std::unordered_map<RequestId, Answer> answers;
};

enum class Tombstone : std::uint8_t
{
  kNone,
  kRevoked,    // reported as not run; earlier grants are refused, a new reservation is allowed
  kNeverRan,   // has not run at this agent and must not run here
  kDispatched, // was or may have been dispatched
  kForgotten,  // too old to tell: may have been dispatched, its tombstone was dropped
};

// Whether a request in this state may be reserved and dispatched.
inline bool MayRun(Tombstone aState)
{
  return aState == Tombstone::kNone || aState == Tombstone::kRevoked;
}

// Tombstones of requests that were dispatched or barred from running. When tombstones expire or
// exceed the capacity, the newest creation time among the dropped ones is kept, and Find returns
// kForgotten for any unknown request that is not newer than it.
class TombstoneTable
{
public:
  TombstoneTable(std::uint32_t aCapacity, Duration aRetention);

  // Sets the state, unless it is kNeverRan or kDispatched already: these are final.
  void Add(Now aNow, const RequestId& aId, Tombstone aState);
  Tombstone Find(const RequestId& aId) const;
  // Sets the start time of this process, unless already set. Requests that earlier incarnations
  // dispatched are unknown.
  void SetProcessStart(WallTime aWall);
  // Whether an earlier incarnation of the process may have dispatched the request.
  bool MayPrecedeProcessStart(const RequestId& aId) const;
  void Expire(Now aNow);
  std::size_t Size() const { return this->states.size(); }

private:
  struct Entry
  {
    RequestId id;
    TimePoint added;
    WallTime wall;
  };
  void ForgetOldest();

  std::uint32_t capacity;
  Duration retention;
  std::deque<Entry> order;
  std::unordered_map<RequestId, Tombstone> states;
  std::optional<WallTime> forgottenUntil;
  std::optional<WallTime> processStart;
};

} // namespace caraway
