#include "bench/log_model.h"

#include <algorithm>
#include <utility>

namespace caraway::bench {

LogModel::LogModel(const LogOptions& aOptions, Schedule& aSchedule, Random& aRandom)
  : options(aOptions)
  , schedule(aSchedule)
  , random(aRandom)
{
}

void LogModel::Append(const std::vector<std::string>& aRecords, Answer aAnswer)
{
  this->schedule.After(this->options.delay, [this, aRecords, answer = std::move(aAnswer)] {
    if (this->down) {
      this->schedule.After(this->options.timeout, [answer] { answer(AppendResult::kFailed, 0); });
      return;
    }
    if (this->lostAnswers > 0) {
      --this->lostAnswers;
      if (this->random.Below(2) == 0) {
        this->Store(aRecords);
      }
      this->schedule.After(this->options.timeout, [answer] { answer(AppendResult::kUnknown, 0); });
      return;
    }
    const LogOffset first = this->Store(aRecords);
    this->schedule.After(this->options.delay,
                         [answer, first] { answer(AppendResult::kAppended, first); });
  });
}

LogOffset LogModel::Seed(const std::string& aRecord)
{
  return this->Store({ aRecord });
}

std::vector<LogRecord> LogModel::Read(LogOffset aFrom, std::size_t aMax) const
{
  std::vector<LogRecord> result;
  if (this->down || aFrom < this->oldest) {
    return result;
  }
  const LogOffset end = std::min(this->Next(), aFrom + aMax);
  for (LogOffset offset = aFrom; offset < end; ++offset) {
    result.push_back({ offset, this->records[offset - this->oldest] });
  }
  return result;
}

LogOffset LogModel::Store(const std::vector<std::string>& aRecords)
{
  const LogOffset first = this->Next();
  this->records.insert(this->records.end(), aRecords.begin(), aRecords.end());
  while (this->records.size() > this->options.retain) {
    this->records.pop_front();
    ++this->oldest;
  }
  return first;
}

} // namespace caraway::bench
