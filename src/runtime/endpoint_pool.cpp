#include "runtime/endpoint_pool.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>
#include <vector>

namespace caraway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSweepPeriod = milliseconds(50); // precision of the connect timeouts
constexpr Duration kDefaultIdleTime = seconds(4);   // if the endpoint sends no keep-alive timeout
// Fraction of the endpoint's keep-alive timeout after which an idle connection is closed here, so
// that no request is sent while the endpoint closes the connection.
constexpr int kIdleTimeNumerator = 2;
constexpr int kIdleTimeDenominator = 3;
// Limit of interim answers and answers to earlier requests before the expected answer. A correct
// endpoint sends a few at most; a faulty one may send them endlessly.
constexpr unsigned kMaxSkippedAnswers = 16;
// A connection with more rejected requests is not reused.
constexpr std::size_t kMaxRejected = 32;
constexpr std::uint16_t kFirstErrorStatus = 400;

// Idle time allowed by the answer's keep-alive field; zero if the connection must be closed.
Duration IdleTimeOf(const ResponseReader& aReader)
{
  if (!aReader.KeepsAlive()) {
    return Duration::zero();
  }
  constexpr std::string_view kParameter = "timeout=";
  const auto field = FindField(aReader.Head().fields, "Keep-Alive");
  const std::size_t position = !field ? std::string::npos : field->value.find(kParameter);
  if (position == std::string::npos) {
    return kDefaultIdleTime;
  }
  unsigned idleSeconds = 0;
  const char* begin = field->value.data() + position + kParameter.size();
  std::from_chars(begin, field->value.data() + field->value.size(), idleSeconds);
  return Duration(seconds(idleSeconds)) * kIdleTimeNumerator / kIdleTimeDenominator;
}

} // namespace

std::string_view ToString(ExchangeEnd aEnd)
{
  switch (aEnd) {
    case ExchangeEnd::kComplete:
      return "complete";
    case ExchangeEnd::kUnsent:
      return "unsent";
    case ExchangeEnd::kBroken:
      return "broken";
    case ExchangeEnd::kMalformed:
      return "malformed";
  }
  return "invalid";
}

std::string_view ToString(ConnectionUse aUse)
{
  switch (aUse) {
    case ConnectionUse::kNone:
      return "none";
    case ConnectionUse::kNew:
      return "new";
    case ConnectionUse::kKept:
      return "kept";
  }
  return "invalid";
}

// A connection without an exchange. Received data belongs to no request, so it marks the
// connection for closing.
class EndpointPool::IdleConnection final : public TcpOwner
{
public:
  IdleConnection(std::unique_ptr<TcpSocket> aSocket, std::vector<std::string> aRejected,
                 TimePoint aIdleSince, TimePoint aIdleUntil)
    : socket(std::move(aSocket))
    , rejected(std::move(aRejected))
    , idleSince(aIdleSince)
    , idleUntil(aIdleUntil)
  {
    this->socket->SetOwner(*this);
  }

  // Reading stops, as an endpoint may send without end until the connection is closed.
  void OnInput() override
  {
    this->isDead = true;
    this->socket->SetReading(false);
  }
  void OnInputEnd(bool) override { this->isDead = true; }

  // A rejection of this request was read on the connection. If the endpoint writes it once more,
  // the value does not tell it from the answer to a retry.
  bool HasRejected(const EndpointRequest& aRequest) const
  {
    return std::find(this->rejected.begin(), this->rejected.end(), aRequest.correlationValue) !=
           this->rejected.end();
  }

  std::unique_ptr<TcpSocket> socket;
  std::vector<std::string> rejected; // correlation values
  TimePoint idleSince;
  TimePoint idleUntil;
  bool isDead = false;
};

