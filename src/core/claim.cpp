#include "core/claim.h"

#include "core/key_table.h"
#include "core/uuid.h"

#include <algorithm>
#include <deque>
#include <unordered_map>

namespace caraway {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kMaxBatch = 200;              // records in one append
constexpr std::size_t kMaxAnswerBytes = 32 << 10;   // largest answer written to the log
constexpr std::size_t kMaxAnswersBytes = 16 << 20;  // of all answers in memory
constexpr std::size_t kMaxPendingResults = 10000;   // call results not yet read back from the log
constexpr Duration kRetryDelay = milliseconds(100); // after a failed append
constexpr Duration kReadBackDelay = seconds(1); // a result not read back by then is appended again
constexpr Duration kExpirePeriod = seconds(10); // between two removals of expired keys
constexpr auto kClockSkew = minutes(1);         // maximum between two entries

} // namespace

class ClaimController::Impl
{
public:
  Impl(const EntryOptions& aOptions, NodeId aSelf)
    : self(aSelf)
    , options(aOptions)
  {
  }

  void Begin(Now aNow, const RequestId& aId, Claim aClaim);
  void Finish(Now aNow, const RequestId& aId, Outcome aOutcome, std::uint16_t aStatus,
              const std::string& aAnswer);
  void OnRecord(Now aNow, const LogRecord& aRecord);
  void OnOldest(Now aNow, LogOffset aOldest);
  void OnAppended(Now aNow, std::uint64_t aToken, AppendResult aResult);
  std::vector<std::string> TakeBatch(Now aNow, std::uint64_t aToken);
  TimePoint NextTimer() const;
  void OnTimer(Now aNow);

  NodeId self;
  LogOffset next = 0; // first offset not yet read
  std::vector<ClaimDecision> decisions;

private:
  enum class Stage : std::uint8_t
  {
    kQueued,       // waiting for the next batch
    kInFlight,     // append sent, response pending
    kAwaitingRead, // appended, or the result is unknown: decided by reading the log
  };

  struct PendingClaim
  {
    Claim claim;
    Stage stage = Stage::kQueued;
    TimePoint deadline{};
  };

  // A call result that has not been read back from the log.
  struct PendingResult
  {
    CallResult callResult;
    TimePoint dueAt{}; // time of the next append
  };

  // A claim won by this incarnation whose call has not ended.
  struct WonClaim
  {
    ScopedKey key;
    Attempt attempt = 0;
  };

  bool RefuseExpiredKey(Now aNow, const RequestId& aId, const Claim& aClaim);
  bool DecideFromTable(Now aNow, const RequestId& aId, const Claim& aClaim);
  void AddDecision(ClaimDecision aDecision) { this->decisions.push_back(std::move(aDecision)); }
  void Refuse(const RequestId& aId, Reason aReason);
  void OnResult(Now aNow, LogOffset aOffset, const ClaimResult& aResult);
  void OnClaimLost(Now aNow, Attempt aAttempt, const Claim& aClaim);
  void Abandon(Now aNow, Attempt aAttempt, const PendingClaim& aPending);
  void QueueResult(Now aNow, CallResult aCallResult);
  void OnResultRead(const CallResult& aCallResult);
  void EndBatch(Now aNow, AppendResult aResult);
  void ExpirePendingClaims(Now aNow);

  EntryOptions options;
  KeyTable table{ kMaxAnswersBytes };
  bool hasReadRecord = false;
  WallTime coveredFrom{}; // keys created earlier may have been claimed in skipped records
  Attempt lastAttempt = 0;
  std::map<Attempt, PendingClaim> pendingClaims; // attempts increase, so ordered by deadline
  std::deque<Attempt> queued;
  std::unordered_map<RequestId, WonClaim> wonClaims;
  std::map<Attempt, WallTime> abandoned; // timed out or lost; their records may still appear
  std::map<Attempt, PendingResult> pendingResults;
  std::vector<Attempt> inFlightClaims;
  std::optional<std::uint64_t> inFlight; // token of the pending append
  TimePoint inFlightSince{};
  TimePoint batchDue = kNever;
  TimePoint resultsDue = kNever; // earliest dueAt of the pending results
  TimePoint expireDue{};
};

// ---- Starting claims

void ClaimController::Impl::Begin(Now aNow, const RequestId& aId, Claim aClaim)
{
  if (this->RefuseExpiredKey(aNow, aId, aClaim) || this->DecideFromTable(aNow, aId, aClaim)) {
    return;
  }
  const auto now = static_cast<Attempt>(aNow.wall.time_since_epoch().count()) * kAttemptsPerMs;
  this->lastAttempt = std::max(this->lastAttempt + 1, now);
  aClaim.attempt = this->lastAttempt;
  this->pendingClaims[aClaim.attempt] = { aClaim, Stage::kQueued,
                                          aNow.steady + this->options.claimTimeout };
  this->queued.push_back(aClaim.attempt);
  this->batchDue = std::min(this->batchDue, aNow.steady + this->options.claimBatchDelay);
}

