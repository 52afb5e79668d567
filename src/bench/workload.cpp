#include "bench/workload.h"

#include "core/uuid.h"

#include <algorithm>
#include <cmath>

namespace caraway::bench {

namespace {

// Share of a prompt that is common to the requests of one prefix.
constexpr double kPrefixShare = 0.5;

} // namespace

std::string AccountName(std::size_t aNumber)
{
  return "account-" + std::to_string(aNumber);
}

Workload::Workload(const WorkloadOptions& aOptions, Random& aRandom)
  : options(aOptions)
  , random(aRandom)
{
}

// The middle third carries the burst; the rest is lowered so that the mean stays.
double Workload::RateAt(Duration aTime) const
{
  const bool burst = aTime > this->options.length / 3 && aTime < this->options.length * 2 / 3;
  const double calm = (3 - this->options.burstFactor) / 2;
  return this->options.perSecond * (burst ? this->options.burstFactor : calm);
}

Duration Workload::NextArrival()
{
  const double gap = -std::log(1 - this->random.Unit()) / this->RateAt(this->now);
  this->now += Duration(static_cast<Duration::rep>(gap * 1e6));
  return this->now;
}

Job Workload::NewJob(WallTime aWall)
{
  Job job;
  job.call = this->nextCall++;
  const std::size_t account =
    this->Pick(this->options.accountShares.data(), this->options.accountShares.size());
  Submission& submission = job.submission;
  submission.id = MakeUuid7(aWall, this->random);
  submission.account = AccountName(account);
  submission.pool = this->options.pool;
  submission.route = "/v1/chat/completions";
  submission.tier =
    static_cast<Tier>(this->Pick(this->options.tierShares.data(), this->options.tierShares.size()));
  submission.startWithin = this->options.startWithin.at(submission.tier);
  submission.endWithin = this->options.endWithin;
  submission.promptTokens =
    this->LogUniform(this->options.shortestPrompt, this->options.longestPrompt);
  job.outputTokens = this->LogUniform(this->options.shortestOutput, this->options.longestOutput);
  submission.maxTokens = this->options.longestOutput;
  this->SetPrefix(job, account);
  submission.body = FormatUuid(submission.id);
  submission.fingerprint = HashOf(submission.account + std::to_string(job.call));
  return job;
}

void Workload::SetPrefix(Job& aJob, std::size_t aAccount)
{
  if (this->random.Unit() >= this->options.sharedPrefixRatio) {
    return;
  }
  const std::uint64_t number = this->random.Below(this->options.prefixesPerAccount);
  aJob.submission.prefixHash = HashOf(AccountName(aAccount), number + 1);
  aJob.prefixTokens =
    static_cast<std::uint32_t>(kPrefixShare * static_cast<double>(aJob.submission.promptTokens));
}

std::uint32_t Workload::LogUniform(std::uint32_t aLow, std::uint32_t aHigh)
{
  const double low = std::log(aLow);
  const double high = std::log(aHigh);
  return static_cast<std::uint32_t>(std::exp(low + (high - low) * this->random.Unit()));
}

std::size_t Workload::Pick(const double* aShares, std::size_t aCount)
{
  double left = this->random.Unit();
  for (std::size_t i = 0; i + 1 < aCount; ++i) {
    left -= aShares[i];
    if (left < 0) {
      return i;
    }
  }
  return aCount - 1;
}

} // namespace caraway::bench
