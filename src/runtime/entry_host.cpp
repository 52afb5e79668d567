#include "runtime/entry_host.h"

#include "runtime/log.h"
#include "runtime/membership.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

constexpr Duration kVmPollPeriod = std::chrono::seconds(1);
constexpr Duration kMinFollowBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxFollowBackoff = std::chrono::seconds(2);
// Delay after an empty read, so that a log without long polling is not read in a busy loop.
constexpr Duration kEmptyReadDelay = std::chrono::milliseconds(10);

} // namespace

EntryHost::EntryHost(const EntrySettings& aSettings, Peer aSelf, const Clock& aClock,
                     Random& aRandom, Poller& aPoller, Placement& aPlacement, LogClient& aLog,
                     Observer& aObserver)
  : settings(aSettings)
  , clock(aClock)
  , random(aRandom)
  , log(aLog)
  , observer(aObserver)
  , hub(aSettings.links, aSettings.clusterKey, aSelf, aClock, aRandom, aPoller, *this)
  , entry(aSettings.options, aSettings.name, aPlacement, aRandom, *this)
  , followBackoff(kMinFollowBackoff)
  , timer([this] {
    this->armedFor = kNever;
    this->entry.OnTimer(this->clock.Read());
    this->AfterInput();
  })
  , followTimer([this] { this->Follow(); })
  , vmTimer([this] { this->PollVms(); })
  , leaveTimer([this] { this->StopAccepting(); })
{
}

std::error_code EntryHost::Start()
{
  this->hub.Announce(this->CurrentHello());
  const std::error_code error = this->hub.Listen(this->settings.peerListen);
  if (error) {
    return error;
  }
  this->Follow();
  this->PollVms();
  this->AfterInput();
  return {};
}

bool EntryHost::Submit(Submission aSubmission, AnswerSink& aSink)
{
  const RequestId id = aSubmission.id;
  if (this->sinks.contains(id) || this->entry.Owns(id)) {
    return false;
  }
  this->sinks[id] = &aSink;
  this->entry.OnSubmit(this->clock.Read(), std::move(aSubmission));
  this->AfterInput();
  return true;
}

bool EntryHost::Resume(const RequestId& aId, const std::string& aAccount, std::uint32_t aNextChunk,
                       std::optional<NodeId> aAgent, AnswerSink& aSink)
{
  if (this->sinks.contains(aId)) {
    return false;
  }
  this->sinks[aId] = &aSink;
  this->entry.OnResume(this->clock.Read(), aId, aAccount, aNextChunk, aAgent);
  this->AfterInput();
  return true;
}

void EntryHost::OnCallerGone(const RequestId& aId, bool aMayResume)
{
  if (this->sinks.erase(aId) == 0) {
    return;
  }
  this->entry.OnCallerGone(this->clock.Read(), aId, aMayResume);
  this->AfterInput();
}

bool EntryHost::IsReady() const
{
  return !this->leaving && (this->hasReadLog || this->entry.Config().Next() > 0);
}

std::string EntryHost::StatusJson() const
{
  auto status = nlohmann::json::parse(this->entry.StatusJson(this->clock.Read()), nullptr, false);
  if (!status.is_object()) {
    status = nlohmann::json::object();
  }
  status["name"] = this->settings.name;
  status["role"] = "entry";
  status["region"] = this->settings.region;
  status["failure_domain"] = this->settings.failureDomain;
  status["leaving"] = this->leaving;
  status["ready"] = this->IsReady();
  status["config_offset"] = this->entry.Config().Next();
  status["log_read"] = this->hasReadLog;
  status["links"] = this->hub.PeerCount();
  status["open_requests"] = this->sinks.size();
  return status.dump();
}

// Reports not ready at once; requests are still accepted until the leave notice has elapsed.
void EntryHost::BeginLeaving()
{
  if (this->leaving) {
    return;
  }
  this->leaving = true;
  this->leaveTimer.ArmAfter(this->settings.options.leaveNotice);
  this->AfterInput();
}

void EntryHost::StopAccepting()
{
  this->isClosed = true;
  this->entry.BeginLeaving(this->clock.Read());
  this->AfterInput();
}

bool EntryHost::IsDone() const
{
  return this->isClosed && this->sinks.empty() && this->entry.Idle() && this->hub.IsFlushed();
}

// Also reports to the sink which agent the request was granted to, for a later resumption.
void EntryHost::Send(NodeId aTo, const Message& aMessage)
{
  this->hub.Send(aTo, aMessage);
  const auto* grant = std::get_if<Grant>(&aMessage);
  if (grant == nullptr) {
    return;
  }
  const auto found = this->sinks.find(grant->id);
  if (found != this->sinks.end()) {
    found->second->OnAgent(this->observer.PeerName(aTo));
  }
}

void EntryHost::DeliverChunk(const RequestId& aId, const std::string& aData)
{
  const auto found = this->sinks.find(aId);
  if (found != this->sinks.end()) {
    found->second->OnChunk(aData);
  }
}

void EntryHost::DeliverFinal(const RequestId& aId, const FinalAnswer& aAnswer)
{
  const auto found = this->sinks.find(aId);
  if (found == this->sinks.end()) {
    return;
  }
  AnswerSink* sink = found->second;
  this->sinks.erase(found);
  sink->OnFinal(aAnswer);
}

