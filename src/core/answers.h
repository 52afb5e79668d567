// Answers kept at an agent until their entry has them, and tombstones of requests that must not
// run (again). Memory is bounded by bytes and by count.
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
  std::optional<Peer> owner;    // entry that gets the chunks; none while its entry is gone
  TimePoint ownerless = kNever; // since when it has had no owner
  std::vector<Chunk> chunks;    // from number `first` on
  std::uint32_t first = 0;
  std::uint32_t acked = 0; // chunks below are known to have arrived
  std::uint64_t bytes = 0; // of all chunks, also of forgotten ones
  StreamHash hash;
  std::optional<Finish> finish; // set once the endpoint's work ended
  TimePoint finishedAt = kNever;
  bool delivered = false; // the entry confirmed the Finish

  std::uint32_t Count() const
  {
    return this->first + static_cast<std::uint32_t>(this->chunks.size());
  }
};

class AnswerStore
{
public:
  AnswerStore(std::uint32_t aMaxBytes, Duration aKeep);

  // Starts the answer of a dispatched request; false if there is one already.
  bool Begin(const RequestId& aId, const std::string& aAccount, Peer aOwner);
  // Appends the next chunk; nullptr for an unknown or finished answer. Valid until the next call.
  const Chunk* Append(const RequestId& aId, std::uint32_t aTokens, const std::string& aData);
  // Closes an answer; fills in the number, length and checksum of the chunks.
  const Finish* End(TimePoint aNow, const RequestId& aId, Finish aFinish);
  void Ack(const RequestId& aId, std::uint32_t aNextChunk, bool aFinished);

  Answer* Find(const RequestId& aId);
  const Answer* Find(const RequestId& aId) const;
  // Makes a peer the owner of an answer.
  void Own(Answer& aAnswer, Peer aOwner) const;
  // The entry is gone: its answers have no owner from now on.
  void Disown(TimePoint aNow, NodeId aNode);

  // Requests still running whose answers have had no owner for longer than the time to keep them.
  std::vector<RequestId> Abandoned(TimePoint aNow) const;
  // Request whose unconfirmed chunks alone exceed the memory, if any: its work has to stop.
  std::optional<RequestId> Oversized() const;
  // Forgets finished answers that are old enough. Returns the next time at which something is due.
  TimePoint Expire(TimePoint aNow);
  // Drops chunks, confirmed ones first, until the rest fits into the memory.
  void Trim();

  std::uint64_t KeptBytes() const { return this->keptBytes; }
  std::size_t Size() const { return this->answers.size(); }
  // Finished answers whose entry has not confirmed them.
  std::size_t Waiting() const;

private:
  void ForgetConfirmed(Answer& aAnswer);
  void Erase(const RequestId& aId);

  std::uint64_t maxBytes;
  Duration keep;
  std::uint64_t keptBytes = 0;
  std::unordered_map<RequestId, Answer> answers;
};

enum class Tombstone : std::uint8_t
{
  kNone,
  kVoid,      // said not to have run; grants of the past are refused, it may be reserved again
  kBuried,    // never ran, and never will here
  kRan,       // was dispatched
  kForgotten, // so old that it may have been dispatched and forgotten
};

// A request in this state may be reserved and dispatched.
inline bool MayRun(Tombstone aState)
{
  return aState == Tombstone::kNone || aState == Tombstone::kVoid;
}

// Remembers which requests were dispatched or buried. When it has to forget, it keeps the newest
// creation time of what was forgotten and answers kForgotten for anything as old as that.
class TombstoneTable
{
public:
  TombstoneTable(std::uint32_t aCapacity, Duration aKeep);

  // Sets the state; kBuried and kRan stay what they are.
  void Add(Now aNow, const RequestId& aId, Tombstone aState);
  Tombstone Find(const RequestId& aId) const;
  // The process began at aWall and knows nothing of its earlier lives.
  void SetBirth(WallTime aWall);
  // An earlier life may have dispatched the request.
  bool MayPrecedeBirth(const RequestId& aId) const;
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
  Duration keep;
  std::deque<Entry> order;
  std::unordered_map<RequestId, Tombstone> states;
  std::optional<WallTime> forgottenUntil;
  std::optional<WallTime> birth;
};

} // namespace caraway
