// Quotas of client accounts: what a request takes, and what it returns if it did not run.
#include "gateway/flow.h"
#include "gateway/gateway.h"

namespace caraway::gateway {

bool Gateway::TakeQuota(Flow& aFlow)
{
  if (aFlow.account == nullptr) {
    return true;
  }
  const direct::AccountSpec& account = *aFlow.account;
  aFlow.quotaUnits = 1;
  if (account.countsTokens) {
    aFlow.quotaUnits = aFlow.request.hasTokenCounts
                         ? double{ 1 } * aFlow.request.promptTokens + aFlow.request.outputTokens
                         : account.defaultTokens;
  }
  aFlow.quotaTakenAt = this->Now();
  const Duration wait =
    this->quota.Take(aFlow.quotaTakenAt, account.hash, account.quota, aFlow.quotaUnits);
  if (wait == Duration::zero()) {
    return true;
  }
  aFlow.quotaUnits = 0;
  this->Refuse(aFlow, 429, "over_quota", wait);
  return false;
}

void Gateway::ReturnQuota(Flow& aFlow)
{
  if (aFlow.account != nullptr && aFlow.quotaUnits > 0) {
    this->quota.Refund(this->Now(), aFlow.quotaTakenAt, aFlow.account->hash, aFlow.quotaUnits);
  }
}

} // namespace caraway::gateway