class EndpointExchange final
  : public TcpOwner
  , public std::enable_shared_from_this<EndpointExchange>
{
public:
  EndpointExchange(EndpointPool& aPool, EndpointRequest aRequest, ExchangeHandler& aHandler)
    : pool(aPool)
    , request(std::move(aRequest))
    , handler(&aHandler)
    , reader(std::make_unique<ResponseReader>(this->request.isHead, this->request.maxBodyBytes))
    , connectDeadline(aPool.clock.Read().steady + this->request.connectTimeout)
  {
  }

  void Start()
  {
    if (this->pool.TakeIdle(*this)) {
      this->socket->Write(this->request.bytes);
      this->FreeRequest();
      return;
    }
    this->pool.openedCount++;
    this->socket = std::make_unique<TcpSocket>(this->pool.poller, *this);
    if (!this->socket->Connect(this->request.address)) {
      this->connectDeadline = TimePoint{};
      this->pool.sweepTimer.ArmAfter(Duration::zero());
    } else if (this->socket->IsConnected()) {
      this->OnConnected();
    }
  }

  // Ends the exchange if the connection was not established in time.
  void CheckConnectTimeout(TimePoint aNow)
  {
    if (this->handler != nullptr && !this->socket->IsConnected() && aNow >= this->connectDeadline) {
      this->End(ExchangeEnd::kUnsent);
    }
  }

  void Cancel()
  {
    this->handler = nullptr;
    this->socket->Close(true);
  }

  ExchangeTrace Trace() const
  {
    const ConnectionUse first = this->hasConnected ? ConnectionUse::kNew : ConnectionUse::kNone;
    return { this->isReused ? ConnectionUse::kKept : first, this->skippedAnswers };
  }

  void OnConnected() override
  {
    this->hasConnected = true;
    this->socket->Write(this->request.bytes);
    this->FreeRequest();
  }

  void OnInput() override
  {
    const auto self = this->shared_from_this();
    while (this->handler != nullptr) {
      const ReadState state = this->reader->Read(this->socket->Input());
      if (state != ReadState::kDone && state != ReadState::kMore) {
        this->End(ExchangeEnd::kMalformed);
        return;
      }
      this->DeliverReceived();
      if (state == ReadState::kMore || this->handler == nullptr) {
        return;
      }
      if (!this->IsForAnotherRequest() && !this->IsInterim()) {
        this->Complete();
        return;
      }
      if (++this->skippedAnswers > kMaxSkippedAnswers) {
        this->End(ExchangeEnd::kMalformed);
        return;
      }
      this->reader =
        std::make_unique<ResponseReader>(this->request.isHead, this->request.maxBodyBytes);
      this->isHeadReported = false;
    }
  }

  void OnInputEnd(bool aReset) override
  {
    const auto self = this->shared_from_this();
    if (this->handler == nullptr) {
      return;
    }
    if (!aReset && this->reader->OnEndOfInput() == ReadState::kDone &&
        !this->IsForAnotherRequest()) {
      this->DeliverReceived();
      this->Complete();
      return;
    }
    this->DeliverReceived();
    this->End(this->socket->HasSent() || this->isReused ? ExchangeEnd::kBroken
                                                        : ExchangeEnd::kUnsent);
  }

private:
  friend class EndpointPool;

  // True unless the correlation field, or a connection without earlier requests, shows that the
  // answer belongs to this request.
  bool IsForAnotherRequest() const
  {
    if (!this->reader->IsHeadDone() || this->request.correlationField.empty()) {
      return false;
    }
    const auto field = FindField(this->reader->Head().fields, this->request.correlationField);
    return field ? field->value != this->request.correlationValue : this->isReused;
  }

  bool IsInterim() const { return this->reader->IsHeadDone() && this->reader->Head().status < 200; }

  // Delivers the parts read so far; the handler may cancel the exchange.
  void DeliverReceived()
  {
    if (this->handler == nullptr || !this->reader->IsHeadDone() || this->IsInterim()) {
      return;
    }
    if (this->IsForAnotherRequest()) {
      this->reader->Body().clear();
      return;
    }
    if (!this->isHeadReported) {
      this->isHeadReported = true;
      this->handler->OnHead(this->reader->Head());
    }
    if (this->handler != nullptr && !this->reader->Body().empty()) {
      const std::string data = std::move(this->reader->Body());
      this->reader->Body().clear();
      this->handler->OnBody(data);
    }
  }

  // The answer is complete. A connection with bytes after the answer is not reused, since they
  // belong to no request.
  void Complete()
  {
    if (this->handler == nullptr) {
      return;
    }
    if (!this->request.correlationField.empty() &&
        this->reader->Head().status >= kFirstErrorStatus) {
      this->rejected.push_back(this->request.correlationValue);
    }
    const bool isReusable = this->socket->IsOpen() && this->socket->Input().empty() &&
                            this->socket->PendingOutput() == 0 &&
                            this->rejected.size() <= kMaxRejected;
    const Duration idleTime = isReusable ? IdleTimeOf(*this->reader) : Duration::zero();
    if (idleTime > Duration::zero()) {
      this->pool.StoreIdle(*this, idleTime);
    }
    this->End(ExchangeEnd::kComplete);
  }

  void End(ExchangeEnd aEnd)
  {
    const auto self = this->shared_from_this();
    ExchangeHandler* last = std::exchange(this->handler, nullptr);
    if (this->socket != nullptr) {
      this->socket->Close(true);
    }
    this->pool.exchanges.erase(self);
    if (last != nullptr) {
      last->OnEnd(aEnd);
    }
  }

  void FreeRequest() { std::string().swap(this->request.bytes); }

  EndpointPool& pool;
  EndpointRequest request;
  ExchangeHandler* handler;
  std::unique_ptr<TcpSocket> socket;
  std::unique_ptr<ResponseReader> reader;
  bool isHeadReported = false;
  unsigned skippedAnswers = 0;
  bool isReused = false;
  bool hasConnected = false;
  std::vector<std::string> rejected; // correlation values of requests rejected on the connection
  TimePoint connectDeadline;
};

