// Quotas of client accounts as one bound over all entries, in a sliding window. Each entry counts
// its own use and what the others report; for an entry that is silent it assumes an equal part of
// the quota, so that the bound holds also while entries are cut off from each other.
#pragma once

#include "direct/messages.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace caraway::direct {

// Quota of one account in units of its kind: tokens or requests. No rate: no bound.
struct QuotaLimit
{
  double ratePerSecond = 0;
  double burst = 0;
};

struct SharedQuotaOptions
{
  Duration window = std::chrono::seconds(8); // in which the bound holds
  // Parts of the platform's tolerance that are used: the rest covers reports on their way.
  double overage = 0.05; // of the bound
  double slackUnits = 0; // beyond it
  // An entry that was not heard for this long is silent; some periods of EntryState.
  Duration silence = std::chrono::milliseconds(1500);
  // A silent entry counts as gone after this time.
  Duration forget = std::chrono::seconds(16);
  // Entries that are assumed until SetEntries tells; 1 where nobody tells.
  std::uint32_t entriesAtStart = 1;
  // While saves fail for longer than this, accounts use no more than a start would assume of them:
  // otherwise a restart of all entries opens a second window. A few missed saves.
  Duration saveGap = std::chrono::milliseconds(1500);
  // Within this time all living entries have been heard.
  Duration meetTime = std::chrono::seconds(3);
};

// Use of one account in the last window, the newest of equal parts of it first.
struct SavedUse
{
  std::uint64_t account = 0;
  std::vector<std::uint32_t> units;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(account, units);
  }
};

// What is saved of all accounts at a time.
struct SavedUses
{
  std::int64_t savedAtMs = 0; // Unix time
  std::vector<SavedUse> accounts;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(savedAtMs, accounts);
  }
};

std::string EncodeSavedUses(const SavedUses& aUses);
std::optional<SavedUses> DecodeSavedUses(std::string_view aBytes);

class SharedQuota
{
public:
  // aStart: start of the process. Until SetUseBefore tells what the entries used in the window
  // before it, that counts as the whole bound: a restart of all entries must open no second window.
  SharedQuota(const SharedQuotaOptions& aOptions, TimePoint aStart);

  // What was saved before the start, aGap before it; accounts that are not in it used little.
  void SetUseBefore(std::vector<SavedUse> aSaved, Duration aGap);
  // Use of the accounts that are near their bound, or whose bound nobody asked for here, to outlive
  // a restart of all entries.
  std::vector<SavedUse> HotUse(TimePoint aNow);

  // aCount entries live, with this one. Those of them that were not heard yet count with an equal
  // part of the bound, for as long as it takes to hear them.
  void SetEntries(TimePoint aNow, std::uint32_t aCount);
  // How long an entry may say nothing before it counts as silent, if that is longer than the
  // option.
  void SetSilence(Duration aSilence);

  // The use of the window up to aAt is saved, or was small enough not to be. Where nobody ever says
  // so, nothing is saved and nothing is bounded by it.
  void OnUseSaved(TimePoint aNow, TimePoint aAt);
  // Since the use was last known to be saved; zero where nobody ever said so.
  Duration SinceSaved(TimePoint aNow) const;

  // Takes aUnits out of the account's quota. Zero: taken. Otherwise nothing is taken, and the
  // result is how long to wait until there is room.
  Duration Take(TimePoint aNow, std::uint64_t aAccount, const QuotaLimit& aLimit, double aUnits);
  // Gives back what a request took at aTakenAt and that has not run.
  void Return(TimePoint aNow, TimePoint aTakenAt, std::uint64_t aAccount, double aUnits);

  // Own use since the start, for the other entries.
  std::vector<AccountUse> OwnUse() const;
  // Another entry's use since its start.
  void OnPeerUse(TimePoint aNow, const Peer& aPeer, const std::vector<AccountUse>& aUses);
  // Use of all entries in the last window, as far as it is known here; only accounts that used a
  // part of their bound that matters.
  std::vector<AccountUse> WindowUse(TimePoint aNow);
  // WindowUse of an entry that hears all others more often than they hear each other.
  void OnWindowUse(TimePoint aNow, const std::vector<AccountUse>& aUses);
  // Entries that are heard, with this one.
  std::uint32_t EntryCount(TimePoint aNow) const;

private:
  static constexpr std::size_t kParts = 32; // of a window
  // One more than the parts: the newest is not over and the oldest not wholly out of the window.
  static constexpr std::size_t kBuckets = kParts + 1;
  // Units used in the last window, in buckets of equal time.
  struct Window
  {
    std::array<double, kBuckets> buckets{};
    std::int64_t newest = 0; // number of the newest bucket since the clock's start
    double total = 0;
    double bound = 0; // as last asked for
  };
  // Use before the start, as it was saved.
  struct Before
  {
    std::vector<std::uint32_t> units;
    double total = 0;
    double unsaved = 0; // probably used between the last save and the end
  };
  struct PeerRow
  {
    Incarnation incarnation{};
    TimePoint heardAt{};
    std::unordered_map<std::uint64_t, std::uint64_t> uses;
    std::unordered_map<std::uint64_t, double> assumed;
    std::unordered_map<std::uint64_t, double> rates; // units a second, as of the last reports
  };

  // Use of all entries in the last window as another entry told it.
  struct Told
  {
    double units = 0;
    double growth = 0; // a second, the largest of the last seconds
    TimePoint at{};
    double ownSince = 0;  // taken here since then
    double ownBefore = 0; // taken here between the last two tellings: may not be in it yet
  };

  std::int64_t BucketOf(TimePoint aNow) const;
  double UnsavedBound(TimePoint aNow, std::uint64_t aAccount, double aBound) const;
  double BoundOf(TimePoint aNow, const QuotaLimit& aLimit) const;
  double BeforeAt(std::uint64_t aAccount, double aBound, std::size_t aAge, TimePoint aNow) const;
  void Advance(Window& aWindow, TimePoint aNow) const;
  void Add(TimePoint aNow, std::uint64_t aAccount, double aUnits);
  double UnheardUse(TimePoint aNow, std::uint64_t aAccount) const;
  double ToldUse(TimePoint aNow, std::uint64_t aAccount) const;
  double UsedIn(const Window& aWindow, std::uint64_t aAccount, TimePoint aNow) const;
  void AssumeSilent(TimePoint aNow, std::uint64_t aAccount, const QuotaLimit& aLimit);

  SharedQuotaOptions options;
  TimePoint start;
  std::optional<TimePoint> savedAt;
  std::unordered_map<std::uint64_t, double> savedTotals; // use in the window as of savedAt
  Duration silence;
  std::uint32_t expected; // entries, with this one
  TimePoint expectedUntil;
  bool isBeforeKnown = false;
  std::unordered_map<std::uint64_t, Before> before;
  std::unordered_map<std::uint64_t, Window> windows;
  std::unordered_map<std::uint64_t, double> own; // since the start
  std::map<NodeId, PeerRow> peers;
  std::unordered_map<std::uint64_t, Told> told;
};

} // namespace caraway::direct
