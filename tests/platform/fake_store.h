// A store in memory. Each call waits until the test has it answered.
#pragma once

#include "platform/log_store.h"
#include "runtime/clock.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace caraway::platform {

class FakeStore final : public LogStore
{
public:
  using Delivery = std::function<void()>;

  explicit FakeStore(const Clock& aClock)
    : clock(aClock)
  {
  }

  void Write(const std::string& aTopic, const std::string& aKey, const std::string& aValue)
  {
    std::vector<KeyedRecord>& records = this->topics[aTopic];
    records.push_back({ records.size(), aKey, aValue });
  }
  void Delete(const std::string& aTopic, const std::string& aKey)
  {
    std::vector<KeyedRecord>& records = this->topics[aTopic];
    records.push_back({ records.size(), aKey, std::nullopt });
  }
  // Keeps the first aEnd records of the topic and enters the next era.
  void Restore(const std::string& aTopic, std::uint64_t aEnd)
  {
    this->topics[aTopic].resize(aEnd);
    this->era = std::to_string(std::stoull(this->era.value_or("0")) + 1);
  }

  bool HasCall() const { return !this->calls.empty(); }
  // Computes the answer to the oldest call from the present content; it arrives when the result is
  // called.
  Delivery Prepare()
  {
    BOOST_REQUIRE(this->HasCall());
    const std::function<Delivery()> call = std::move(this->calls.front());
    this->calls.pop_front();
    return call();
  }
  void Answer() { this->Prepare()(); }

  void Read(const std::string& aTopic, std::uint64_t aFrom, Duration,
            const std::function<void(const ReadResponse&)>& aOnDone) override
  {
    this->calls.push_back([this, aTopic, aFrom, aOnDone, at = this->clock.Read().steady] {
      ReadResponse response;
      const std::vector<KeyedRecord>& records = this->topics[aTopic];
      response.end = records.size();
      response.requestedAt = at;
      response.result = aFrom > response.end || aFrom < this->firstOffset ? StoreResult::kTrimmed
                                                                          : StoreResult::kDone;
      if (response.result == StoreResult::kDone) {
        response.records.assign(records.begin() + static_cast<std::ptrdiff_t>(aFrom),
                                records.end());
        response.nextOffset = response.end;
      }
      return this->DeliveryOf(response, aOnDone);
    });
  }

  void ReadLatest(const std::string& aTopic, const std::string& aAfter,
                  const std::function<void(const LatestResponse&)>& aOnDone) override
  {
    this->calls.push_back([this, aTopic, aAfter, aOnDone, at = this->clock.Read().steady] {
      this->latestReads++;
      std::map<std::string, KeyedRecord> latest;
      for (const KeyedRecord& record : this->topics[aTopic]) {
        latest[record.key] = record;
      }
      std::erase_if(latest, [](const auto& aRow) { return !aRow.second.value; });
      LatestResponse response;
      response.result = StoreResult::kDone;
      response.end = this->topics[aTopic].size();
      response.requestedAt = at;
      for (auto row = latest.upper_bound(aAfter); row != latest.end(); ++row) {
        if (response.records.size() == this->pageSize) {
          response.hasMore = true;
          break;
        }
        response.records.push_back(row->second);
      }
      return this->DeliveryOf(response, aOnDone);
    });
  }

  void Append(const std::string& aTopic, const std::string& aKey, const std::string& aValue,
              std::optional<std::uint64_t> aAt,
              const std::function<void(StoreResult, std::uint64_t aEnd)>& aOnDone) override
  {
    this->calls.push_back([=, this, at = this->clock.Read().steady]() -> Delivery {
      const std::uint64_t end = this->topics[aTopic].size();
      const bool isDone = !aAt || *aAt == end;
      if (isDone) {
        this->Write(aTopic, aKey, aValue);
      }
      const StoreResult result = isDone ? StoreResult::kDone : StoreResult::kConflict;
      return [this, aOnDone, at, result, era = this->era, newEnd = isDone ? end + 1 : end] {
        aOnDone(this->CheckEra(result, era, at, this->clock.Read().steady), newEnd);
      };
    });
  }

  std::map<std::string, std::vector<KeyedRecord>> topics;
  std::optional<std::string> era = "1"; // as sent in answers
  std::uint64_t firstOffset = 0;        // that reads may ask for
  std::size_t pageSize = 500;
  int latestReads = 0;

private:
  template<class Response>
  Delivery DeliveryOf(const Response& aResponse,
                      const std::function<void(const Response&)>& aOnDone)
  {
    return [this, aOnDone, aResponse, era = this->era] {
      Response response = aResponse;
      response.result =
        this->CheckEra(response.result, era, response.requestedAt, this->clock.Read().steady);
      aOnDone(response);
    };
  }

  const Clock& clock;
  std::deque<std::function<Delivery()>> calls;
};

} // namespace caraway::platform
