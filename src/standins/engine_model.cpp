#include "standins/engine_model.h"

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kBlockTokens = 64; // unit of the prefix cache
constexpr std::size_t kBlockBytes = kBlockTokens * kBytesPerToken;
constexpr std::size_t kMaxEvents = 4096;
// A host that calls this much late gets its steps back to back until it has caught up.
constexpr Duration kMaxCatchUp = std::chrono::milliseconds(50);

// Hashes of the prompt's full blocks; each covers everything before it too.
std::vector<std::uint64_t> BlocksOf(std::string_view aPrompt)
{
  std::vector<std::uint64_t> blocks;
  std::uint64_t hash = 0;
  while (aPrompt.size() >= kBlockBytes) {
    hash = HashOf(aPrompt.substr(0, kBlockBytes), hash);
    blocks.push_back(hash);
    aPrompt.remove_prefix(kBlockBytes);
  }
  return blocks;
}

} // namespace

std::uint32_t CountTokens(std::string_view aText)
{
  return static_cast<std::uint32_t>(std::max<std::size_t>(1, aText.size() / kBytesPerToken));
}

EngineModel::EngineModel(const EngineOptions& aOptions)
  : options(aOptions)
{
}

void EngineModel::Add(TimePoint aNow, const EngineRequest& aRequest)
{
  Stream stream;
  stream.request = aRequest;
  stream.promptTokens = CountTokens(aRequest.prompt);
  this->waiting.push_back(std::move(stream));
  if (this->stepEnd == kNever) {
    this->StartStep(aNow);
  }
}

void EngineModel::Cancel(std::uint64_t aKey)
{
  const auto isKey = [&](const Stream& aStream) { return aStream.request.key == aKey; };
  const auto queued = std::find_if(this->waiting.begin(), this->waiting.end(), isKey);
  if (queued != this->waiting.end()) {
    this->waiting.erase(queued);
    ++this->totals.cancelled;
    return;
  }
  const auto found = this->running.find(aKey);
  if (found == this->running.end()) {
    return;
  }
  ++this->totals.cancelled;
  this->totals.wastedPrefillTokens += found->second.prefillDone;
  this->Release(found);
}

void EngineModel::SetStalled(TimePoint aNow, bool aStalled)
{
  this->stalled = aStalled;
  if (!aStalled && this->stepEnd != kNever) {
    this->stepEnd = std::max(this->stepEnd, aNow);
  }
}

TimePoint EngineModel::NextStep() const
{
  return this->stalled ? kNever : this->stepEnd;
}

std::vector<EngineToken> EngineModel::Advance(TimePoint aNow)
{
  std::vector<EngineToken> tokens;
  if (this->NextStep() > aNow) {
    return tokens;
  }
  for (auto at = this->running.begin(); at != this->running.end();) {
    const auto current = at++;
    Stream& stream = current->second;
    if (stream.prefillLeft > 0 || stream.prefilling) {
      continue;
    }
    ++stream.steps;
    if (stream.steps % stream.request.stepsPerToken != 0) {
      continue;
    }
    const std::uint32_t index = stream.produced++;
    const bool last = stream.produced >= stream.request.outputTokens;
    tokens.push_back({ current->first, index, last });
    if (last) {
      ++this->totals.completed;
      this->Release(current);
    }
  }
  this->FinishPrefill();
  const bool late = aNow - this->stepEnd > kMaxCatchUp;
  this->StartStep(late ? aNow : this->stepEnd);
  return tokens;
}

// Prompts whose last part was computed in this step produce their first token in the next one.
void EngineModel::FinishPrefill()
{
  for (auto& [key, stream] : this->running) {
    if (std::exchange(stream.prefilling, false) && stream.prefillLeft == 0) {
      this->StoreBlocks(BlocksOf(stream.request.prompt));
    }
  }
}