EndpointPool::EndpointPool(Poller& aPoller, const Clock& aClock)
  : poller(aPoller)
  , clock(aClock)
  , sweepTimer([this] { this->Sweep(); })
{
  this->sweepTimer.ArmAfter(kSweepPeriod);
}

EndpointPool::~EndpointPool() = default;

std::weak_ptr<EndpointExchange> EndpointPool::Send(EndpointRequest aRequest,
                                                   ExchangeHandler& aHandler)
{
  auto exchange = std::make_shared<EndpointExchange>(*this, std::move(aRequest), aHandler);
  this->exchanges.insert(exchange);
  exchange->Start();
  return exchange;
}

void EndpointPool::Cancel(const std::weak_ptr<EndpointExchange>& aExchange)
{
  const std::shared_ptr<EndpointExchange> exchange = aExchange.lock();
  if (exchange != nullptr) {
    exchange->Cancel();
    this->exchanges.erase(exchange);
  }
}

ExchangeTrace EndpointPool::TraceOf(const std::weak_ptr<EndpointExchange>& aExchange)
{
  const std::shared_ptr<EndpointExchange> exchange = aExchange.lock();
  return exchange == nullptr ? ExchangeTrace{} : exchange->Trace();
}

void EndpointPool::CloseIdle(const Address& aAddress)
{
  this->idle.erase(aAddress);
}

std::size_t EndpointPool::IdleCount() const
{
  std::size_t count = 0;
  for (const auto& [address, connections] : this->idle) {
    count += connections.size();
  }
  return count;
}

void EndpointPool::StoreIdle(EndpointExchange& aExchange, Duration aIdleTime)
{
  const TimePoint now = this->clock.Read().steady;
  aExchange.socket->ReleaseBuffers();
  this->idle[aExchange.request.address].push_back(std::make_unique<IdleConnection>(
    std::move(aExchange.socket), std::move(aExchange.rejected), now, now + aIdleTime));
}

// Prefers the most recently used connection.
bool EndpointPool::TakeIdle(EndpointExchange& aExchange)
{
  const EndpointRequest& request = aExchange.request;
  const auto found = this->idle.find(request.address);
  if (found == this->idle.end()) {
    return false;
  }
  const TimePoint now = this->clock.Read().steady;
  found->second.remove_if([now](const std::unique_ptr<IdleConnection>& aConnection) {
    return aConnection->isDead || aConnection->idleUntil <= now;
  });
  const auto last = std::find_if(found->second.rbegin(), found->second.rend(),
                                 [&](const std::unique_ptr<IdleConnection>& aConnection) {
                                   return now - aConnection->idleSince <= request.maxIdle &&
                                          !aConnection->HasRejected(request);
                                 });
  if (last == found->second.rend()) {
    return false;
  }
  aExchange.socket = std::move((*last)->socket);
  aExchange.rejected = std::move((*last)->rejected);
  aExchange.isReused = true;
  aExchange.socket->SetOwner(aExchange);
  found->second.erase(std::next(last).base());
  return true;
}

void EndpointPool::Sweep()
{
  const TimePoint now = this->clock.Read().steady;
  for (auto& [address, connections] : this->idle) {
    connections.remove_if([&](const std::unique_ptr<IdleConnection>& aConnection) {
      return aConnection->isDead || aConnection->idleUntil <= now;
    });
  }
  std::erase_if(this->idle, [](const auto& aRow) { return aRow.second.empty(); });
  const std::vector<std::shared_ptr<EndpointExchange>> open(this->exchanges.begin(),
                                                            this->exchanges.end());
  for (const std::shared_ptr<EndpointExchange>& exchange : open) {
    exchange->CheckConnectTimeout(now);
  }
  this->sweepTimer.ArmAfter(kSweepPeriod);
}

} // namespace caraway