void EntryHost::Append(std::uint64_t aToken, const std::vector<std::string>& aRecords)
{
  this->log.Append(aRecords, [this, aToken](AppendResult aResult, LogOffset aFirst) {
    this->entry.OnAppended(this->clock.Read(), aToken, aResult, aFirst);
    this->AfterInput();
  });
}

void EntryHost::Note(const Event& aEvent)
{
  this->observer.Note(aEvent);
}

void EntryHost::OnPeerUp(Peer aPeer, const Hello& aHello)
{
  this->observer.SetPeerName(aPeer.node, aHello.name);
  this->entry.OnPeerUp(this->clock.Read(), aPeer, aHello);
  this->observer.ProcessMetrics().SetLinks(this->hub.PeerCount());
  this->AfterInput();
}

void EntryHost::OnPeerDown(NodeId aNode, LinkEnd aEnd)
{
  LogEvent(
    LogLevel::kInfo, "link_end",
    { { "peer", this->observer.PeerName(aNode) }, { "cause", std::string(ToString(aEnd)) } });
  this->entry.OnPeerDown(this->clock.Read(), aNode);
  this->observer.ProcessMetrics().SetLinks(this->hub.PeerCount());
  this->AfterInput();
}

void EntryHost::OnPeerMessage(Peer aFrom, const Message& aMessage)
{
  this->entry.OnMessage(this->clock.Read(), aFrom, aMessage);
  this->AfterInput();
}

void EntryHost::OnRefusedFrame(std::string_view aCause)
{
  this->observer.ProcessMetrics().CountRefusedFrame(aCause);
  Event event{ this->clock.Read().steady, EventKind::kSecurity, {}, {}, {}, {}, {} };
  event.fields.push_back({ "cause", std::string(aCause) });
  this->observer.Note(event);
}

// Reads the log from the cursor on; each completed read schedules the next one.
void EntryHost::Follow()
{
  this->log.Follow(
    this->cursor,
    [this](LogOffset aOldest, LogOffset aNext, const std::vector<LogRecord>& aRecords) {
      this->OnRecords(aOldest, aNext, aRecords);
    },
    [this](std::error_code) {
      const auto bound = static_cast<std::uint64_t>(this->followBackoff.count());
      this->followTimer.ArmAfter(
        Duration(static_cast<Duration::rep>(bound / 2 + this->random.Below(bound / 2 + 1))));
      this->followBackoff = std::min(this->followBackoff * 2, kMaxFollowBackoff);
    });
}

void EntryHost::OnRecords(LogOffset aOldest, LogOffset, const std::vector<LogRecord>& aRecords)
{
  const Now now = this->clock.Read();
  this->hasReadLog = true;
  this->followBackoff = kMinFollowBackoff;
  this->entry.OnLogOldest(now, aOldest);
  if (this->cursor < aOldest) {
    this->cursor = aOldest;
  } else if (!aRecords.empty()) {
    this->entry.OnLogRecords(now, aRecords);
    this->cursor = aRecords.back().offset + 1;
  }
  this->followTimer.ArmAfter(aRecords.empty() ? kEmptyReadDelay : Duration::zero());
  this->AfterInput();
}

void EntryHost::PollVms()
{
  this->log.ListVms([this](std::error_code aError, const std::vector<Vm>& aVms) {
    if (!aError) {
      this->OnVms(aVms);
    }
    this->vmTimer.ArmAfter(kVmPollPeriod);
  });
}

// Connects to the peers chosen from the list. The link to a VM that is no longer listed is kept
// while it is up, because the list may be out of date.
void EntryHost::OnVms(const std::vector<Vm>& aVms)
{
  const std::set<Address> chosenPeers = ChoosePeers(this->settings.name, aVms);
  for (const Address& address : chosenPeers) {
    this->hub.Dial(address);
  }
  for (const Address& address : this->hub.DialedAddresses()) {
    if (!chosenPeers.contains(address) && !this->hub.IsUp(address)) {
      this->hub.StopDialing(address);
    }
  }
}

// Called after every input: announces changes to peers and arms the timer.
void EntryHost::AfterInput()
{
  const LogOffset applied = this->entry.Config().Next();
  if (applied != this->announcedOffset || this->leaving != this->announcedLeaving) {
    this->announcedOffset = applied;
    this->announcedLeaving = this->leaving;
    this->hub.Announce(this->CurrentHello());
    this->observer.ProcessMetrics().SetConfigOffset(applied);
  }
  this->observer.ProcessMetrics().SetOpenRequests(this->sinks.size());
  const TimePoint next = this->entry.NextTimer();
  if (next >= this->armedFor) {
    return;
  }
  this->armedFor = next;
  this->timer.ArmAfter(next - this->clock.Read().steady);
}

Hello EntryHost::CurrentHello() const
{
  Hello hello;
  hello.role = Role::kEntry;
  hello.name = this->settings.name;
  hello.region = this->settings.region;
  hello.failureDomain = this->settings.failureDomain;
  hello.leaving = this->leaving;
  hello.configOffset = this->entry.Config().Next();
  return hello;
}

} // namespace caraway
