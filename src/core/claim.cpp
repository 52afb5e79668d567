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
constexpr std::size_t kMaxAnswerBytes = 32 << 10;   // of one answer in the log
constexpr std::size_t kMaxAnswersBytes = 16 << 20;  // of all answers in memory
constexpr std::size_t kMaxUnsettled = 10000;        // results not yet read back
constexpr Duration kRetryDelay = milliseconds(100); // after an append that failed
constexpr Duration kReadBackDelay = seconds(1);     // until a result is appended again
constexpr Duration kExpirePeriod = seconds(10);     // between two searches for old keys
constexpr auto kClockSkew = minutes(1);             // largest between two entries

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
  LogOffset next = 0; // first offset that was not read
  std::vector<ClaimDecision> decisions;

private:
  enum class Stage : std::uint8_t
  {
    kQueued,   // waits for the next batch
    kInFlight, // appended; the answer is awaited
    kSent,     // in the log, or its fate is unknown: the log tells
  };

  struct Waiting
  {
    Claim claim;
    Stage stage = Stage::kQueued;
    TimePoint deadline{};
  };

  // A result on its way into the log.
  struct Unsettled
  {
    Settlement settlement;
    TimePoint dueAt{}; // of the next append
  };

  // A claim that won in this life and whose call has not ended.
  struct Won
  {
    ScopedKey key;
    Attempt attempt = 0;
  };

  bool RefuseAtOnce(Now aNow, const RequestId& aId, const Claim& aClaim);
  bool DecideByTable(Now aNow, const RequestId& aId, const Claim& aClaim);
  void Decide(ClaimDecision aDecision) { this->decisions.push_back(std::move(aDecision)); }
  void Refuse(const RequestId& aId, Reason aReason);
  void OnResult(Now aNow, LogOffset aOffset, const ClaimResult& aResult);
  void Lose(Now aNow, Attempt aAttempt, const Claim& aClaim);
  void Abandon(Now aNow, Attempt aAttempt, const Waiting& aWaiting);
  void Settle(Now aNow, Settlement aSettlement);
  void ReadBack(const Settlement& aSettlement);
  void EndBatch(Now aNow, AppendResult aResult);
  void ExpireWaiting(Now aNow);

  EntryOptions options;
  KeyTable table{ kMaxAnswersBytes };
  bool started = false;   // a record was read
  WallTime coveredFrom{}; // keys made earlier may have been claimed in records that were not read
  Attempt lastAttempt = 0;
  std::map<Attempt, Waiting> waiting; // in the order of their deadlines
  std::deque<Attempt> queued;
  std::unordered_map<RequestId, Won> won;
  std::map<Attempt, WallTime> abandoned; // given up although their records may still appear
  std::map<Attempt, Unsettled> unsettled;
  std::vector<Attempt> inFlightClaims;
  std::optional<std::uint64_t> inFlight; // token of the append that is under way
  TimePoint inFlightSince{};
  TimePoint batchDue = kNever;
  TimePoint resultsDue = kNever; // earliest of the unsettled results
  TimePoint expireDue{};
};

// ---- Start of a claim

void ClaimController::Impl::Begin(Now aNow, const RequestId& aId, Claim aClaim)
{
  if (this->RefuseAtOnce(aNow, aId, aClaim) || this->DecideByTable(aNow, aId, aClaim)) {
    return;
  }
  const auto now = static_cast<Attempt>(aNow.wall.time_since_epoch().count()) * kAttemptsPerMs;
  this->lastAttempt = std::max(this->lastAttempt + 1, now);
  aClaim.attempt = this->lastAttempt;
  this->waiting[aClaim.attempt] = { aClaim, Stage::kQueued,
                                    aNow.steady + this->options.claimTimeout };
  this->queued.push_back(aClaim.attempt);
  this->batchDue = std::min(this->batchDue, aNow.steady + this->options.claimBatchDelay);
}

// Refuses keys whose earlier claims may be out of sight, by their age.
bool ClaimController::Impl::RefuseAtOnce(Now aNow, const RequestId& aId, const Claim& aClaim)
{
  const auto id = ParseUuid(aClaim.key.key);
  const auto made = id ? TimeOfUuid7(*id) : std::nullopt;
  const auto window = std::chrono::duration_cast<milliseconds>(this->options.keyWindow);
  const bool valid = made && *made + window >= aNow.wall && *made <= aNow.wall + kClockSkew &&
                     *made >= this->coveredFrom;
  if (!valid) {
    this->Refuse(aId, Reason::kKeyExpired);
  }
  return !valid;
}

