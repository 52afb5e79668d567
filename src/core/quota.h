// Quotas of client accounts at one entry: token buckets for requests and for tokens.
#pragma once

#include "core/config.h"
#include "core/types.h"

#include <map>
#include <string>

namespace caraway {

class QuotaTable
{
public:
  // Takes one request and aTokens tokens from the account's buckets and returns zero, or takes
  // nothing and returns the time until they will be available. Each of the aEntries live entries
  // grants an equal part of the account's quota.
  Duration Take(TimePoint aNow, const Account& aAccount, std::uint32_t aEntries, double aTokens);

  // Corrects an estimate: aTokens more (fewer if negative) were used than taken.
  void Settle(const std::string& aAccount, double aTokens);

private:
  struct Bucket
  {
    double level = 0;
    TimePoint time{};
  };
  struct Buckets
  {
    Bucket requests;
    Bucket tokens;
    bool isInitialized = false;
  };

  static void Refill(Bucket& aBucket, TimePoint aNow, double aRate, double aBurst);

  std::map<std::string, Buckets, std::less<>> accounts;
};

} // namespace caraway
