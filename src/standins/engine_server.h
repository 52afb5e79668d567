// HTTP interface of the model engine's stand-in.
#pragma once

#include "runtime/clock.h"
#include "runtime/timer.h"
#include "standins/engine_model.h"
#include "standins/faults.h"
#include "standins/http_service.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace caraway {

struct EngineServerOptions
{
  Duration loadLag = std::chrono::seconds(2);  // age of the load report at most
  Duration cacheLag = std::chrono::seconds(2); // before a cache event is published
  std::uint32_t cacheGapPercent = 10;          // cache events that are never published
  bool checksFencing = false;                  // refuses orders with an older fencing number
};

class EngineServer
{
public:
  EngineServer(const EngineOptions& aEngine, const EngineServerOptions& aOptions, FaultPlan& aPlan,
               const Clock& aClock);

  void Handle(const std::shared_ptr<HttpExchange>& aExchange);

private:
  using Exchange = std::shared_ptr<HttpExchange>;

  // One answer that is being generated.
  struct Stream
  {
    Exchange exchange;
    std::string message; // from which the tokens are derived
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t breakAt = UINT32_MAX; // the connection breaks before this token
  };

  struct DatedCacheEvent
  {
    TimePoint publishAt;
    CacheEvent event;
  };

  void Complete(const Exchange& aExchange);
  void Generate(const Exchange& aExchange, const Fate& aFate);
  void Cancel(std::uint64_t aKey);
  void Step();
  void Emit(const EngineToken& aToken);
  void Wake();
  void TakeOrder(const Exchange& aExchange);
  void SetFaults(const Exchange& aExchange);
  void ReportLoad();
  void GatherCacheEvents();
  std::string Metrics() const;
  std::string CacheEvents(std::uint64_t aAfter) const;
  std::string Counts() const;

  EngineServerOptions options;
  FaultPlan& plan;
  const Clock& clock;
  EngineModel model;
  Timer timer; // of the model's next step
  std::uint64_t lastKey = 0;
  std::map<std::uint64_t, Stream> streams;
  std::uint64_t arrivals = 0;
  std::map<std::string, std::uint64_t> arrivalsById;
  std::uint64_t lastFencing = 0;
  std::uint64_t ordersTaken = 0;
  std::uint64_t ordersRefused = 0;
  EngineLoad reported; // lags behind the model
  std::uint64_t lastCacheEvent = 0;
  std::deque<DatedCacheEvent> cacheEvents;
};

} // namespace caraway