// Refuses a key if its creation time is outside the key window or in the future, or if an earlier
// claim of it may be in skipped records.
bool ClaimController::Impl::RefuseExpiredKey(Now aNow, const RequestId& aId, const Claim& aClaim)
{
  const auto id = ParseUuid(aClaim.key.key);
  const auto createdAt = id ? TimeOfUuid7(*id) : std::nullopt;
  const auto window = std::chrono::duration_cast<milliseconds>(this->options.keyWindow);
  const bool isValid = createdAt && *createdAt + window >= aNow.wall &&
                       *createdAt <= aNow.wall + kClockSkew && *createdAt >= this->coveredFrom;
  if (!isValid) {
    this->Refuse(aId, Reason::kKeyExpired);
  }
  return !isValid;
}

// Decides from the claims already read from the log. Returns whether a decision was made.
bool ClaimController::Impl::DecideFromTable(Now aNow, const RequestId& aId, const Claim& aClaim)
{
  const KeyState* state = this->table.Find(aClaim.key);
  if (state == nullptr || !state->holder || state->holder->offset == aClaim.supersedes) {
    return false;
  }
  const KeyHolder& holder = *state->holder;
  const std::uint64_t hash = holder.claim.bodyHash;
  const bool isOtherCall = hash != 0 && aClaim.bodyHash != 0 && hash != aClaim.bodyHash;
  const bool isRecent = TimeOfAttempt(holder.claim.attempt) +
                          std::chrono::duration_cast<milliseconds>(this->options.claimTimeout) >
                        aNow.wall;
  if (isOtherCall || (!holder.outcome && isRecent)) {
    this->Refuse(aId, Reason::kKeyInUse);
    return true;
  }
  ClaimDecision decision;
  decision.id = aId;
  decision.offset = holder.offset;
  decision.holder = holder.claim.request;
  decision.holderEntry = holder.claim.entry;
  decision.holderAgent = holder.claim.agent;
  decision.verdict = ClaimVerdict::kQueryHolder;
  if (holder.outcome == Outcome::kAnswered && holder.answer) {
    decision.verdict = ClaimVerdict::kReplay;
    decision.status = holder.status;
    decision.answer = *holder.answer;
  }
  this->AddDecision(std::move(decision));
  return true;
}

void ClaimController::Impl::Refuse(const RequestId& aId, Reason aReason)
{
  ClaimDecision decision;
  decision.id = aId;
  decision.reason = aReason;
  this->AddDecision(std::move(decision));
}

// ---- Reading the log

void ClaimController::Impl::OnRecord(Now aNow, const LogRecord& aRecord)
{
  if (aRecord.offset < this->next) {
    return;
  }
  if (aRecord.offset > this->next) {
    this->coveredFrom = aNow.wall + kClockSkew;
  }
  this->hasReadRecord = true;
  this->next = aRecord.offset + 1;
  const std::optional<ClaimBatch> batch = DecodeBatch(aRecord.data);
  if (!batch) {
    return;
  }
  for (const ClaimResult& result : this->table.Apply(aRecord.offset, *batch)) {
    this->OnResult(aNow, aRecord.offset, result);
  }
  for (const CallResult& callResult : batch->callResults) {
    this->OnResultRead(callResult);
  }
}

void ClaimController::Impl::OnOldest(Now aNow, LogOffset aOldest)
{
  if (aOldest <= this->next) {
    return;
  }
  if (this->hasReadRecord) {
    this->coveredFrom = aNow.wall + kClockSkew;
  }
  this->hasReadRecord = true;
  this->next = aOldest;
}

// Decides a claim of this entry when it is read back from the log.
void ClaimController::Impl::OnResult(Now aNow, LogOffset aOffset, const ClaimResult& aResult)
{
  const Attempt attempt = aResult.claim.attempt;
  const auto found = this->pendingClaims.find(attempt);
  const bool isLocal = aResult.claim.entry == this->self;
  const bool isPending =
    found != this->pendingClaims.end() && found->second.claim.request == aResult.claim.request;
  if (isLocal && isPending) {
    const PendingClaim claimant = found->second;
    this->pendingClaims.erase(found);
    if (aNow.steady >= claimant.deadline) {
      this->Abandon(aNow, attempt, claimant);
    } else if (aResult.won) {
      this->wonClaims[claimant.claim.request] = { claimant.claim.key, attempt };
      ClaimDecision decision;
      decision.id = claimant.claim.request;
      decision.verdict = ClaimVerdict::kWon;
      decision.offset = aOffset;
      this->AddDecision(std::move(decision));
    } else {
      this->OnClaimLost(aNow, attempt, claimant.claim);
    }
  }
  // An abandoned claim must release the key, because its request will never run.
  if (isLocal && aResult.won && this->abandoned.contains(attempt)) {
    this->QueueResult(aNow, { aResult.claim.key, this->self, attempt, Outcome::kNotRun, 0, {} });
  }
}

