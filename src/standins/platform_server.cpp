#include "standins/platform_server.h"

#include "standins/delayed.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <utility>

namespace caraway {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kDefaultMax = 1000; // records in one answer
constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kUnavailable = 503;

std::string ErrorBody(const char* aText)
{
  return Json{ { "error", aText } }.dump();
}

std::uint64_t NumberOf(const std::string& aText, std::uint64_t aDefault)
{
  return aText.empty() ? aDefault : std::strtoull(aText.c_str(), nullptr, 10);
}

} // namespace

PlatformServer::PlatformServer(const Clock& aClock)
  : clock(aClock)
{
}

void PlatformServer::Handle(const Exchange& aExchange)
{
  const std::string call = aExchange->Method() + " " + aExchange->Path();
  if (call == "POST /v1/append") {
    this->Append(aExchange);
  } else if (call == "GET /v1/read") {
    this->Read(aExchange);
  } else if (call == "GET /v1/vms") {
    this->ListVms(aExchange);
  } else if (call == "POST /v1/vms") {
    this->PutVm(aExchange);
  } else if (call == "POST /fault") {
    this->SetFaults(aExchange);
  } else if (call == "GET /counts") {
    aExchange->Answer(kOk, Json{ { "appends", this->appends },
                                 { "reads", this->reads },
                                 { "records", this->log.Next() } }
                             .dump());
  } else {
    aExchange->Answer(kNotFound, ErrorBody("no such call"));
  }
}

void PlatformServer::Append(const Exchange& aExchange)
{
  if (this->faults.logDown) {
    this->AnswerLate(aExchange, kUnavailable, ErrorBody("outage"));
    return;
  }
  const Json body = Json::parse(aExchange->Body());
  const auto records = body.at("records").get<std::vector<std::string>>();
  const LogOffset first = this->log.Append(records);
  ++this->appends;
  if (this->faults.loseAppendAnswers > 0) {
    --this->faults.loseAppendAnswers;
    aExchange->Drop();
  } else {
    this->AnswerLate(aExchange, kOk, Json{ { "first", first } }.dump());
  }
  this->WakeReaders();
}

void PlatformServer::Read(const Exchange& aExchange)
{
  ++this->reads;
  if (this->faults.logDown) {
    this->AnswerLate(aExchange, kUnavailable, ErrorBody("outage"));
    return;
  }
  const Waiting read{ aExchange, NumberOf(aExchange->Query("from"), 0),
                      NumberOf(aExchange->Query("max"), kDefaultMax) };
  const milliseconds wait(NumberOf(aExchange->Query("wait_ms"), 0));
  const bool behind = read.from < this->log.Oldest() || read.from < this->log.Next();
  if (behind || wait == milliseconds::zero()) {
    this->AnswerRead(read);
    return;
  }
  this->waiting.push_back(read);
  aExchange->OnGone([this, raw = std::weak_ptr(aExchange)] {
    if (const Exchange gone = raw.lock()) {
      this->StopWaiting(gone);
    }
  });
  CallAfter(wait, [this, weak = std::weak_ptr(aExchange), read = std::pair(read.from, read.max)] {
    if (const Exchange late = weak.lock()) {
      this->StopWaiting(late);
      this->AnswerRead({ late, read.first, read.second });
    }
  });
}

void PlatformServer::AnswerRead(const Waiting& aRead)
{
  Json records = Json::array();
  for (const LogRecord& record : this->log.Read(aRead.from, aRead.max)) {
    records.push_back({ { "offset", record.offset }, { "data", record.data } });
  }
  const Json answer{ { "oldest", this->log.Oldest() },
                     { "next", this->log.Next() },
                     { "records", std::move(records) } };
  this->AnswerLate(aRead.exchange, kOk, answer.dump());
}

void PlatformServer::WakeReaders()
{
  const std::list<Waiting> woken = std::exchange(this->waiting, {});
  for (const Waiting& read : woken) {
    this->AnswerRead(read);
  }
}

void PlatformServer::FailReaders()
{
  const std::list<Waiting> failed = std::exchange(this->waiting, {});
  for (const Waiting& read : failed) {
    this->AnswerLate(read.exchange, kUnavailable, ErrorBody("outage"));
  }
}

void PlatformServer::StopWaiting(const Exchange& aExchange)
{
  this->waiting.remove_if([&](const Waiting& aRead) { return aRead.exchange == aExchange; });
}

void PlatformServer::PutVm(const Exchange& aExchange)
{
  const Json vm = Json::parse(aExchange->Body());
  const auto name = vm.at("name").get<std::string>();
  const bool gone = vm.value("state", "live") == "gone";
  this->vms.Put(this->clock.Read().steady, name, gone ? "" : vm.dump());
  aExchange->Answer(kOk, "{}");
}

void PlatformServer::ListVms(const Exchange& aExchange)
{
  Json list = Json::array();
  for (const std::string& vm : this->vms.List(this->clock.Read().steady)) {
    list.push_back(Json::parse(vm));
  }
  aExchange->Answer(kOk, Json{ { "vms", std::move(list) } }.dump());
}

void PlatformServer::SetFaults(const Exchange& aExchange)
{
  const Json body = Json::parse(aExchange->Body());
  this->faults.logDown = body.value("log_down", this->faults.logDown);
  this->faults.loseAppendAnswers =
    body.value("lose_append_answers", this->faults.loseAppendAnswers);
  if (body.contains("delay_ms")) {
    this->faults.delay = milliseconds(body["delay_ms"].get<std::int64_t>());
  }
  if (body.contains("retain")) {
    this->log.Retain(body["retain"].get<std::size_t>());
  }
  if (body.contains("vm_lag_ms")) {
    this->vms.SetLag(milliseconds(body["vm_lag_ms"].get<std::int64_t>()));
  }
  if (this->faults.logDown) {
    this->FailReaders();
  }
  aExchange->Answer(kOk, "{}");
}

void PlatformServer::AnswerLate(const Exchange& aExchange, std::uint16_t aStatus,
                                const std::string& aBody)
{
  if (this->faults.delay == Duration::zero()) {
    aExchange->Answer(aStatus, aBody);
    return;
  }
  CallAfter(this->faults.delay, [aExchange, aStatus, aBody] { aExchange->Answer(aStatus, aBody); });
}

} // namespace caraway
