#include "runtime/log_client.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr Duration kIoTimeout = std::chrono::seconds(10); // longer than any long poll
constexpr std::uint32_t kMaxRecordsPerRead = 1000;
constexpr std::uint16_t kStatusOk = 200;
constexpr std::uint16_t kFirstErrorStatus = 400;

// Starts an HTTP call and buffers the response; aDone receives its result and body.
void StartBufferedCall(HttpSession& aSession, const HttpRequest& aRequest,
                       std::function<void(const HttpEnd&, const std::string&)> aDone)
{
  const auto body = std::make_shared<std::string>();
  HttpHandlers handlers;
  handlers.data = [body](std::string_view aData) { body->append(aData); };
  handlers.end = [body, done = std::move(aDone)](const HttpEnd& aEnd) { done(aEnd, *body); };
  aSession.Start(aRequest, std::move(handlers));
}

// Error of a call; any status other than 200 is an error.
std::error_code ToErrorCode(const HttpEnd& aEnd)
{
  if (aEnd.error || aEnd.status == kStatusOk) {
    return aEnd.error;
  }
  return std::make_error_code(std::errc::resource_unavailable_try_again);
}

std::optional<LogOffset> ParseFirstOffset(const std::string& aBody)
{
  const Json answer = Json::parse(aBody, nullptr, false);
  if (!answer.is_object() || !answer.contains("first") || !answer["first"].is_number_unsigned()) {
    return std::nullopt;
  }
  return answer["first"].get<LogOffset>();
}

AppendResult ToAppendResult(const HttpEnd& aEnd)
{
  if (!aEnd.sent) {
    return AppendResult::kFailed;
  }
  if (aEnd.error) {
    return AppendResult::kUnknown;
  }
  if (aEnd.status == kStatusOk) {
    return AppendResult::kAppended;
  }
  return aEnd.status >= kFirstErrorStatus ? AppendResult::kFailed : AppendResult::kUnknown;
}

// Response to a read request.
struct ReadResponse
{
  LogOffset oldest = 0;
  LogOffset next = 0;
  std::vector<LogRecord> records;
};

std::optional<ReadResponse> DecodeReadResponse(const std::string& aBody)
{
  try {
    const Json answer = Json::parse(aBody);
    ReadResponse read;
    read.oldest = answer.at("oldest").get<LogOffset>();
    read.next = answer.at("next").get<LogOffset>();
    for (const Json& record : answer.at("records")) {
      read.records.push_back(
        { record.at("offset").get<LogOffset>(), record.at("data").get<std::string>() });
    }
    return read;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

Vm DecodeVm(const Json& aJson)
{
  Vm vm;
  vm.name = aJson.at("name").get<std::string>();
  vm.role = aJson.at("role").get<std::string>() == "agent" ? Role::kAgent : Role::kEntry;
  vm.address = aJson.at("address").get<std::string>();
  vm.port = aJson.at("port").get<std::uint16_t>();
  vm.region = aJson.value("region", "");
  vm.failureDomain = aJson.value("failure_domain", "");
  vm.pool = aJson.value("pool", "");
  vm.version = aJson.value("version", "");
  vm.state = aJson.value("state", "live") == "leaving" ? VmState::kLeaving : VmState::kLive;
  return vm;
}

std::optional<std::vector<Vm>> DecodeVms(const std::string& aBody)
{
  try {
    const Json answer = Json::parse(aBody);
    std::vector<Vm> vms;
    for (const Json& vm : answer.at("vms")) {
      vms.push_back(DecodeVm(vm));
    }
    return vms;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

} // namespace

LogClient::LogClient(std::string aAddress)
  : address(std::move(aAddress))
  , session(kIoTimeout)
{
}

void LogClient::Append(const std::vector<std::string>& aRecords, AppendHandler aDone)
{
  HttpRequest request;
  request.method = "POST";
  request.address = this->address;
  request.path = "/v1/append";
  request.body =
    Json{ { "records", aRecords } }.dump(-1, ' ', false, Json::error_handler_t::replace);
  StartBufferedCall(this->session, request,
                    [done = std::move(aDone)](const HttpEnd& aEnd, const std::string& aBody) {
                      const AppendResult result = ToAppendResult(aEnd);
                      if (result != AppendResult::kAppended) {
                        done(result, kNoOffset);
                        return;
                      }
                      const std::optional<LogOffset> first = ParseFirstOffset(aBody);
                      done(first ? AppendResult::kAppended : AppendResult::kUnknown,
                           first.value_or(kNoOffset));
                    });
}

void LogClient::Follow(LogOffset aFrom, ReadHandler aDone, ErrorHandler aFailed, Duration aWait)
{
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(aWait).count();
  HttpRequest request;
  request.address = this->address;
  request.path = "/v1/read?from=" + std::to_string(aFrom) +
                 "&max=" + std::to_string(kMaxRecordsPerRead) + "&wait_ms=" + std::to_string(wait);
  request.hasOwnConnection = false; // reads are idempotent, so a reused connection is safe
  StartBufferedCall(this->session, request,
                    [done = std::move(aDone),
                     failed = std::move(aFailed)](const HttpEnd& aEnd, const std::string& aBody) {
                      if (const std::error_code error = ToErrorCode(aEnd)) {
                        failed(error);
                        return;
                      }
                      std::optional<ReadResponse> read = DecodeReadResponse(aBody);
                      if (!read) {
                        failed(std::make_error_code(std::errc::bad_message));
                        return;
                      }
                      done(read->oldest, read->next, std::move(read->records));
                    });
}

void LogClient::ListVms(VmListHandler aDone)
{
  HttpRequest request;
  request.address = this->address;
  request.path = "/v1/vms";
  request.hasOwnConnection = false;
  StartBufferedCall(this->session, request,
                    [done = std::move(aDone)](const HttpEnd& aEnd, const std::string& aBody) {
                      if (const std::error_code error = ToErrorCode(aEnd)) {
                        done(error, {});
                        return;
                      }
                      std::optional<std::vector<Vm>> vms = DecodeVms(aBody);
                      if (!vms) {
                        done(std::make_error_code(std::errc::bad_message), {});
                        return;
                      }
                      done(std::error_code(), std::move(*vms));
                    });
}

} // namespace caraway
