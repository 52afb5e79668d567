#include "runtime/ingress_server.h"

#include "runtime/ingress_connection.h"
#include "runtime/log.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

constexpr Duration kSweepPeriod = std::chrono::milliseconds(250); // precision of the timeouts
// A caller with less pending output than this, or than its part of the limit where that is less, is
// not disconnected.
constexpr std::size_t kMinDisconnectBytes = 64 << 10;
// Part of the limit that is held for reading after the largest have given way.
constexpr std::size_t kKeptNumerator = 3;
constexpr std::size_t kKeptDenominator = 4;
constexpr std::uint32_t kFileDescriptors = 200; // reserved by the platform

} // namespace

bool IngressHandler::OnHead(IngressExchange&, const RequestHead&)
{
  return true;
}

void IngressHandler::OnUnreadable(IngressExchange& aExchange, std::uint16_t aStatus,
                                  std::string_view aReason)
{
  aExchange.Respond(aStatus, aReason, {}, "");
}

void IngressHandler::OnNoRoom(IngressExchange& aExchange, const RequestHead&)
{
  aExchange.Respond(503, "Service Unavailable", { { "Retry-After", "1" } }, "");
}

std::size_t MaxConnectionsOf(std::uint32_t aDescriptors)
{
  const std::uint32_t sockets = aDescriptors - std::min(kFileDescriptors, aDescriptors / 4);
  return std::size_t{ sockets } * 3 / 4;
}

IngressServer::IngressServer(Poller& aPoller, const Clock& aClock, IngressHandler& aHandler,
                             std::shared_ptr<MemoryAccount> aAccount, WireFilterFactory* aFilters)
  : poller(aPoller)
  , clock(aClock)
  , handler(aHandler)
  , account(aAccount != nullptr ? std::move(aAccount) : std::make_shared<MemoryAccount>())
  , filters(aFilters)
  , bodyMemory(std::make_shared<BodyMemory>(this->account,
                                            [this] {
                                              if (!this->pausedConnections.empty()) {
                                                this->bufferedReadTimer.ArmAfter(Duration::zero());
                                              }
                                            }))
  , listener(aPoller, [this](int aFd) { this->Accept(aFd); })
  , sweepTimer([this] { this->Sweep(); })
  , bufferedReadTimer([this] { this->ReadBuffered(); })
{
}

// Bodies that are released from now on resume no connection.
IngressServer::~IngressServer()
{
  this->bodyMemory.reset();
}

std::error_code IngressServer::Listen(const Address& aAddress)
{
  this->sweepTimer.ArmAfter(kSweepPeriod);
  return this->listener.Listen(aAddress);
}

void IngressServer::StopListening()
{
  this->isStopped = true;
  this->listener.Close();
  const std::vector<std::shared_ptr<Connection>> open(this->connections.begin(),
                                                      this->connections.end());
  for (const std::shared_ptr<Connection>& connection : open) {
    if (connection->IsIdle()) {
      connection->Drop(false);
    }
  }
}

bool IngressServer::IsBusy() const
{
  return std::any_of(this->connections.begin(), this->connections.end(),
                     [](const auto& aConnection) {
                       return aConnection->IsReadingBody() || aConnection->PendingOutput() > 0;
                     });
}

// A body that exceeds the total alone is read when there is no other.
bool IngressServer::HasRoomFor(std::size_t aBytes) const
{
  const std::size_t held = this->bodyMemory->Held();
  return held == 0 || held + aBytes <= this->account->Limits().bodies;
}

// The body that has been read for the longest time gives way: those of ordinary callers arrive at
// once.
bool IngressServer::MakeRoomForSmallBody(std::size_t aBytes)
{
  const MemoryLimits& limits = this->account->Limits();
  const std::size_t reserve = aBytes <= kUsualRequestBytes ? limits.reserve : 0;
  while (this->bodyMemory->Held() + aBytes > limits.smallBodies + reserve) {
    std::shared_ptr<Connection> oldest;
    for (const std::shared_ptr<Connection>& connection : this->connections) {
      const std::optional<TimePoint> since = connection->ReadingBodySince();
      if (since && (oldest == nullptr || *since < *oldest->ReadingBodySince())) {
        oldest = connection;
      }
    }
    if (oldest == nullptr) {
      return false;
    }
    this->refusals.reading++;
    this->refusals.lastHost = oldest->RemoteHost();
    oldest->GiveWay();
  }
  return true;
}