// Decides by what the log has said already. Returns whether it did.
bool ClaimController::Impl::DecideByTable(Now aNow, const RequestId& aId, const Claim& aClaim)
{
  const KeyState* state = this->table.Find(aClaim.key);
  if (state == nullptr || !state->holding || state->holding->offset == aClaim.supersedes) {
    return false;
  }
  const Holding& holding = *state->holding;
  const std::uint64_t hash = holding.claim.bodyHash;
  const bool otherCall = hash != 0 && aClaim.bodyHash != 0 && hash != aClaim.bodyHash;
  const bool fresh = TimeOfAttempt(holding.claim.attempt) +
                       std::chrono::duration_cast<milliseconds>(this->options.claimTimeout) >
                     aNow.wall;
  if (otherCall || (!holding.outcome && fresh)) {
    this->Refuse(aId, Reason::kKeyInUse);
    return true;
  }
  ClaimDecision decision;
  decision.id = aId;
  decision.offset = holding.offset;
  decision.holder = holding.claim.request;
  decision.holderEntry = holding.claim.entry;
  decision.holderAgent = holding.claim.agent;
  decision.verdict = ClaimVerdict::kAsk;
  if (holding.outcome == Outcome::kAnswered && holding.answer) {
    decision.verdict = ClaimVerdict::kReplay;
    decision.status = holding.status;
    decision.answer = *holding.answer;
  }
  this->Decide(std::move(decision));
  return true;
}

void ClaimController::Impl::Refuse(const RequestId& aId, Reason aReason)
{
  ClaimDecision decision;
  decision.id = aId;
  decision.reason = aReason;
  this->Decide(std::move(decision));
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
  this->started = true;
  this->next = aRecord.offset + 1;
  const std::optional<ClaimBatch> batch = DecodeBatch(aRecord.data);
  if (!batch) {
    return;
  }
  for (const ClaimResult& result : this->table.Apply(aRecord.offset, *batch)) {
    this->OnResult(aNow, aRecord.offset, result);
  }
  for (const Settlement& settlement : batch->settlements) {
    this->ReadBack(settlement);
  }
}

void ClaimController::Impl::OnOldest(Now aNow, LogOffset aOldest)
{
  if (aOldest <= this->next) {
    return;
  }
  if (this->started) {
    this->coveredFrom = aNow.wall + kClockSkew;
  }
  this->started = true;
  this->next = aOldest;
}

// Own claims are decided when they are read; they came first or somebody else did.
void ClaimController::Impl::OnResult(Now aNow, LogOffset aOffset, const ClaimResult& aResult)
{
  const Attempt attempt = aResult.claim.attempt;
  const auto found = this->waiting.find(attempt);
  const bool mine = aResult.claim.entry == this->self;
  const bool isWaiting =
    found != this->waiting.end() && found->second.claim.request == aResult.claim.request;
  if (mine && isWaiting) {
    const Waiting claimant = found->second;
    this->waiting.erase(found);
    if (aNow.steady >= claimant.deadline) {
      this->Abandon(aNow, attempt, claimant);
    } else if (aResult.won) {
      this->won[claimant.claim.request] = { claimant.claim.key, attempt };
      ClaimDecision decision;
      decision.id = claimant.claim.request;
      decision.verdict = ClaimVerdict::kWon;
      decision.offset = aOffset;
      this->Decide(std::move(decision));
    } else {
      this->Lose(aNow, attempt, claimant.claim);
    }
  }
  // A claim that was given up must not keep the key: its request will never run.
  if (mine && aResult.won && this->abandoned.contains(attempt)) {
    this->Settle(aNow, { aResult.claim.key, this->self, attempt, Outcome::kNotRun, 0, {} });
  }
}

// Another claim came first. If the key has become free since, the claimant may try again.
void ClaimController::Impl::Lose(Now aNow, Attempt aAttempt, const Claim& aClaim)
{
  this->abandoned[aAttempt] = aNow.wall;
  if (!this->DecideByTable(aNow, aClaim.request, aClaim)) {
    this->Refuse(aClaim.request, Reason::kKeyInUse);
  }
}

// Refuses a request whose claim was not read in time. The claim may still appear in the log: the
// request never runs, and the key is freed when it does.
void ClaimController::Impl::Abandon(Now aNow, Attempt aAttempt, const Waiting& aWaiting)
{
  this->abandoned[aAttempt] = aNow.wall;
  this->Refuse(aWaiting.claim.request, Reason::kLogDown);
}

// ---- Results of calls