void EngineModel::StartStep(TimePoint aNow)
{
  this->Admit();
  if (this->running.empty()) {
    this->stepEnd = kNever;
    return;
  }
  const double prefill = this->PlanPrefill() / this->options.prefillTokensPerSecond;
  const std::chrono::duration<double> step =
    std::chrono::duration<double>(this->options.baseStep) +
    std::chrono::duration<double>(this->options.stepPerStream) *
      static_cast<double>(this->running.size()) +
    std::chrono::duration<double>(prefill);
  const double factor = this->slowFactor / this->options.speed;
  this->stepEnd = aNow + std::chrono::duration_cast<Duration>(step * factor);
}

void EngineModel::Admit()
{
  while (!this->waiting.empty()) {
    const Stream& first = this->waiting.front();
    const std::uint64_t need = first.promptTokens + first.request.outputTokens;
    const bool fits = this->kvUsed + need <= this->options.kvTokens;
    if (!fits && !this->running.empty()) {
      return;
    }
    Stream stream = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->AdmitOne(std::move(stream));
  }
}

void EngineModel::AdmitOne(Stream aStream)
{
  this->kvUsed += aStream.promptTokens + aStream.request.outputTokens;
  const std::uint32_t cached = this->CachedTokens(BlocksOf(aStream.request.prompt));
  aStream.prefillLeft = aStream.promptTokens - std::min(cached, aStream.promptTokens);
  const std::uint64_t key = aStream.request.key;
  this->running.emplace(key, std::move(aStream));
}

// Chooses the prompts computed in the step that starts; returns their tokens.
std::uint32_t EngineModel::PlanPrefill()
{
  std::uint32_t budget = this->options.prefillPerStep;
  for (auto& [key, stream] : this->running) {
    const std::uint32_t part = std::min(budget, stream.prefillLeft);
    if (part == 0) {
      continue;
    }
    stream.prefilling = true;
    stream.prefillLeft -= part;
    stream.prefillDone += part;
    this->totals.prefillTokens += part;
    budget -= part;
  }
  return this->options.prefillPerStep - budget;
}

void EngineModel::Release(std::map<std::uint64_t, Stream>::iterator aStream)
{
  this->kvUsed -= aStream->second.promptTokens + aStream->second.request.outputTokens;
  this->running.erase(aStream);
}

EngineLoad EngineModel::Load() const
{
  return { static_cast<std::uint32_t>(this->running.size()),
           static_cast<std::uint32_t>(this->waiting.size()),
           static_cast<double>(this->kvUsed) / static_cast<double>(this->options.kvTokens) };
}

// Tokens of the leading blocks that the prefix cache holds; they count as used.
std::uint32_t EngineModel::CachedTokens(const std::vector<std::uint64_t>& aBlocks)
{
  std::uint32_t tokens = 0;
  for (const std::uint64_t block : aBlocks) {
    const auto found = this->cache.find(block);
    if (found == this->cache.end()) {
      break;
    }
    this->cacheOrder.splice(this->cacheOrder.begin(), this->cacheOrder, found->second);
    tokens += kBlockTokens;
  }
  return tokens;
}

void EngineModel::StoreBlocks(const std::vector<std::uint64_t>& aBlocks)
{
  for (const std::uint64_t block : aBlocks) {
    if (this->cache.contains(block)) {
      continue;
    }
    this->cacheOrder.push_front(block);
    this->cache[block] = this->cacheOrder.begin();
    this->NoteCache(true, block);
  }
  while (this->cache.size() * kBlockTokens > this->options.cacheTokens) {
    const std::uint64_t block = this->cacheOrder.back();
    this->cacheOrder.pop_back();
    this->cache.erase(block);
    this->NoteCache(false, block);
  }
}

void EngineModel::NoteCache(bool aStored, std::uint64_t aBlock)
{
  this->events.push_back({ ++this->lastEvent, aStored, aBlock });
  if (this->events.size() > kMaxEvents) {
    this->events.pop_front();
  }
}

std::vector<CacheEvent> EngineModel::CacheEvents(std::uint64_t aAfter) const
{
  std::vector<CacheEvent> found;
  for (const CacheEvent& event : this->events) {
    if (event.sequence > aAfter) {
      found.push_back(event);
    }
  }
  return found;
}

} // namespace caraway