void IngressServer::ResumePaused()
{
  while (!this->pausedConnections.empty()) {
    const std::shared_ptr<Connection> connection = this->pausedConnections.front().lock();
    if (connection != nullptr && !connection->Resume()) {
      return;
    }
    this->pausedConnections.pop_front();
  }
}

void IngressServer::Accept(int aFd)
{
  if (this->connections.size() >= this->maxConnections && !this->CloseOne()) {
    this->refusals.connections++;
    close(aFd);
    return;
  }
  this->connections.insert(std::make_shared<Connection>(*this, aFd));
}

// Makes room for a connection: closes the one that has been idle for the longest time, else the one
// that has sent a part of a head, then a part of a body, then the one that has read no answer for
// the longest time.
bool IngressServer::CloseOne()
{
  std::shared_ptr<Connection> chosen;
  std::pair<CloseLoss, TimePoint> least;
  for (const std::shared_ptr<Connection>& connection : this->connections) {
    if (const std::optional<CloseLoss> loss = connection->LossOfClose()) {
      const std::pair candidate(*loss, connection->Since());
      if (chosen == nullptr || candidate < least) {
        chosen = connection;
        least = candidate;
      }
    }
  }
  if (chosen == nullptr) {
    return false;
  }
  this->refusals.connections++;
  this->refusals.lastHost = chosen->RemoteHost();
  chosen->Drop(false);
  return true;
}

// Heads that have not ended give way first, then requests whose bodies are read and what was read
// ahead; in each case, those that hold the most.
void IngressServer::LimitReading()
{
  const std::size_t limit = this->account->Limits().reading;
  if (this->account->Held(Holder::kReading) <= limit) {
    return;
  }
  std::vector<std::shared_ptr<Connection>> holders;
  for (const std::shared_ptr<Connection>& connection : this->connections) {
    if (connection->ReadingBytes() > 0) {
      holders.push_back(connection);
    }
  }
  std::sort(holders.begin(), holders.end(), [](const auto& aLeft, const auto& aRight) {
    return std::pair(aLeft->IsReadingHead(), aLeft->ReadingBytes()) >
           std::pair(aRight->IsReadingHead(), aRight->ReadingBytes());
  });
  const std::size_t kept = limit * kKeptNumerator / kKeptDenominator;
  for (const std::shared_ptr<Connection>& connection : holders) {
    if (this->account->Held(Holder::kReading) <= kept) {
      return;
    }
    this->refusals.reading++;
    this->refusals.lastHost = connection->RemoteHost();
    connection->GiveWay();
  }
}

bool IngressServer::MayHoldOutput(std::size_t aPending) const
{
  const MemoryLimits& limits = this->account->Limits();
  const std::size_t part = limits.answers / std::max<std::size_t>(1, this->connections.size());
  if (aPending < std::min(kMinDisconnectBytes, part) ||
      (aPending <= limits.answer && this->account->Held(Holder::kAnswer) <= limits.answers)) {
    return true;
  }
  std::size_t total = 0;
  for (const std::shared_ptr<Connection>& connection : this->connections) {
    total += connection->PendingOutput();
  }
  return aPending <= limits.answer && total <= limits.answers;
}

void IngressServer::ReadBuffered()
{
  const std::vector<std::weak_ptr<Connection>> connections =
    std::exchange(this->bufferedConnections, {});
  for (const std::weak_ptr<Connection>& weak : connections) {
    if (const std::shared_ptr<Connection> connection = weak.lock()) {
      connection->ReadRequest();
    }
  }
  this->ResumePaused();
}

// One line for all that were refused since the last one.
void IngressServer::LogRefusals()
{
  const std::uint64_t total = this->refusals.connections + this->refusals.reading;
  if (total == this->loggedRefusals) {
    return;
  }
  LogEvent(LogLevel::kWarning, "closed_for_room",
           { { "count", std::to_string(total - std::exchange(this->loggedRefusals, total)) },
             { "last_address", this->refusals.lastHost },
             { "connections", std::to_string(this->connections.size()) },
             { "reading_bytes", std::to_string(this->account->Held(Holder::kReading)) },
             { "held_bytes", std::to_string(this->account->Held()) } });
}

void IngressServer::Sweep()
{
  const TimePoint now = this->clock.Read().steady;
  const std::vector<std::shared_ptr<Connection>> open(this->connections.begin(),
                                                      this->connections.end());
  for (const std::shared_ptr<Connection>& connection : open) {
    connection->CheckTimeouts(now);
  }
  this->LogRefusals();
  this->account->Trim();
  this->sweepTimer.ArmAfter(kSweepPeriod);
}

} // namespace caraway
