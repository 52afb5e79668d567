#include "runtime/agent_host.h"

#include "runtime/log.h"

#include <nlohmann/json.hpp>

namespace caraway {

namespace {

// Minimum interval between announcements of free slots and speed, which are only hints.
constexpr Duration kHintPeriod = std::chrono::milliseconds(500);

AgentIdentity IdentityOf(const AgentSettings& aSettings)
{
  return { aSettings.name, aSettings.region,  aSettings.failureDomain,
           aSettings.pool, aSettings.version, aSettings.engineChecksFencing };
}

} // namespace

AgentHost::AgentHost(const AgentSettings& aSettings, Peer aSelf, const Clock& aClock,
                     Random& aRandom, Poller& aPoller, Observer& aObserver)
  : settings(aSettings)
  , clock(aClock)
  , observer(aObserver)
  , endpoint(FormatAddress(aSettings.endpoint), *this)
  , hub(aSettings.links, aSettings.clusterKey, aSelf, aClock, aRandom, aPoller, *this)
  , agent(aSettings.options, IdentityOf(aSettings), aRandom, *this)
  , timer([this] {
    this->armedFor = kNever;
    this->agent.OnTimer(this->clock.Read());
    this->AfterInput();
  })
  , hintTimer([this] {
    this->isHintTimerArmed = false;
    this->AnnounceChanges();
  })
{
}

std::error_code AgentHost::Start()
{
  const std::error_code error = this->hub.Listen(this->settings.listen);
  if (!error) {
    this->AfterInput();
  }
  return error;
}

std::string AgentHost::StatusJson() const
{
  auto status = nlohmann::json::parse(this->agent.StatusJson(this->clock.Read()), nullptr, false);
  if (!status.is_object()) {
    status = nlohmann::json::object();
  }
  status["name"] = this->settings.name;
  status["role"] = "agent";
  status["region"] = this->settings.region;
  status["failure_domain"] = this->settings.failureDomain;
  status["pool"] = this->settings.pool;
  status["version"] = this->settings.version;
  status["ready"] = !status.value("leaving", this->leaving);
  status["config_offset"] = this->agent.Config().Next();
  status["links"] = this->hub.PeerCount();
  return status.dump();
}

void AgentHost::BeginLeaving()
{
  if (this->leaving) {
    return;
  }
  this->leaving = true;
  this->agent.BeginLeaving(this->clock.Read());
  this->AfterInput();
}

bool AgentHost::IsDone() const
{
  return this->leaving && this->agent.Idle() && this->hub.IsFlushed();
}

void AgentHost::Send(NodeId aTo, const Message& aMessage)
{
  this->hub.Send(aTo, aMessage);
}

void AgentHost::Dispatch(const RequestId& aId, WorkKind aKind, const std::string& aRoute,
                         const std::string& aBody)
{
  this->endpoint.Dispatch(aId, aKind, aRoute, aBody);
}

void AgentHost::Abort(const RequestId& aId)
{
  this->endpoint.Abort(aId);
}

void AgentHost::Probe()
{
  this->endpoint.Probe();
}

void AgentHost::Order(LogOffset aFencing, const std::string& aBody)
{
  this->endpoint.Order(aFencing, aBody);
}

void AgentHost::Note(const Event& aEvent)
{
  this->observer.Note(aEvent);
}

void AgentHost::OnPeerUp(Peer aPeer, const Hello& aHello)
{
  this->observer.SetPeerName(aPeer.node, aHello.name);
  this->agent.OnPeerUp(this->clock.Read(), aPeer, aHello);
  this->observer.ProcessMetrics().SetLinks(this->hub.PeerCount());
  this->AfterInput();
}

void AgentHost::OnPeerDown(NodeId aNode, LinkEnd aEnd)
{
  LogEvent(
    LogLevel::kInfo, "link_end",
    { { "peer", this->observer.PeerName(aNode) }, { "cause", std::string(ToString(aEnd)) } });
  this->agent.OnPeerDown(this->clock.Read(), aNode);
  this->observer.ProcessMetrics().SetLinks(this->hub.PeerCount());
  this->AfterInput();
}

void AgentHost::OnPeerMessage(Peer aFrom, const Message& aMessage)
{
  this->agent.OnMessage(this->clock.Read(), aFrom, aMessage);
  this->AfterInput();
}

void AgentHost::OnRefusedFrame(std::string_view aCause)
{
  this->observer.ProcessMetrics().CountRefusedFrame(aCause);
  Event event{ this->clock.Read().steady, EventKind::kSecurity, {}, {}, {}, {}, {} };
  event.fields.push_back({ "cause", std::string(aCause) });
  this->observer.Note(event);
}

void AgentHost::OnWorkChunk(const RequestId& aId, std::uint32_t aTokens, const std::string& aData)
{
  this->agent.OnWorkChunk(this->clock.Read(), aId, aTokens, aData);
  this->AfterInput();
}

void AgentHost::OnWorkEnd(const RequestId& aId, const WorkResult& aResult)
{
  this->agent.OnWorkEnd(this->clock.Read(), aId, aResult);
  this->AfterInput();
}

void AgentHost::OnProbe(bool aReachable)
{
  this->agent.OnProbe(this->clock.Read(), aReachable);
  this->AfterInput();
}

void AgentHost::OnOrderDone(LogOffset aFencing, bool aAccepted)
{
  this->agent.OnOrderDone(this->clock.Read(), aFencing, aAccepted);
  this->AfterInput();
}

// Called after every input: announces changes to entries and arms the timer.
void AgentHost::AfterInput()
{
  this->AnnounceChanges();
  const TimePoint next = this->agent.NextTimer();
  if (next >= this->armedFor) {
    return;
  }
  this->armedFor = next;
  this->timer.ArmAfter(next - this->clock.Read().steady);
}

// Announces a changed leaving state or configuration offset at once, and free slots and speed at
// most once per period.
void AgentHost::AnnounceChanges()
{
  const TimePoint now = this->clock.Read().steady;
  const bool mustAnnounceNow = this->announced.name.empty() ||
                               this->announced.leaving != this->leaving ||
                               this->announced.configOffset != this->agent.Config().Next();
  const Duration sinceAnnounced = now - this->announcedAt;
  if (!mustAnnounceNow && sinceAnnounced < kHintPeriod) {
    if (!this->isHintTimerArmed) {
      this->isHintTimerArmed = true;
      this->hintTimer.ArmAfter(kHintPeriod - sinceAnnounced);
    }
    return;
  }
  const Hello hello = this->agent.CurrentHello();
  this->announced = hello;
  this->announcedAt = now;
  this->observer.ProcessMetrics().SetConfigOffset(hello.configOffset);
  this->hub.Announce(hello);
}

} // namespace caraway
