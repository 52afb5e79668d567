// What an entry writes again after the platform's store was restored from an older copy.
#include "fixture.h"

#include <boost/test/unit_test.hpp>

namespace caraway::gateway {

namespace {

using std::chrono::minutes;

struct RestoredStore
  : GatewayFixture
  , QuotaStore
  , SuspectStore
{
  RestoredStore()
  {
    this->gateway->SetQuotaStore(*this);
    this->gateway->SetSuspectStore(*this);
    this->gateway->SetStoreReachable(true);
    this->Configure();
  }
  void SaveUsage(const std::string& aBytes, const std::function<void()>& aOnSaved) override
  {
    this->usages.push_back(aBytes);
    aOnSaved();
  }
  void SaveSuspicion(const direct::SavedSuspicion& aSaved) override
  {
    this->suspicions.push_back(aSaved);
  }

  std::vector<std::string> usages;
  std::vector<direct::SavedSuspicion> suspicions;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(restored_store, RestoredStore)

BOOST_AUTO_TEST_CASE(suspicions_that_the_store_lost_are_saved_again)
{
  direct::SavedSuspicion known;
  known.savedAtMs = this->clock.Read().wall.time_since_epoch().count();
  known.suspicion.fingerprint = 7;
  known.suspicion.crashes = { { 1 }, { 2 }, { 3 } };
  known.suspicion.forgetAfter = minutes(5);
  this->gateway->RestoreSuspects({ known });
  this->gateway->OnStoreRestored();
  BOOST_REQUIRE(AdvanceUntil(this->clock, [&] { return !this->suspicions.empty(); }));
  BOOST_TEST(this->suspicions.size() == 1U);
  BOOST_TEST(this->suspicions[0].suspicion.fingerprint == 7U);
  BOOST_TEST(this->suspicions[0].suspicion.crashes.size() == 3U);
}

// The copy may hold the usage of a window that is over.
BOOST_AUTO_TEST_CASE(usage_of_the_copy_is_replaced_although_there_is_none_now)
{
  this->gateway->OnStoreRestored();
  BOOST_REQUIRE(AdvanceUntil(this->clock, [&] { return !this->usages.empty(); }));
  BOOST_TEST(this->usages[0].empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::gateway
