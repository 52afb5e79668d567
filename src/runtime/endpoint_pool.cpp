#include "runtime/endpoint_pool.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace caraway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSweepPeriod = milliseconds(50); // precision of the connect timeouts
constexpr Duration kDefaultKeep = seconds(4);       // where the endpoint names no idle time
// Part of the idle time named by the endpoint after which a connection is closed here, so that no
// request meets the endpoint's own close on the way.
constexpr int kKeepNumerator = 2;
constexpr int kKeepDenominator = 3;
// Interim answers and answers to earlier requests that may come before the one waited for. An
// endpoint sends at most a few of them; one in trouble may send them without end.
constexpr unsigned kMaxSkippedAnswers = 16;

// Idle time that the answer's Keep-Alive field allows; zero when the connection ends.
Duration IdleTimeOf(const ResponseReader& aReader)
{
  if (!aReader.KeepsAlive()) {
    return Duration::zero();
  }
  constexpr std::string_view kParameter = "timeout=";
  const HeaderField* field = FindField(aReader.Head().fields, "Keep-Alive");
  const std::size_t place = field == nullptr ? std::string::npos : field->value.find(kParameter);
  if (place == std::string::npos) {
    return kDefaultKeep;
  }
  unsigned idleSeconds = 0;
  const char* begin = field->value.data() + place + kParameter.size();
  std::from_chars(begin, field->value.data() + field->value.size(), idleSeconds);
  return Duration(seconds(idleSeconds)) * kKeepNumerator / kKeepDenominator;
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

// A connection without an exchange. Whatever it receives belongs to no request, so it ends.
class EndpointPool::IdleConnection final : public TcpOwner
{
public:
  IdleConnection(EndpointPool& aPool, Address aAddress, std::unique_ptr<TcpSocket> aSocket,
                 TimePoint aSince, TimePoint aUntil)
    : pool(aPool)
    , address(std::move(aAddress))
    , socket(std::move(aSocket))
    , since(aSince)
    , until(aUntil)
  {
    this->socket->SetOwner(*this);
  }

  void OnInput() override { this->isDead = true; }
  void OnInputEnd(bool) override { this->isDead = true; }

  EndpointPool& pool;
  Address address;
  std::unique_ptr<TcpSocket> socket;
  TimePoint since;
  TimePoint until;
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
    , connectBy(aPool.clock.Read().steady + this->request.connectTimeout)
  {
  }

  void Start()
  {
    this->socket = this->pool.TakeIdle(this->request, *this);
    if (this->socket != nullptr) {
      this->socket->Write(this->request.bytes);
      this->FreeRequest();
      return;
    }
    this->pool.opened++;
    this->socket = std::make_unique<TcpSocket>(this->pool.poller, *this);
    if (!this->socket->Connect(this->request.address)) {
      this->connectBy = TimePoint{};
      this->pool.sweep.ArmAfter(Duration::zero());
    } else if (this->socket->IsConnected()) {
      this->OnConnected();
    }
  }

  // Gives up a connection that does not come about.
  void CheckConnect(TimePoint aNow)
  {
    if (this->handler != nullptr && !this->socket->IsConnected() && aNow >= this->connectBy) {
      this->End(ExchangeEnd::kUnsent);
    }
  }

  void Cancel()
  {
    this->handler = nullptr;
    this->socket->Close(true);
  }

  void OnConnected() override
  {
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
      this->Report();
      if (state == ReadState::kMore || this->handler == nullptr) {
        return;
      }
      if (!this->IsForeign() && !this->IsInterim()) {
        this->Complete();
        return;
      }
      if (++this->skippedAnswers > kMaxSkippedAnswers) {
        this->End(ExchangeEnd::kMalformed);
        return;
      }
      this->reader =
        std::make_unique<ResponseReader>(this->request.isHead, this->request.maxBodyBytes);
      this->headReported = false;
    }
  }

  void OnInputEnd(bool aReset) override
  {
    const auto self = this->shared_from_this();
    if (this->handler == nullptr) {
      return;
    }
    if (!aReset && this->reader->ReadEnd() == ReadState::kDone && !this->IsForeign()) {
      this->Report();
      this->Complete();
      return;
    }
    this->Report();
    this->End(this->socket->HasSent() || this->reused ? ExchangeEnd::kBroken
                                                      : ExchangeEnd::kUnsent);
  }

  void MarkReused() { this->reused = true; }

private:
  // The answer belongs to another request.
  bool IsForeign() const
  {
    if (!this->reader->IsHeadDone() || this->request.correlationField.empty()) {
      return false;
    }
    const HeaderField* field =
      FindField(this->reader->Head().fields, this->request.correlationField);
    return field != nullptr && field->value != this->request.correlationValue;
  }

  bool IsInterim() const { return this->reader->IsHeadDone() && this->reader->Head().status < 200; }

  // Passes on what was read; the handler may cancel the exchange.
  void Report()
  {
    if (this->handler == nullptr || !this->reader->IsHeadDone() || this->IsInterim()) {
      return;
    }
    if (this->IsForeign()) {
      this->reader->Body().clear();
      return;
    }
    if (!this->headReported) {
      this->headReported = true;
      this->handler->OnHead(this->reader->Head());
    }
    if (this->handler != nullptr && !this->reader->Body().empty()) {
      const std::string data = std::move(this->reader->Body());
      this->reader->Body().clear();
      this->handler->OnBody(data);
    }
  }

  // The answer is whole. Bytes after it belong to no request, so their connection is not kept.
  void Complete()
  {
    if (this->handler == nullptr) {
      return;
    }
    const bool isClean =
      this->socket->IsOpen() && this->socket->Input().empty() && this->socket->PendingOutput() == 0;
    const Duration idleTime = isClean ? IdleTimeOf(*this->reader) : Duration::zero();
    if (idleTime > Duration::zero()) {
      this->pool.Keep(this->request.address, std::move(this->socket), idleTime);
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
  bool headReported = false;
  unsigned skippedAnswers = 0;
  bool reused = false;
  TimePoint connectBy;
};

EndpointPool::EndpointPool(Poller& aPoller, const Clock& aClock)
  : poller(aPoller)
  , clock(aClock)
  , sweep([this] { this->Sweep(); })
{
  this->sweep.ArmAfter(kSweepPeriod);
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

void EndpointPool::Forget(const Address& aAddress)
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

void EndpointPool::Keep(const Address& aAddress, std::unique_ptr<TcpSocket> aSocket, Duration aFor)
{
  const TimePoint now = this->clock.Read().steady;
  this->idle[aAddress].push_back(
    std::make_unique<IdleConnection>(*this, aAddress, std::move(aSocket), now, now + aFor));
}

// Takes the connection that was used last, if it is young enough.
std::unique_ptr<TcpSocket> EndpointPool::TakeIdle(const EndpointRequest& aRequest, TcpOwner& aOwner)
{
  const auto found = this->idle.find(aRequest.address);
  if (found == this->idle.end()) {
    return nullptr;
  }
  const TimePoint now = this->clock.Read().steady;
  while (!found->second.empty()) {
    const IdleConnection& last = *found->second.back();
    if (last.isDead || last.until <= now) {
      found->second.pop_back();
      continue;
    }
    if (now - last.since > aRequest.maxIdle) {
      return nullptr;
    }
    std::unique_ptr<TcpSocket> socket = std::move(found->second.back()->socket);
    found->second.pop_back();
    socket->SetOwner(aOwner);
    static_cast<EndpointExchange&>(aOwner).MarkReused();
    return socket;
  }
  return nullptr;
}

void EndpointPool::Sweep()
{
  const TimePoint now = this->clock.Read().steady;
  for (auto& [address, connections] : this->idle) {
    connections.remove_if([&](const std::unique_ptr<IdleConnection>& aConnection) {
      return aConnection->isDead || aConnection->until <= now;
    });
  }
  std::erase_if(this->idle, [](const auto& aRow) { return aRow.second.empty(); });
  const std::vector<std::shared_ptr<EndpointExchange>> open(this->exchanges.begin(),
                                                            this->exchanges.end());
  for (const std::shared_ptr<EndpointExchange>& exchange : open) {
    exchange->CheckConnect(now);
  }
  this->sweep.ArmAfter(kSweepPeriod);
}

} // namespace caraway