void ClaimController::Impl::Finish(Now aNow, const RequestId& aId, Outcome aOutcome,
                                   std::uint16_t aStatus, const std::string& aAnswer)
{
  const auto found = this->won.find(aId);
  if (found == this->won.end()) {
    return;
  }
  const Won claim = found->second;
  this->won.erase(found);
  Settlement settlement{ claim.key, this->self, claim.attempt, aOutcome, aStatus, {} };
  if (aOutcome == Outcome::kAnswered && aAnswer.size() <= kMaxAnswerBytes) {
    settlement.answer = aAnswer;
  }
  this->Settle(aNow, std::move(settlement));
}

// Appends the result until it is read back. Beyond a limit the oldest is dropped: its key stays
// taken, and callers that come back are told that the outcome is unknown.
void ClaimController::Impl::Settle(Now aNow, Settlement aSettlement)
{
  const Attempt attempt = aSettlement.attempt;
  this->unsettled[attempt] = { std::move(aSettlement), aNow.steady };
  if (this->unsettled.size() > kMaxUnsettled) {
    this->unsettled.erase(this->unsettled.begin());
  }
  this->resultsDue = std::min(this->resultsDue, aNow.steady + this->options.claimBatchDelay);
}

void ClaimController::Impl::ReadBack(const Settlement& aSettlement)
{
  if (aSettlement.entry == this->self) {
    this->unsettled.erase(aSettlement.attempt);
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
  for (auto& [attempt, result] : this->unsettled) {
    if (result.dueAt <= aNow.steady && records.size() < kMaxBatch) {
      result.dueAt = aNow.steady + kReadBackDelay;
      add({ { result.settlement }, {} }, "done-", attempt);
    }
    this->resultsDue = std::min(this->resultsDue, result.dueAt);
  }
  while (!this->queued.empty() && records.size() < kMaxBatch) {
    const Attempt attempt = this->queued.front();
    this->queued.pop_front();
    const auto found = this->waiting.find(attempt);
    if (found != this->waiting.end()) {
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

// Only a claim that is surely not in the log may be appended again as if it were new; a claim whose
// fate is unknown is looked for in the log.
void ClaimController::Impl::EndBatch(Now aNow, AppendResult aResult)
{
  const bool failed = aResult == AppendResult::kFailed;
  for (const Attempt attempt : this->inFlightClaims) {
    const auto found = this->waiting.find(attempt);
    if (found == this->waiting.end()) {
      continue;
    }
    found->second.stage = failed ? Stage::kQueued : Stage::kSent;
    if (failed) {
      this->queued.push_back(attempt);
    }
  }
  this->inFlight.reset();
  this->inFlightClaims.clear();
  if (!this->queued.empty()) {
    const Duration delay = failed ? kRetryDelay : Duration::zero();
    this->batchDue = std::min(this->batchDue, aNow.steady + delay);
  }
}

// ---- Time

TimePoint ClaimController::Impl::NextTimer() const
{
  TimePoint timer = this->expireDue;
  if (!this->waiting.empty()) {
    timer = std::min(timer, this->waiting.begin()->second.deadline);
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
  this->ExpireWaiting(aNow);
  if (aNow.steady < this->expireDue) {
    return;
  }
  this->expireDue = aNow.steady + kExpirePeriod;
  const auto window = std::chrono::duration_cast<milliseconds>(this->options.keyWindow);
  const WallTime oldest = aNow.wall - window - 2 * kClockSkew;
  this->table.Expire(oldest);
  std::erase_if(this->abandoned, [&](const auto& aItem) { return aItem.second < oldest; });
}

// Gives up claims that were not read back in time.
void ClaimController::Impl::ExpireWaiting(Now aNow)
{
  while (!this->waiting.empty() && this->waiting.begin()->second.deadline <= aNow.steady) {
    const auto [attempt, claimant] = *this->waiting.begin();
    this->waiting.erase(this->waiting.begin());
    this->Abandon(aNow, attempt, claimant);
  }
}

// ---- The interface

ClaimController::ClaimController(const EntryOptions& aOptions, NodeId aSelf)
  : impl(std::make_unique<Impl>(aOptions, aSelf))
{
}

ClaimController::~ClaimController() = default;

void ClaimController::Begin(Now aNow, const RequestId& aId, const std::string& aAccount,
                            const std::string& aKey, NodeId aAgent, std::uint64_t aBodyHash)
{
  this->BeginAfter(aNow, aId, aAccount, aKey, aAgent, kNoOffset, aBodyHash);
}

void ClaimController::BeginAfter(Now aNow, const RequestId& aId, const std::string& aAccount,
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
