// Quotas of client accounts, enforced over all entries in a sliding window. Each entry counts its
// own usage and the usage reported by its peers. For a silent peer it assumes an equal share of the
// quota, so that the bound also holds during network partitions.
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

// Quota of one account in tokens or requests. A rate of zero means no limit.
struct QuotaLimit
{
  double ratePerSecond = 0;
  double burst = 0;
};

struct SharedQuotaOptions
{
  Duration window = std::chrono::seconds(8); // length of the sliding window
  // Shares of the platform's tolerance that are used; the rest covers reports in transit.
  double overage = 0.05; // relative, of the bound
  double slackUnits = 0; // absolute, in units
  // A peer without a report for this long is silent; a few periods of EntryState.
  Duration peerTimeout = std::chrono::milliseconds(1500);
  // A silent peer is removed after this time.
  Duration peerExpiry = std::chrono::seconds(16);
  // Number of entries assumed until SetEntries is called; 1 if it never is.
  std::uint32_t initialEntries = 1;
  // If saves fail for longer than this, a restarted process assumes that accounts were used at the
  // average rate from then on. The value covers a few missed saves.
  Duration maxSaveAge = std::chrono::milliseconds(1500);
  // Largest difference between the clocks of two VMs, one of which saves and the other restores.
  Duration maxClockError = std::chrono::seconds(5);
  // Time within which all live entries have been heard.
  Duration discoveryTime = std::chrono::seconds(3);
};

// Persisted usage of all accounts.
struct UsageSnapshot
{
  std::int64_t savedAtMs = 0; // Unix time
  std::vector<SavedUsage> accounts;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(savedAtMs, accounts);
  }
};

std::string EncodeUsageSnapshot(const UsageSnapshot& aUsages);
std::optional<UsageSnapshot> DecodeUsageSnapshot(std::string_view aBytes);

class SharedQuota
{
public:
  // aStart: start of the process. Until RestoreUsage is called, the window before the start counts
  // as fully used, so that a restart of all entries does not allow a second full window.
  SharedQuota(const SharedQuotaOptions& aOptions, TimePoint aStart);

  // Restores usage that was saved aGap before the start. Since the last save, each account may have
  // used as much as LimitUnsavedUsage allows; accounts not listed used little before it.
  // aGap may be off by maxClockError in either direction.
  void RestoreUsage(std::vector<SavedUsage> aSaved, Duration aGap);
  // Sets the bound of an account, to be known before its first request.
  void SetLimit(std::uint64_t aAccount, const QuotaLimit& aLimit);
  // True if the usage of the last window is known, not assumed.
  bool KnowsWindow(TimePoint aNow) const;
  // The usage of the last window as known to a peer; replaces what is restored or assumed for the
  // time before the start.
  void OnPeerWindow(TimePoint aNow, const std::vector<SavedUsage>& aUsages);
  // Usage of accounts with more than negligible usage, or whose bound is not known here, to be
  // persisted across a restart of all entries.
  std::vector<SavedUsage> UsageToSave(TimePoint aNow);
  // The usage is saved from now on: limits what an account can use between two saves, because a
  // restart of all entries loses it.
  void LimitUnsavedUsage() { this->isUnsavedLimited = true; }
  // Saves made before aNow may be lost, so another one is due.
  void OnSavesLost(TimePoint aNow) { this->savesLostAt = aNow; }
  // True if a save is due: the last one is old, or an account has used much since.
  bool NeedsSave(TimePoint aNow) const;

  // Sets the number of live entries including this one. Entries not heard yet are assigned equal
  // shares of the bound until the discovery time ends.
  void SetEntries(TimePoint aNow, std::uint32_t aCount);
  // Sets the time after which a peer counts as silent, if longer than the option.
  void SetPeerTimeout(Duration aPeerTimeout);

  // The window's usage up to aAt was saved, or was too small to be saved.
  void OnUsageSaved(TimePoint aNow, TimePoint aAt);
  // Time since the usage was last known to be saved; zero if OnUsageSaved was never called.
  Duration TimeSinceSave(TimePoint aNow) const;

  // Takes aUnits from the account's quota and returns zero, or takes nothing and returns the time
  // until enough units become available.
  Duration Take(TimePoint aNow, std::uint64_t aAccount, const QuotaLimit& aLimit, double aUnits);
  // Returns the units that a request which did not run took at aTakenAt.
  void Refund(TimePoint aNow, TimePoint aTakenAt, std::uint64_t aAccount, double aUnits);

