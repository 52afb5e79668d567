#include "standins/service_server.h"

#include "standins/answer.h"
#include "standins/delayed.h"

#include <nlohmann/json.hpp>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kFailed = 500;
constexpr Duration kCallTime = std::chrono::milliseconds(5); // without faults

std::string ErrorBody(const char* aText)
{
  return Json{ { "error", aText } }.dump();
}

} // namespace

ServiceServer::ServiceServer(FaultPlan& aPlan, const Clock& aClock)
  : plan(aPlan)
  , clock(aClock)
{
}

void ServiceServer::Handle(const Exchange& aExchange)
{
  const std::string& path = aExchange->Path();
  const bool isPost = aExchange->Method() == "POST";
  if (isPost && path == "/fault") {
    ApplyFaults(Json::parse(aExchange->Body()), this->plan.Faults());
    aExchange->Answer(kOk, "{}");
  } else if (isPost) {
    this->Execute(aExchange);
  } else if (path == "/health") {
    aExchange->Answer(kOk, "{}");
  } else if (path == "/counts") {
    aExchange->Answer(kOk, this->Counts());
  } else {
    aExchange->Answer(kNotFound, ErrorBody("no such call"));
  }
}

// The call takes effect at once; its answer follows after the call's time.
void ServiceServer::Execute(const Exchange& aExchange)
{
  const EndpointFaults& faults = this->plan.Faults();
  ++this->executions;
  ++this->byRequest[aExchange->Header("Caraway-Request-Id")];
  ++this->byKey[aExchange->Header("Idempotency-Key")];
  ++this->byBody[ExpectedEcho(aExchange->Body())];
  if (!faults.crashOn.empty() && aExchange->Body().find(faults.crashOn) != std::string::npos) {
    Crash();
  }
  if (faults.closeAfterReading) {
    aExchange->Drop();
    return;
  }
  const Fate fate = this->plan.Decide(this->clock.Read().steady, aExchange->Path(), this->running);
  ++this->running;
  if (faults.stall) {
    return;
  }
  const auto time = (kCallTime + faults.delay) * (faults.slowFactor * fate.slowFactor);
  CallAfter(std::chrono::duration_cast<Duration>(time),
            [this, aExchange, fate] { this->Finish(aExchange, fate); });
}

void ServiceServer::Finish(const Exchange& aExchange, const Fate& aFate)
{
  --this->running;
  if (aFate.fails) {
    aExchange->Answer(kFailed, ErrorBody("internal error"));
  } else {
    aExchange->Answer(kOk, ExpectedEcho(aExchange->Body()));
  }
}

std::string ServiceServer::Counts() const
{
  std::uint64_t repeated = 0;
  for (const auto& [echo, count] : this->byBody) {
    repeated += count > 1 ? 1 : 0;
  }
  return Json{
    { "executions", this->executions },
    { "by_request", this->byRequest },
    { "by_key", this->byKey },
    { "repeated_bodies", repeated }
  }.dump();
}

} // namespace caraway
