// The callers of the entries: submit, take in answers, come back after a refusal, and resume
// through another entry when theirs dies.
#pragma once

#include "bench/host.h"
#include "bench/workload.h"

#include <functional>
#include <map>
#include <vector>

namespace caraway::bench {

// A caller comes back this often after refusals that name a time.
constexpr std::uint32_t kRetries = 2;

// Whether the caller submits its request again after this answer.
bool WantsRetry(const Job& aJob, const FinalAnswer& aAnswer);

// The same request under a new id.
Job RetryOf(const Job& aJob, Site& aSite);

// Lets the calls of a workload arrive until aEnd. aWorkload and aSite must outlive the run.
void Feed(Workload& aWorkload, Site& aSite, TimePoint aEnd,
          std::function<void(const Job&)> aSubmit);

class Callers final : public CallerSide
{
public:
  explicit Callers(Site& aSite);

  // Entries in the order of the platform's balancer; they must outlive the callers.
  void SetEntries(std::vector<EntryHost*> aEntries);

  // Submits through an entry that takes requests, drawn at random. Without one nothing happens.
  void Submit(const Job& aJob);
  void SubmitAt(EntryHost& aEntry, const Job& aJob);
  // Callers whose requests are refused from now on do not come back.
  void StopRetries() { this->retrying = false; }
  // The connection of a caller breaks; it may come back later.
  void Leave(const RequestId& aId, bool aMayResume);
  // An entry died with its connections: its callers resume through another one.
  void OnEntryLost(const EntryHost& aEntry);

  void OnPart(const RequestId& aId, const std::string& aData) override;
  void OnFinal(const RequestId& aId, const FinalAnswer& aAnswer) override;

  // Requests without a final answer.
  std::vector<RequestId> Open() const;
  std::size_t OpenAt(const EntryHost& aEntry) const;

private:
  struct OpenCall
  {
    EntryHost* entry = nullptr;
    std::uint32_t parts = 0;
    std::optional<NodeId> agent; // from the head of the answer
  };

  EntryHost* PickEntry();
  void Resume(const RequestId& aId);

  Site& site;
  std::vector<EntryHost*> entries;
  std::map<RequestId, OpenCall> open;
  bool retrying = true;
};

} // namespace caraway::bench
