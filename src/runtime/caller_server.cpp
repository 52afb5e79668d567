#include "runtime/caller_server.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace caraway {

namespace {

// Connections with TLS may hold this part of the memory for connections by their filters.
constexpr std::size_t kFilterPart = 4;

} // namespace

CallerServer::CallerServer(const EntrySettings& aSettings, EntryHost& aHost,
                           ProcessContext& aContext)
  : settings(aSettings)
  , host(aHost)
  , context(aContext)
  , tls(aSettings.tls ? std::make_optional<TlsFilterFactory>() : std::nullopt)
  , server(aContext.poller, aContext.clock, *this, aContext.memory,
           this->tls ? &*this->tls : nullptr)
  , settleTimer([this] { this->Settle(); })
{
  IngressLimits limits;
  limits.headBytes = aSettings.maxHeadBytes;
  limits.bodyBytes = aSettings.maxBodyBytes;
  limits.headTimeout = std::chrono::milliseconds(aSettings.requestReadMs);
  limits.idleTimeout = std::chrono::milliseconds(aSettings.idleMs);
  this->server.SetLimits(limits);
  std::size_t maxConnections = MaxConnectionsOf(DescriptorLimit());
  if (this->tls) {
    const std::size_t room = aContext.memory->Limits().total / kFilterPart;
    maxConnections = std::min(maxConnections, room / this->tls->MaxBytes());
  }
  this->server.SetMaxConnections(maxConnections);
}

std::error_code CallerServer::Start()
{
  if (this->tls) {
    if (const std::error_code error = this->tls->Load(*this->settings.tls)) {
      return error;
    }
  }
  return this->server.Listen(this->settings.listen);
}

bool CallerServer::IsIdle() const
{
  return this->exchanges.empty() && this->ended.empty() && !this->server.IsBusy();
}

bool CallerServer::OnHead(IngressExchange& aExchange, const RequestHead& aHead)
{
  const auto admitted = AdmitByHead(this->host.Config(), aHead);
  if (const auto* rejection = std::get_if<Rejection>(&admitted)) {
    this->Refuse(aExchange, *rejection);
    return false;
  }
  return true;
}

void CallerServer::OnUnreadable(IngressExchange& aExchange, std::uint16_t aStatus,
                                std::string_view aReason)
{
  static const std::unordered_map<std::uint16_t, const char*> types = {
    { 400, "malformed" }, { 408, "half_sent" }, { 413, "too_large" }, { 431, "head_too_large" }
  };
  const auto found = types.find(aStatus);
  this->Refuse(aExchange, Rejection{ aStatus, found == types.end() ? "unreadable" : found->second,
                                     std::string(aReason) });
}

void CallerServer::OnNoRoom(IngressExchange& aExchange, const RequestHead&)
{
  this->Refuse(aExchange, Rejection{ 503, "no_room", "there is no room for the request now" });
}

void CallerServer::Refuse(IngressExchange& aExchange, const Rejection& aRejection)
{
  this->context.metrics.CountRejected(aRejection.status);
  SendRejection(aExchange, aRejection);
}

void CallerServer::OnRequest(const std::shared_ptr<IngressExchange>& aExchange,
                             IngressRequest aRequest)
{
  auto exchange = std::make_unique<CallerExchange>(
    aExchange, std::move(aRequest), this->host, this->context.metrics, this->context.random, *this);
  CallerExchange& added = *exchange;
  this->exchanges[aExchange.get()] = std::move(exchange);
  added.Run();
}

void CallerServer::OnCallerGone(IngressExchange& aExchange)
{
  this->goneCallers.push_back(&aExchange);
  this->settleTimer.ArmAfter(Duration::zero());
}

void CallerServer::BeforeAnswer()
{
  if (this->host.IsLeaving()) {
    this->server.BeginLeaving();
  }
}

void CallerServer::OnEnded(CallerExchange& aExchange)
{
  const auto found = this->exchanges.find(&aExchange.Connection());
  if (found != this->exchanges.end() && found->second.get() == &aExchange) {
    this->ended.push_back(std::move(found->second));
    this->exchanges.erase(found);
    this->settleTimer.ArmAfter(Duration::zero());
  }
}

// Connections of ended exchanges are kept until here, so that an address in goneCallers names no
// later connection.
void CallerServer::Settle()
{
  for (IngressExchange* connection : std::exchange(this->goneCallers, {})) {
    const auto found = this->exchanges.find(connection);
    if (found != this->exchanges.end()) {
      found->second->OnCallerGone();
    }
  }
  this->ended.clear();
}

} // namespace caraway
