#include "standins/overhead.h"

#include "core/uuid.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace caraway {

namespace {

constexpr Duration kIoTimeout = std::chrono::seconds(30);
constexpr double kMedian = 0.5;
constexpr double kP95 = 0.95;
constexpr std::uint64_t kIdSeed = 0x0E4D;

// Quantile in milliseconds.
double QuantileOf(std::vector<Duration> aTimes, double aShare)
{
  if (aTimes.empty()) {
    return 0;
  }
  std::sort(aTimes.begin(), aTimes.end());
  const auto last = static_cast<double>(aTimes.size() - 1);
  const auto index = static_cast<std::size_t>(aShare * last);
  return std::chrono::duration<double, std::milli>(aTimes[index]).count();
}

// A plan of streamed completions only, one for each pair.
LoadOptions StreamsOnly(LoadOptions aLoad, std::uint32_t aPairs)
{
  aLoad.wholeShare = 0;
  aLoad.serviceShare = 0;
  aLoad.onceShare = 0;
  aLoad.rate = 0;
  aLoad.seconds = 1;
  aLoad.burstEverySeconds = 2;
  aLoad.burstSize = aPairs;
  return aLoad;
}

} // namespace

struct OverheadRun::Flight
{
  Flight(const LoadRequest& aRequest, bool aFromEntry)
    : answer(aRequest, aFromEntry)
    , fromEntry(aFromEntry)
  {
  }

  LoadAnswer answer;
  bool fromEntry;
  std::size_t pair = 0;
  TimePoint sentAt;
};

OverheadRun::OverheadRun(const OverheadOptions& aOptions, const LoadOptions& aLoad,
                         const Clock& aClock, std::function<void()> aDone)
  : options(aOptions)
  , load(StreamsOnly(aLoad, aOptions.pairs))
  , clock(aClock)
  , done(std::move(aDone))
  , plan(PlanLoad(load))
  , pairs(plan.size())
  , random(aLoad.seed ^ kIdSeed)
  , session(kIoTimeout)
{
}

void OverheadRun::SendNext()
{
  const std::size_t pair = this->sent / 2;
  if (pair >= this->pairs.size()) {
    this->done();
    return;
  }
  // Even pairs go directly first, odd pairs through the entry first.
  const bool fromEntry = (this->sent % 2 + pair) % 2 == 1;
  ++this->sent;
  const auto flight = std::make_shared<Flight>(this->plan[pair], fromEntry);
  flight->pair = pair;
  const HttpRequest request = this->RequestOf(*flight);
  flight->sentAt = this->clock.Read().steady;
  this->session.Start(request, this->HandlersOf(flight));
}

HttpRequest OverheadRun::RequestOf(const Flight& aFlight)
{
  const LoadRequest& planned = this->plan[aFlight.pair];
  const RequestId id = MakeUuid7(this->clock.Read().wall, this->random);
  HttpRequest request;
  request.method = "POST";
  request.address = aFlight.fromEntry ? this->options.entry : this->options.engine;
  request.path = PathOf(planned, this->load);
  request.body = planned.body;
  request.headers = { { "Caraway-Request-Id", FormatUuid(id) } };
  if (!this->load.keys.empty()) {
    request.headers.push_back({ "Authorization", "Bearer " + this->load.keys[planned.account] });
  }
  return request;
}

HttpHandlers OverheadRun::HandlersOf(const std::shared_ptr<Flight>& aFlight)
{
  HttpHandlers handlers;
  handlers.head = [aFlight](const ResponseHead& aHead) {
    aFlight->answer.OnHead(aHead.status, IsEventStream(aHead.fields));
  };
  handlers.data = [this, aFlight](std::string_view aData) {
    OverheadPair& times = this->pairs[aFlight->pair];
    Duration& first = aFlight->fromEntry ? times.through : times.direct;
    if (aFlight->answer.OnData(aData) > 0 && first == Duration::zero()) {
      first = this->clock.Read().steady - aFlight->sentAt;
    }
  };
  handlers.end = [this, aFlight](const HttpEnd& aEnd) {
    const LoadResult result = aFlight->answer.OnEnd(!aEnd.error);
    this->failures += result == LoadResult::kAnswered ? 0 : 1;
    this->SendNext();
  };
  return handlers;
}

std::string OverheadRun::Summary() const
{
  std::vector<Duration> direct;
  std::vector<Duration> through;
  std::vector<Duration> added;
  for (const OverheadPair& pair : this->pairs) {
    direct.push_back(pair.direct);
    through.push_back(pair.through);
    added.push_back(pair.through - pair.direct);
  }
  std::ostringstream out;
  out << "pairs=" << this->pairs.size() << " failures=" << this->failures
      << " direct_ms_p50=" << QuantileOf(direct, kMedian)
      << " through_ms_p50=" << QuantileOf(through, kMedian)
      << " added_ms_p50=" << QuantileOf(added, kMedian)
      << " added_ms_p95=" << QuantileOf(added, kP95);
  return out.str();
}

} // namespace caraway
