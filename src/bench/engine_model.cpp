#include "bench/engine_model.h"

#include <algorithm>
#include <utility>

namespace caraway::bench {

namespace {

constexpr std::uint16_t kServerError = 500;
constexpr Duration kErrorDelay = milliseconds(5);

Duration Scale(Duration aTime, double aFactor)
{
  return Duration(static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

EngineModel::EngineModel(const EngineProfile& aProfile, Schedule& aSchedule, Random& aRandom,
                         EndpointEvents& aEvents)
  : profile(aProfile)
  , schedule(aSchedule)
  , random(aRandom)
  , events(aEvents)
{
}

std::uint32_t EngineModel::KvOf(const Stream& aStream)
{
  return aStream.promptTokens + aStream.outputTokens;
}

void EngineModel::Start(const Job& aJob, const std::string& aBody)
{
  const RequestId id = aJob.submission.id;
  if (!this->Reachable()) {
    this->schedule.After(Duration(0), [this, id] { this->End(id, WorkEnd::kUnsent, 0, nullptr); });
    return;
  }
  ++this->arrivals[id];
  if (this->random.Unit() < this->fault.failRatio) {
    this->schedule.After(kErrorDelay,
                         [this, id] { this->End(id, WorkEnd::kError, kServerError, nullptr); });
    return;
  }
  Stream stream;
  stream.id = id;
  stream.bodyHash = HashOf(aBody);
  stream.promptTokens = aJob.submission.promptTokens;
  stream.prefillLeft = stream.promptTokens - this->CachedTokens(aJob);
  stream.outputTokens = aJob.outputTokens;
  stream.prefix = aJob.submission.prefixHash;
  stream.crashes = aJob.crashes;
  this->waiting.push_back(stream);
  this->BeginStep();
}

void EngineModel::Cancel(const RequestId& aId)
{
  const auto isIt = [&aId](const Stream& aStream) { return aStream.id == aId; };
  std::erase_if(this->waiting, isIt);
  const auto found = std::find_if(this->running.begin(), this->running.end(), isIt);
  if (found != this->running.end()) {
    this->kvUsed -= KvOf(*found);
    this->running.erase(found);
  }
}

void EngineModel::Crash()
{
  this->alive = false;
  this->stepping = false;
  ++this->life;
  std::vector<RequestId> broken;
  for (const Stream& stream : this->running) {
    broken.push_back(stream.id);
  }
  for (const Stream& stream : this->waiting) {
    broken.push_back(stream.id);
  }
  this->running.clear();
  this->waiting.clear();
  this->prefixes.clear();
  this->kvUsed = 0;
  for (const RequestId& id : broken) {
    this->schedule.After(Duration(0), [this, id] { this->End(id, WorkEnd::kBroken, 0, nullptr); });
  }
}

void EngineModel::Restart()
{
  this->alive = true;
}

void EngineModel::SetFault(const EndpointFault& aFault)
{
  this->fault = aFault;
  this->BeginStep();
}

std::uint32_t EngineModel::Load() const
{
  return static_cast<std::uint32_t>(this->running.size() + this->waiting.size());
}

// Moves waiting requests into the batch in the order of arrival while their KV cache fits.
void EngineModel::Admit()
{
  while (!this->waiting.empty()) {
    const std::uint32_t need = KvOf(this->waiting.front());
    if (!this->running.empty() && this->kvUsed + need > this->profile.kvTokens) {
      return;
    }
    this->kvUsed += need;
    this->running.push_back(this->waiting.front());
    this->waiting.pop_front();
  }
}

// Starts a step if there is work and none is under way.
void EngineModel::BeginStep()
{
  if (this->stepping || !this->alive || this->fault.stalled) {
    return;
  }
  this->Admit();
  if (this->running.empty()) {
    return;
  }
  this->stepping = true;
  const auto streams = static_cast<Duration::rep>(this->running.size());
  const Duration decode = this->profile.stepBase + this->profile.stepPerStream * streams;
  const Duration length =
    Scale(decode + this->Prefill(), this->fault.slowFactor / this->profile.speed);
  const std::uint64_t lifeThen = this->life;
  this->schedule.After(length, [this, lifeThen] {
    if (lifeThen == this->life) {
      this->EndStep();
    }
  });
}

// Computes up to a chunk of prompt tokens, in the order of arrival. Returns the time it takes.
Duration EngineModel::Prefill()
{
  std::uint32_t left = this->profile.prefillChunk;
  for (Stream& stream : this->running) {
    const std::uint32_t now = std::min(left, stream.prefillLeft);
    if (now > 0) {
      this->prefillOf[stream.id] += now;
    }
    stream.prefillLeft -= now;
    left -= now;
  }
  const std::uint32_t done = this->profile.prefillChunk - left;
  this->prefilled += done;
  const double time = static_cast<double>(done) / this->profile.prefillPerSecond;
  return Duration(static_cast<Duration::rep>(time * 1e6));
}

// Gives every stream whose prompt is computed its next token, and begins the next step.
void EngineModel::EndStep()
{
  if (this->fault.stalled) {
    this->stepping = false;
    return;
  }
  const auto crasher =
    std::find_if(this->running.begin(), this->running.end(),
                 [](const Stream& aStream) { return aStream.crashes && aStream.prefillLeft == 0; });
  if (crasher != this->running.end()) {
    this->Crash();
    this->schedule.After(this->profile.restartTime, [this] { this->Restart(); });
    return;
  }
  // The receiver may cancel and start streams while it is called, so the batch is walked over a
  // copy.
  const std::uint64_t lifeThen = this->life;
  std::vector<RequestId> ids;
  for (const Stream& stream : this->running) {
    ids.push_back(stream.id);
  }
  for (const RequestId& id : ids) {
    const auto found = std::find_if(this->running.begin(), this->running.end(),
                                    [&id](const Stream& aStream) { return aStream.id == id; });
    if (found != this->running.end() && found->prefillLeft == 0) {
      this->Produce(*found);
    }
  }
  if (lifeThen == this->life) {
    this->stepping = false;
    this->BeginStep();
  }
}

void EngineModel::Produce(Stream& aStream)
{
  if (aStream.produced == 0) {
    this->Remember(aStream.prefix);
  }
  const RequestId id = aStream.id;
  const std::string text = TokenText(aStream.bodyHash, aStream.produced);
  ++aStream.produced;
  if (aStream.produced < aStream.outputTokens) {
    this->events.OnToken(id, text);
    return;
  }
  const Stream finished = aStream;
  this->Cancel(id);
  this->events.OnToken(id, text);
  this->End(id, WorkEnd::kComplete, 200, &finished);
}

void EngineModel::End(const RequestId& aId, WorkEnd aEnd, std::uint16_t aStatus,
                      const Stream* aStream)
{
  WorkResult result;
  result.end = aEnd;
  result.status = aStatus;
  if (aStream != nullptr) {
    result.promptTokens = aStream->promptTokens;
    result.outputTokens = aStream->produced;
  }
  this->events.OnEnd(aId, result);
}

// Prompt tokens that need no computing because their prefix is cached.
std::uint32_t EngineModel::CachedTokens(const Job& aJob)
{
  const std::uint64_t prefix = aJob.submission.prefixHash;
  const auto found = std::find(this->prefixes.begin(), this->prefixes.end(), prefix);
  if (prefix == 0 || found == this->prefixes.end()) {
    return 0;
  }
  return std::min(aJob.prefixTokens, aJob.submission.promptTokens - 1);
}

void EngineModel::Remember(std::uint64_t aPrefix)
{
  if (aPrefix == 0) {
    return;
  }
  std::erase(this->prefixes, aPrefix);
  this->prefixes.push_front(aPrefix);
  if (this->prefixes.size() > this->profile.cachedPrefixes) {
    this->prefixes.pop_back();
  }
}

} // namespace caraway::bench
