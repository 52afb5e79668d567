#include "runtime/http_call.h"

#include "runtime/log.h"
#include "runtime/timer.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace caraway {

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(3);
constexpr Duration kMaxIdle = std::chrono::seconds(4); // of a reused connection
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t(1) << 30;

bool HasControlOrSpace(std::string_view aText)
{
  return std::any_of(aText.begin(), aText.end(),
                     [](unsigned char aByte) { return aByte <= ' ' || aByte == 0x7F; });
}

bool HasControl(std::string_view aText)
{
  return std::any_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return (aByte < ' ' && aByte != '\t') || aByte == 0x7F;
  });
}

// Whether the request consists of one message only, whatever its parts contain.
bool IsWellFormed(const HttpRequest& aRequest)
{
  return aRequest.path.starts_with('/') && !HasControlOrSpace(aRequest.path) &&
         std::none_of(aRequest.headers.begin(), aRequest.headers.end(),
                      [](const FieldView& aField) {
                        return HasControlOrSpace(aField.name) || HasControl(aField.value);
                      });
}

std::string Serialize(const HttpRequest& aRequest)
{
  std::string out =
    aRequest.method + " " + aRequest.path + " HTTP/1.1\r\nHost: " + aRequest.address + "\r\n";
  AppendHeaderLines(out, aRequest.headers);
  if (aRequest.hasOwnConnection) {
    out += "Connection: close\r\n";
  }
  if (!aRequest.body.empty()) {
    out += "Content-Type: application/json\r\n";
  }
  if (!aRequest.body.empty() || aRequest.method != "GET") {
    out += "Content-Length: " + std::to_string(aRequest.body.size()) + "\r\n";
  }
  return out + "\r\n" + aRequest.body;
}

std::error_code ToErrorCode(ExchangeEnd aEnd)
{
  switch (aEnd) {
    case ExchangeEnd::kComplete:
      return {};
    case ExchangeEnd::kUnsent:
      return std::make_error_code(std::errc::connection_refused);
    case ExchangeEnd::kBroken:
      return std::make_error_code(std::errc::connection_reset);
    case ExchangeEnd::kMalformed:
      break;
  }
  return std::make_error_code(std::errc::protocol_error);
}

} // namespace

class HttpCall final
  : public ExchangeHandler
  , public std::enable_shared_from_this<HttpCall>
{
public:
  HttpCall(HttpSession& aSession, const HttpRequest& aRequest, HttpHandlers aHandlers)
    : session(aSession)
    , handlers(std::make_shared<HttpHandlers>(std::move(aHandlers)))
    , mayResend(!aRequest.hasOwnConnection)
  {
    this->request.address = ParseAddress(aRequest.address).value_or(Address{});
    this->request.maxBodyBytes = kMaxBodyBytes;
    this->request.maxIdle = this->mayResend ? kMaxIdle : Duration::zero();
    this->request.connectTimeout = aSession.ioTimeout == Duration::zero()
                                     ? kConnectTimeout
                                     : std::min(kConnectTimeout, aSession.ioTimeout);
    this->isWellFormed = IsWellFormed(aRequest);
    this->request.bytes = Serialize(aRequest);
  }

  void Start()
  {
    if (!this->isWellFormed) {
      this->Arm(Duration::zero());
      return;
    }
    this->ArmTimeout();
    this->exchange =
      this->session.pool.Send(this->mayResend ? this->request : std::move(this->request), *this);
  }

  // Cancels the call without calling its handlers.
  void Cancel()
  {
    const auto self = this->shared_from_this();
    this->handlers.reset();
    if (this->timer) {
      this->timer->Cancel();
    }
    this->session.pool.Cancel(this->exchange);
    this->session.calls.erase(self);
  }

  void OnHead(const ResponseHead& aHead) override
  {
    this->ArmTimeout();
    this->status = aHead.status;
    const auto current = this->handlers;
    if (current != nullptr && current->head) {
      current->head(aHead);
    }
  }

  void OnBody(std::string_view aData) override
  {
    this->ArmTimeout();
    const auto current = this->handlers;
    if (current != nullptr && current->data) {
      current->data(aData);
    }
  }

  void OnEnd(ExchangeEnd aEnd) override
  {
    if (aEnd == ExchangeEnd::kBroken && this->status == 0 &&
        std::exchange(this->mayResend, false)) {
      LogEvent(LogLevel::kDebug, "call_resent",
               { { "address", FormatAddress(this->request.address) } });
      this->request.maxIdle = Duration::zero();
      this->Start();
      return;
    }
    this->End(HttpEnd{ ToErrorCode(aEnd), aEnd != ExchangeEnd::kUnsent, this->status });
  }

private:
  void ArmTimeout()
  {
    if (this->session.ioTimeout > Duration::zero()) {
      this->Arm(this->session.ioTimeout);
    }
  }

  void Arm(Duration aDelay)
  {
    if (!this->timer) {
      this->timer.emplace([this] { this->OnTimer(); });
    }
    this->timer->ArmAfter(aDelay);
  }

  void OnTimer()
  {
    if (!this->isWellFormed) {
      this->End(HttpEnd{ std::make_error_code(std::errc::invalid_argument), false, 0 });
      return;
    }
    this->session.pool.Cancel(this->exchange);
    this->End(HttpEnd{ std::make_error_code(std::errc::timed_out), true, this->status });
  }

  void End(const HttpEnd& aEnd)
  {
    const auto self = this->shared_from_this();
    if (this->timer) {
      this->timer->Cancel();
    }
    this->session.calls.erase(self);
    const auto last = std::exchange(this->handlers, nullptr);
    if (last != nullptr && last->end) {
      last->end(aEnd);
    }
  }

  HttpSession& session;
  std::shared_ptr<HttpHandlers> handlers; // shared, as a running handler may cancel the call
  EndpointRequest request;
  bool isWellFormed = false;
  bool mayResend;
  std::weak_ptr<EndpointExchange> exchange;
  std::uint16_t status = 0;
  std::optional<Timer> timer; // created on use, as each one is a source of the main loop
};

HttpSession::HttpSession(Duration aIoTimeout)
  : ioTimeout(aIoTimeout)
  , pool(this->poller, this->clock)
{
}

HttpSession::~HttpSession()
{
  const auto running = std::exchange(this->calls, {});
  for (const std::shared_ptr<HttpCall>& call : running) {
    call->Cancel();
  }
}

std::weak_ptr<HttpCall> HttpSession::Start(const HttpRequest& aRequest, HttpHandlers aHandlers)
{
  const auto call = std::make_shared<HttpCall>(*this, aRequest, std::move(aHandlers));
  this->calls.insert(call);
  call->Start();
  return call;
}

void CancelCall(const std::weak_ptr<HttpCall>& aCall)
{
  if (const std::shared_ptr<HttpCall> call = aCall.lock()) {
    call->Cancel();
  }
}

} // namespace caraway