// Another claim precedes this one. If the key has been released since, the caller may retry.
void ClaimController::Impl::OnClaimLost(Now aNow, Attempt aAttempt, const Claim& aClaim)
{
  this->abandoned[aAttempt] = aNow.wall;
  if (!this->DecideFromTable(aNow, aClaim.request, aClaim)) {
    this->Refuse(aClaim.request, Reason::kKeyInUse);
  }
}

// Refuses a request whose claim was not read back in time. The request never runs; if the claim
// still appears in the log, the key is released then.
void ClaimController::Impl::Abandon(Now aNow, Attempt aAttempt, const PendingClaim& aPending)
{
  this->abandoned[aAttempt] = aNow.wall;
  this->Refuse(aPending.claim.request, Reason::kLogDown);
}

// ---- Results of calls

void ClaimController::Impl::Finish(Now aNow, const RequestId& aId, Outcome aOutcome,
                                   std::uint16_t aStatus, const std::string& aAnswer)
{
  const auto found = this->wonClaims.find(aId);
  if (found == this->wonClaims.end()) {
    return;
  }
  const WonClaim claim = found->second;
  this->wonClaims.erase(found);
  CallResult callResult{ claim.key, this->self, claim.attempt, aOutcome, aStatus, {} };
  if (aOutcome == Outcome::kAnswered && aAnswer.size() <= kMaxAnswerBytes) {
    callResult.answer = aAnswer;
  }
  this->QueueResult(aNow, std::move(callResult));
}

// Appends the result until it is read back. Beyond kMaxPendingResults the oldest is dropped: its
// key stays claimed, and retries get an unknown outcome.
void ClaimController::Impl::QueueResult(Now aNow, CallResult aCallResult)
{
  const Attempt attempt = aCallResult.attempt;
  this->pendingResults[attempt] = { std::move(aCallResult), aNow.steady };
  if (this->pendingResults.size() > kMaxPendingResults) {
    this->pendingResults.erase(this->pendingResults.begin());
  }
  this->resultsDue = std::min(this->resultsDue, aNow.steady + this->options.claimBatchDelay);
}

void ClaimController::Impl::OnResultRead(const CallResult& aCallResult)
{
  if (aCallResult.entry == this->self) {
    this->pendingResults.erase(aCallResult.attempt);
  }
}

// ---- Appending

std::vector<std::string> ClaimController::Impl::TakeBatch(Now aNow, std::uint64_t aToken)
{
  std::vector<std::string> records;
  if (this->inFlight || aNow.steady < std::min(this->batchDue, this->resultsDue)) {
    return records;
  }
  const auto add = [&](const ClaimBatch& aBatch, const char* aPrefix, Attempt aAttempt) {
    const auto node = static_cast<std::uint64_t>(this->self);
    const std::string id = std::to_string(node) + "-" + std::to_string(aAttempt);
    records.push_back(EncodeBatch(aBatch, aPrefix + id));
  };
  this->resultsDue = kNever;
  for (auto& [attempt, result] : this->pendingResults) {
    if (result.dueAt <= aNow.steady && records.size() < kMaxBatch) {
      result.dueAt = aNow.steady + kReadBackDelay;
      add({ { result.callResult }, {} }, "done-", attempt);
    }
    this->resultsDue = std::min(this->resultsDue, result.dueAt);
  }
  while (!this->queued.empty() && records.size() < kMaxBatch) {
    const Attempt attempt = this->queued.front();
    this->queued.pop_front();
    const auto found = this->pendingClaims.find(attempt);
    if (found != this->pendingClaims.end()) {
      found->second.stage = Stage::kInFlight;
      this->inFlightClaims.push_back(attempt);
      add({ {}, { found->second.claim } }, "claim-", attempt);
    }
  }
  this->batchDue = this->queued.empty() ? kNever : aNow.steady;
  if (!records.empty()) {
    this->inFlight = aToken;
    this->inFlightSince = aNow.steady;
  }
  return records;
}

void ClaimController::Impl::OnAppended(Now aNow, std::uint64_t aToken, AppendResult aResult)
{
  if (this->inFlight == aToken) {
    this->EndBatch(aNow, aResult);
  }
}