  // Usage at this entry since its start, to be sent to peers.
  std::vector<AccountUsage> LocalUsage() const;
  // Processes a peer's report of its usage since its start.
  void OnPeerUsage(TimePoint aNow, const Peer& aPeer, const std::vector<AccountUsage>& aUsages);
  // Usage of all entries in the last window as known here; omits accounts with negligible usage.
  std::vector<AccountUsage> WindowUsage(TimePoint aNow);
  // Processes the WindowUsage of an entry that receives all reports more often than its peers do.
  void OnWindowUsage(TimePoint aNow, const std::vector<AccountUsage>& aUsages);
  // Number of entries that are not silent, including this one.
  std::uint32_t EntryCount(TimePoint aNow) const;

private:
  static constexpr std::size_t kParts = 32; // of a window
  // One more than the parts: the newest bucket is incomplete, and the oldest is partly in the
  // window.
  static constexpr std::size_t kBuckets = kParts + 1;
  using Buckets = std::array<double, kBuckets>;
  // Units used in the last window, in a ring of buckets of equal time.
  struct Window
  {
    Buckets buckets{};
    std::int64_t newest = 0; // index of the newest bucket since the clock's epoch
    double total = 0;
    double bound = 0; // of all entries
    double part = 1;  // of the bound that entries heard here may use, at the last Take
    // Usage since the last save, less what a restart assumes for a failure of saves.
    double unsaved = 0;
    TimePoint unsavedAt{};
    TimePoint refusedAt{}; // of the last refusal here
  };
  // Saved usage from before the start.
  struct RestoredUsage
  {
    std::vector<std::uint32_t> units;
    double unsaved = 0; // minimum estimate of the usage between the last save and the restart
  };
  struct PeerRow
  {
    Incarnation incarnation{};
    TimePoint heardAt{};
    std::unordered_map<std::uint64_t, std::uint64_t> usages;
    std::unordered_map<std::uint64_t, double> assumed;
    std::unordered_map<std::uint64_t, double> rates; // units per second, smoothed
  };

  // Usage of all entries in the last window as reported by another entry.
  struct WindowReport
  {
    double units = 0;
    double growth = 0; // units per second, decaying maximum
    TimePoint at{};
    double takenSince = 0;  // taken here since the report
    double takenBefore = 0; // taken here between the last two reports; possibly not included yet
  };

  bool WasRefused(TimePoint aNow, std::uint64_t aAccount) const;
  std::int64_t BucketOf(TimePoint aNow) const;
  double BoundOf(const QuotaLimit& aLimit) const;
  double HeardPart(TimePoint aNow) const;
  double RestoredAt(const RestoredUsage* aRow, double aBound, std::size_t aAge) const;
  Buckets RestoredUsageOf(std::uint64_t aAccount, double aBound, TimePoint aNow) const;
  double UnsavedUsage(const Window& aWindow, TimePoint aNow) const;
  Duration WaitUntilFreed(const Window& aWindow, const Buckets& aRestored, double aOver) const;
  Duration UnsavedWait(const Window& aWindow, TimePoint aNow, double aUnsaved, double aUnits) const;
  Window& WindowOf(std::uint64_t aAccount);
  void Advance(Window& aWindow, TimePoint aNow) const;
  void Add(TimePoint aNow, std::uint64_t aAccount, double aUnits);
  double KnownUsage(TimePoint aNow, std::uint64_t aAccount);
  double UnreportedUsage(TimePoint aNow, std::uint64_t aAccount) const;
  double ExtrapolatedReport(TimePoint aNow, std::uint64_t aAccount) const;
  double UsedIn(const Window& aWindow, std::uint64_t aAccount, TimePoint aNow) const;
  void ChargeSilentPeers(TimePoint aNow, std::uint64_t aAccount, const QuotaLimit& aLimit);

  SharedQuotaOptions options;
  TimePoint start;
  std::optional<TimePoint> savedAt;
  TimePoint savesLostAt{};
  bool isUnsavedLimited = false;
  Duration peerTimeout;
  std::uint32_t expectedEntries; // including this one
  TimePoint expectedUntil;
  bool isRestored = false;
  bool isFromPeer = false;         // restored from a peer, so that no usage is missing
  TimePoint restoredAt;            // end of the restored usage
  std::size_t failedSaveParts = 0; // buckets before the start in which saves had failed
  std::unordered_map<std::uint64_t, RestoredUsage> restored;
  std::unordered_map<std::uint64_t, Window> windows;
  std::unordered_map<std::uint64_t, double> bounds;    // of accounts, by SetLimit
  std::unordered_map<std::uint64_t, double> ownTotals; // since the start
  std::map<NodeId, PeerRow> peers;
  std::unordered_map<std::uint64_t, WindowReport> windowReports;
};

} // namespace caraway::direct
