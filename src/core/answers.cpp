#include "core/answers.h"

#include "core/uuid.h"

#include <algorithm>

namespace caraway {

namespace {

// Largest expected difference between the wall clocks of two processes, including callers that
// create request identifiers.
constexpr std::chrono::milliseconds kClockSkew{ 60000 };

} // namespace

AnswerStore::AnswerStore(std::uint32_t aMaxBytes, Duration aRetention)
  : maxBytes(aMaxBytes)
  , retention(aRetention)
{
}

bool AnswerStore::Begin(const RequestId& aId, const std::string& aAccount, Peer aOwner)
{
  const auto [place, isNew] = this->answers.try_emplace(aId);
  if (!isNew) {
    return false;
  }
  place->second.account = aAccount;
  place->second.owner = aOwner;
  return true;
}

const Chunk* AnswerStore::Append(const RequestId& aId, std::uint32_t aTokens,
                                 const std::string& aData)
{
  Answer* answer = this->Find(aId);
  if (answer == nullptr || answer->finish.has_value()) {
    return nullptr;
  }
  answer->hash.Add(aData);
  answer->bytes += aData.size();
  this->keptBytes += aData.size();
  answer->chunks.push_back(Chunk{ aId, answer->Count(), aTokens, aData });
  return &answer->chunks.back();
}

const Finish* AnswerStore::End(TimePoint aNow, const RequestId& aId, Finish aFinish)
{
  Answer* answer = this->Find(aId);
  if (answer == nullptr || answer->finish.has_value()) {
    return nullptr;
  }
  aFinish.id = aId;
  aFinish.chunks = answer->Count();
  aFinish.bytes = answer->bytes;
  aFinish.checksum = answer->hash.Digest();
  answer->finish = aFinish;
  answer->finishedAt = aNow;
  return &*answer->finish;
}

void AnswerStore::Ack(const RequestId& aId, std::uint32_t aNextChunk, bool aFinished)
{
  Answer* answer = this->Find(aId);
  if (answer == nullptr) {
    return;
  }
  answer->confirmedChunks =
    std::max(answer->confirmedChunks, std::min(aNextChunk, answer->Count()));
  answer->isDelivered = answer->isDelivered || (aFinished && answer->finish.has_value());
}

Answer* AnswerStore::Find(const RequestId& aId)
{
  const auto found = this->answers.find(aId);
  return found == this->answers.end() ? nullptr : &found->second;
}

const Answer* AnswerStore::Find(const RequestId& aId) const
{
  const auto found = this->answers.find(aId);
  return found == this->answers.end() ? nullptr : &found->second;
}

void AnswerStore::SetOwner(Answer& aAnswer, Peer aOwner) const
{
  aAnswer.owner = aOwner;
  aAnswer.ownerlessSince = kNever;
  aAnswer.isDelivered = false;
}

void AnswerStore::ClearOwner(TimePoint aNow, NodeId aNode)
{
  for (auto& [id, answer] : this->answers) {
    if (answer.owner.has_value() && answer.owner->node == aNode) {
      answer.owner.reset();
      answer.ownerlessSince = aNow;
    }
  }
}

std::vector<RequestId> AnswerStore::FindAbandoned(TimePoint aNow) const
{
  std::vector<RequestId> found;
  for (const auto& [id, answer] : this->answers) {
    const bool isOrphan = !answer.owner.has_value() && !answer.finish.has_value();
    if (isOrphan && aNow - answer.ownerlessSince >= this->retention) {
      found.push_back(id);
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

std::optional<RequestId> AnswerStore::FindOversized() const
{
  if (this->keptBytes <= this->maxBytes) {
    return std::nullopt;
  }
  const std::pair<const RequestId, Answer>* largest = nullptr;
  for (const auto& entry : this->answers) {
    const bool isRunning = !entry.second.finish.has_value();
    if (isRunning && (largest == nullptr || entry.second.bytes > largest->second.bytes)) {
      largest = &entry;
    }
  }
  return largest == nullptr ? std::nullopt : std::optional(largest->first);
}

TimePoint AnswerStore::Expire(TimePoint aNow)
{
  TimePoint next = kNever;
  std::vector<RequestId> expired;
  for (const auto& [id, answer] : this->answers) {
    TimePoint due = kNever;
    if (answer.finish.has_value()) {
      due = answer.finishedAt + this->retention;
    } else if (!answer.owner.has_value()) {
      due = answer.ownerlessSince + this->retention;
    }
    if (answer.finish.has_value() && due <= aNow) {
      expired.push_back(id);
    } else if (due > aNow) {
      next = std::min(next, due);
    }
  }
  for (const RequestId& id : expired) {
    this->Erase(id);
  }
  return next;
}

void AnswerStore::Trim()
{
  if (this->keptBytes <= this->maxBytes) {
    return;
  }
  for (auto& [id, answer] : this->answers) {
    this->DropConfirmedChunks(answer);
  }
  while (this->keptBytes > this->maxBytes) {
    const std::pair<const RequestId, Answer>* oldest = nullptr;
    for (const auto& entry : this->answers) {
      const bool isFinished = entry.second.finish.has_value();
      const auto key = [](const auto& aEntry) {
        return std::pair(!aEntry.second.isDelivered, aEntry.second.finishedAt);
      };
      if (isFinished && (oldest == nullptr || key(entry) < key(*oldest))) {
        oldest = &entry;
      }
    }
    if (oldest == nullptr) {
      return;
    }
    this->Erase(RequestId(oldest->first));
  }
}

std::size_t AnswerStore::CountUnconfirmed() const
{
  return static_cast<std::size_t>(
    std::count_if(this->answers.begin(), this->answers.end(), [](const auto& aEntry) {
      return aEntry.second.finish.has_value() && !aEntry.second.isDelivered;
    }));
}

void AnswerStore::DropConfirmedChunks(Answer& aAnswer)
{
  const std::uint32_t count =
    aAnswer.confirmedChunks > aAnswer.first ? aAnswer.confirmedChunks - aAnswer.first : 0;
  for (std::uint32_t i = 0; i < count; i++) {
    this->keptBytes -= aAnswer.chunks[i].data.size();
  }
  aAnswer.chunks.erase(aAnswer.chunks.begin(), aAnswer.chunks.begin() + count);
  aAnswer.first += count;
}

void AnswerStore::Erase(const RequestId& aId)
{
  const auto found = this->answers.find(aId);
  if (found == this->answers.end()) {
    return;
  }
  for (const Chunk& chunk : found->second.chunks) {
    this->keptBytes -= chunk.data.size();
  }
  this->answers.erase(found);
}

TombstoneTable::TombstoneTable(std::uint32_t aCapacity, Duration aRetention)
  : capacity(aCapacity)
  , retention(aRetention)
{
}

void TombstoneTable::Add(Now aNow, const RequestId& aId, Tombstone aState)
{
  const auto [place, isNew] = this->states.try_emplace(aId, aState);
  if (!isNew) {
    place->second = MayRun(place->second) ? aState : place->second;
    return;
  }
  this->order.push_back(Entry{ aId, aNow.steady, aNow.wall });
  while (this->states.size() > this->capacity) {
    this->ForgetOldest();
  }
}

Tombstone TombstoneTable::Find(const RequestId& aId) const
{
  const auto found = this->states.find(aId);
  if (found != this->states.end()) {
    return found->second;
  }
  if (!this->forgottenUntil.has_value()) {
    return Tombstone::kNone;
  }
  const std::optional<WallTime> createdAt = TimeOfUuid7(aId);
  const bool isNewer = createdAt.has_value() && *createdAt > *this->forgottenUntil;
  return isNewer ? Tombstone::kNone : Tombstone::kForgotten;
}

void TombstoneTable::SetProcessStart(WallTime aWall)
{
  this->processStart = this->processStart.value_or(aWall);
}

bool TombstoneTable::MayPrecedeProcessStart(const RequestId& aId) const
{
  const std::optional<WallTime> createdAt = TimeOfUuid7(aId);
  return this->processStart.has_value() &&
         (!createdAt.has_value() || *createdAt < *this->processStart + kClockSkew);
}

void TombstoneTable::Expire(Now aNow)
{
  while (!this->order.empty() && this->order.front().added + this->retention <= aNow.steady) {
    this->ForgetOldest();
  }
}

void TombstoneTable::ForgetOldest()
{
  const Entry& oldest = this->order.front();
  const WallTime createdAt = TimeOfUuid7(oldest.id).value_or(oldest.wall);
  const WallTime until = std::min(createdAt, oldest.wall + kClockSkew);
  this->forgottenUntil = std::max(this->forgottenUntil.value_or(until), until);
  this->states.erase(oldest.id);
  this->order.pop_front();
}

} // namespace caraway