// Only a claim that is known not to be in the log is appended again; a claim whose append result is
// unknown is decided by reading the log.
void ClaimController::Impl::EndBatch(Now aNow, AppendResult aResult)
{
  const bool hasFailed = aResult == AppendResult::kFailed;
  for (const Attempt attempt : this->inFlightClaims) {
    const auto found = this->pendingClaims.find(attempt);
    if (found == this->pendingClaims.end()) {
      continue;
    }
    found->second.stage = hasFailed ? Stage::kQueued : Stage::kAwaitingRead;
    if (hasFailed) {
      this->queued.push_back(attempt);
    }
  }
  this->inFlight.reset();
  this->inFlightClaims.clear();
  if (!this->queued.empty()) {
    const Duration delay = hasFailed ? kRetryDelay : Duration::zero();
    this->batchDue = std::min(this->batchDue, aNow.steady + delay);
  }
}

// ---- Timers

TimePoint ClaimController::Impl::NextTimer() const
{
  TimePoint timer = this->expireDue;
  if (!this->pendingClaims.empty()) {
    timer = std::min(timer, this->pendingClaims.begin()->second.deadline);
  }
  if (this->inFlight) {
    return std::min(timer, this->inFlightSince + this->options.claimTimeout);
  }
  return std::min({ timer, this->batchDue, this->resultsDue });
}

void ClaimController::Impl::OnTimer(Now aNow)
{
  if (this->inFlight && aNow.steady >= this->inFlightSince + this->options.claimTimeout) {
    this->EndBatch(aNow, AppendResult::kUnknown);
  }
  this->ExpirePendingClaims(aNow);
  if (aNow.steady < this->expireDue) {
    return;
  }
  this->expireDue = aNow.steady + kExpirePeriod;
  const auto window = std::chrono::duration_cast<milliseconds>(this->options.keyWindow);
  const WallTime oldest = aNow.wall - window - 2 * kClockSkew;
  this->table.Expire(oldest);
  std::erase_if(this->abandoned, [&](const auto& aItem) { return aItem.second < oldest; });
}

// Abandons claims that were not read back in time.
void ClaimController::Impl::ExpirePendingClaims(Now aNow)
{
  while (!this->pendingClaims.empty() &&
         this->pendingClaims.begin()->second.deadline <= aNow.steady) {
    const auto [attempt, claimant] = *this->pendingClaims.begin();
    this->pendingClaims.erase(this->pendingClaims.begin());
    this->Abandon(aNow, attempt, claimant);
  }
}

// ---- Public interface

ClaimController::ClaimController(const EntryOptions& aOptions, NodeId aSelf)
  : impl(std::make_unique<Impl>(aOptions, aSelf))
{
}

ClaimController::~ClaimController() = default;

void ClaimController::Begin(Now aNow, const RequestId& aId, const std::string& aAccount,
                            const std::string& aKey, NodeId aAgent, std::uint64_t aBodyHash)
{
  this->BeginSuperseding(aNow, aId, aAccount, aKey, aAgent, kNoOffset, aBodyHash);
}

void ClaimController::BeginSuperseding(Now aNow, const RequestId& aId, const std::string& aAccount,
                                       const std::string& aKey, NodeId aAgent, LogOffset aPrevious,
                                       std::uint64_t aBodyHash)
{
  Claim claim;
  claim.key = { aAccount, aKey };
  claim.request = aId;
  claim.entry = this->impl->self;
  claim.agent = aAgent;
  claim.bodyHash = aBodyHash;
  claim.supersedes = aPrevious;
  this->impl->Begin(aNow, aId, std::move(claim));
}

void ClaimController::Finish(Now aNow, const RequestId& aId, Outcome aOutcome,
                             std::uint16_t aStatus, const std::string& aAnswer)
{
  this->impl->Finish(aNow, aId, aOutcome, aStatus, aAnswer);
}

void ClaimController::OnRecord(Now aNow, const LogRecord& aRecord)
{
  this->impl->OnRecord(aNow, aRecord);
}

void ClaimController::OnOldest(Now aNow, LogOffset aOldest)
{
  this->impl->OnOldest(aNow, aOldest);
}

LogOffset ClaimController::NextRead() const
{
  return this->impl->next;
}

void ClaimController::OnAppended(Now aNow, std::uint64_t aToken, AppendResult aResult,
                                 LogOffset /*aFirst*/)
{
  this->impl->OnAppended(aNow, aToken, aResult);
}

std::vector<std::string> ClaimController::TakeBatch(Now aNow, std::uint64_t aToken)
{
  return this->impl->TakeBatch(aNow, aToken);
}

std::vector<ClaimDecision> ClaimController::TakeDecisions()
{
  return std::exchange(this->impl->decisions, {});
}

TimePoint ClaimController::NextTimer() const
{
  return this->impl->NextTimer();
}

void ClaimController::OnTimer(Now aNow)
{
  this->impl->OnTimer(aNow);
}

} // namespace caraway
