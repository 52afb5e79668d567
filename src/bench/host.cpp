#include "bench/host.h"

#include <utility>

namespace caraway::bench {

namespace {

constexpr Duration kLogPoll = milliseconds(20);
constexpr std::size_t kLogBatch = 500;

} // namespace

Host::Host(std::string aName, Site& aSite)
  : site(aSite)
  , name(std::move(aName))
  , node(NodeIdOf(this->name))
{
}

Peer Host::Self() const
{
  return Peer{ this->node, Incarnation{ this->life } };
}

void Host::Start()
{
  ++this->life;
  this->alive = true;
  this->paused = false;
  this->leaving = false;
  this->armed = kNever;
  for (Observer* observer : this->site.observers) {
    observer->OnStart(this->node);
  }
  this->Create();
  this->site.network.Attach(*this);
  this->Arm();
}

void Host::Kill()
{
  if (!this->alive) {
    return;
  }
  this->alive = false;
  this->inbox.clear();
  this->linked.clear();
  this->site.network.Detach(this->node);
  this->Destroy();
}

void Host::Pause()
{
  this->paused = this->alive;
}

void Host::Resume()
{
  if (!this->paused) {
    return;
  }
  this->paused = false;
  std::deque<std::function<void()>> steps;
  steps.swap(this->inbox);
  for (const std::function<void()>& step : steps) {
    if (this->alive) {
      step();
    }
  }
  this->armed = kNever;
  if (this->alive) {
    this->AfterStep();
    this->Arm();
  }
}

void Host::BeginLeaving()
{
  if (this->leaving || !this->alive) {
    return;
  }
  this->leaving = true;
  this->Run([this] {
    for (Observer* observer : this->site.observers) {
      observer->OnLeaving(this->node);
    }
    this->DoLeave();
  });
}

void Host::Run(std::function<void()> aStep)
{
  if (!this->alive) {
    return;
  }
  if (this->paused) {
    this->inbox.push_back(std::move(aStep));
    return;
  }
  aStep();
  this->AfterStep();
  this->Arm();
}

// Plans the next timer of the process, unless an earlier one is planned.
void Host::Arm()
{
  const TimePoint next = this->NextTimer();
  if (next >= this->armed) {
    return;
  }
  this->armed = next;
  this->site.schedule.At(next, [this, lifeThen = this->life] { this->Wake(lifeThen); });
}

void Host::Wake(std::uint64_t aLife)
{
  if (!this->alive || this->paused || aLife != this->life) {
    return;
  }
  this->armed = kNever;
  if (this->site.schedule.Time() >= this->NextTimer()) {
    this->DoTimer();
    this->AfterStep();
  }
  this->Arm();
}

void Host::OnLinkUp(Peer aPeer, const Hello& aHello)
{
  this->Run([this, aPeer, aHello] {
    this->linked.insert(aPeer.node);
    this->DoLinkUp(aPeer, aHello);
  });
}

void Host::OnLinkDown(NodeId aNode)
{
  this->Run([this, aNode] {
    this->linked.erase(aNode);
    this->DoLinkDown(aNode);
  });
}

void Host::OnDeliver(Peer aFrom, const Message& aMessage)
{
  if (this->paused) {
    this->Run([this, aFrom, aMessage] { this->DoDeliver(aFrom, aMessage); });
    return;
  }
  this->DoDeliver(aFrom, aMessage);
  this->AfterStep();
  this->Arm();
}

void Host::Send(NodeId aTo, const Message& aMessage)
{
  if (this->site.tamper == nullptr) {
    this->site.network.Send(this->node, aTo, aMessage);
    return;
  }
  Message message = aMessage;
  if (this->site.tamper->Pass(message)) {
    this->site.network.Send(this->node, aTo, message);
  }
}

void Host::Tell(const Event& aEvent)
{
  for (Observer* observer : this->site.observers) {
    observer->OnEvent(this->node, aEvent);
  }
}

EntryHost::EntryHost(std::string aName, const EntryOptions& aOptions, Site& aSite,
                     CallerSide& aCallers)
  : Host(std::move(aName), aSite)
  , options(aOptions)
  , callers(aCallers)
  , random(aSite.random.Bits())
{
}

EntryHost::~EntryHost() = default;

void EntryHost::Create()
{
  EntryPort& port = *this;
  this->entry =
    std::make_unique<Entry>(this->options, this->Name(), this->placement, this->random, port);
  this->toldOffset = 0;
  this->toldLeaving = false;
  this->cursor = 0;
  this->PollLog(this->life);
}

void EntryHost::Destroy()
{
  this->entry.reset();
}

// Reads what is new in the log, again and again.
void EntryHost::PollLog(std::uint64_t aLife)
{
  if (!this->Alive() || aLife != this->life) {
    return;
  }
  this->site.schedule.After(kLogPoll, [this, aLife] { this->PollLog(aLife); });
  const LogModel& log = this->site.log;
  if (log.Down() || this->Paused()) {
    return;
  }
  this->cursor = std::max(this->cursor, log.Oldest());
  std::vector<LogRecord> records = log.Read(this->cursor, kLogBatch);
  if (!records.empty()) {
    this->cursor = records.back().offset + 1;
  }
  this->Run([this, oldest = log.Oldest(), records = std::move(records)] {
    const Now now = this->site.schedule.Read();
    this->entry->OnLogOldest(now, oldest);
    if (!records.empty()) {
      this->entry->OnLogRecords(now, records);
    }
  });
}

void EntryHost::Submit(const Submission& aSubmission)
{
  this->Run(
    [this, aSubmission] { this->entry->OnSubmit(this->site.schedule.Read(), aSubmission); });
}

void EntryHost::ResumeAnswer(const RequestId& aId, const std::string& aAccount,
                             std::uint32_t aNextChunk, std::optional<NodeId> aAgent)
{
  this->Run([this, aId, aAccount, aNextChunk, aAgent] {
    this->entry->OnResume(this->site.schedule.Read(), aId, aAccount, aNextChunk, aAgent);
  });
}

void EntryHost::CallerGone(const RequestId& aId, bool aMayResume)
{
  this->Run([this, aId, aMayResume] {
    this->entry->OnCallerGone(this->site.schedule.Read(), aId, aMayResume);
  });
}

std::optional<NodeId> EntryHost::AgentOf(const RequestId& aId) const
{
  return this->entry == nullptr ? std::nullopt : this->entry->AgentOf(aId);
}

bool EntryHost::Idle() const
{
  return this->entry == nullptr || this->entry->Idle();
}

const ConfigState& EntryHost::Config() const
{
  return this->entry->Config();
}

Hello EntryHost::SelfHello() const
{
  Hello hello;
  hello.role = Role::kEntry;
  hello.name = this->Name();
  hello.leaving = this->Leaving();
  hello.configOffset = this->entry->Config().Next();
  return hello;
}

// Tells the peers when the hello has changed.
void EntryHost::AfterStep()
{
  const LogOffset offset = this->entry->Config().Next();
  if (offset == this->toldOffset && this->Leaving() == this->toldLeaving) {
    return;
  }
  this->toldOffset = offset;
  this->toldLeaving = this->Leaving();
  for (const NodeId peer : this->linked) {
    this->Send(peer, this->SelfHello());
  }
}

void EntryHost::DoLinkUp(Peer aPeer, const Hello& aHello)
{
  this->entry->OnPeerUp(this->site.schedule.Read(), aPeer, aHello);
}

void EntryHost::DoLinkDown(NodeId aNode)
{
  this->entry->OnPeerDown(this->site.schedule.Read(), aNode);
}

void EntryHost::DoDeliver(Peer aFrom, const Message& aMessage)
{
  this->entry->OnMessage(this->site.schedule.Read(), aFrom, aMessage);
}

void EntryHost::DoTimer()
{
  this->entry->OnTimer(this->site.schedule.Read());
}

void EntryHost::DoLeave()
{
  this->entry->BeginLeaving(this->site.schedule.Read());
}

TimePoint EntryHost::NextTimer() const
{
  return this->entry->NextTimer();
}

void EntryHost::Send(NodeId aTo, const Message& aMessage)
{
  this->Host::Send(aTo, aMessage);
}

void EntryHost::DeliverChunk(const RequestId& aId, const std::string& aData)
{
  this->callers.OnPart(aId, aData);
}

void EntryHost::DeliverFinal(const RequestId& aId, const FinalAnswer& aAnswer)
{
  this->callers.OnFinal(aId, aAnswer);
}

void EntryHost::Append(std::uint64_t aToken, const std::vector<std::string>& aRecords)
{
  const std::uint64_t lifeThen = this->life;
  this->site.log.Append(aRecords, [this, aToken, lifeThen](AppendResult aResult, LogOffset aFirst) {
    if (lifeThen == this->life) {
      this->Run([this, aToken, aResult, aFirst] {
        this->entry->OnAppended(this->site.schedule.Read(), aToken, aResult, aFirst);
      });
    }
  });
}

void EntryHost::Note(const Event& aEvent)
{
  this->Tell(aEvent);
}

AgentHost::AgentHost(const AgentIdentity& aIdentity, const AgentOptions& aOptions, Site& aSite)
  : Host(aIdentity.name, aSite)
  , identity(aIdentity)
  , options(aOptions)
  , random(aSite.random.Bits())
{
}

AgentHost::~AgentHost() = default;

void AgentHost::SetEndpoint(std::unique_ptr<Endpoint> aEndpoint)
{
  this->endpoint = std::move(aEndpoint);
}

void AgentHost::Create()
{
  AgentPort& port = *this;
  this->agent = std::make_unique<Agent>(this->options, this->identity, this->random, port);
}

// The process dies: its connections to the endpoint close.
void AgentHost::Destroy()
{
  for (const RequestId& id : this->open) {
    this->endpoint->Cancel(id);
  }
  this->open.clear();
  this->agent.reset();
}

bool AgentHost::Idle() const
{
  return this->agent == nullptr || this->agent->Idle();
}

const ConfigState& AgentHost::Config() const
{
  return this->agent->Config();
}

Hello AgentHost::SelfHello() const
{
  return this->agent->CurrentHello();
}

void AgentHost::DoLinkUp(Peer aPeer, const Hello& aHello)
{
  this->agent->OnPeerUp(this->site.schedule.Read(), aPeer, aHello);
}

void AgentHost::DoLinkDown(NodeId aNode)
{
  this->agent->OnPeerDown(this->site.schedule.Read(), aNode);
}

void AgentHost::DoDeliver(Peer aFrom, const Message& aMessage)
{
  this->agent->OnMessage(this->site.schedule.Read(), aFrom, aMessage);
}

void AgentHost::DoTimer()
{
  this->agent->OnTimer(this->site.schedule.Read());
}

void AgentHost::DoLeave()
{
  this->agent->BeginLeaving(this->site.schedule.Read());
}

TimePoint AgentHost::NextTimer() const
{
  return this->agent->NextTimer();
}

void AgentHost::Send(NodeId aTo, const Message& aMessage)
{
  this->Host::Send(aTo, aMessage);
}

void AgentHost::Dispatch(const RequestId& aId, WorkKind /*aKind*/, const std::string& /*aRoute*/,
                         const std::string& aBody)
{
  const Job& job = this->site.jobs.at(aId);
  for (Observer* observer : this->site.observers) {
    observer->OnDispatch(job, this->Node());
  }
  this->open.insert(aId);
  const std::uint32_t copies = this->site.tamper == nullptr ? 1 : this->site.tamper->Copies(job);
  for (std::uint32_t i = 0; i < copies; ++i) {
    this->endpoint->Start(job, aBody);
  }
}

void AgentHost::Abort(const RequestId& aId)
{
  if (this->open.erase(aId) > 0) {
    this->endpoint->Cancel(aId);
  }
}

void AgentHost::Probe()
{
  const std::uint64_t lifeThen = this->life;
  this->site.schedule.After(milliseconds(1), [this, lifeThen] {
    if (lifeThen == this->life) {
      const bool reachable = this->endpoint->Reachable();
      this->Run([this, reachable] { this->agent->OnProbe(this->site.schedule.Read(), reachable); });
    }
  });
}

void AgentHost::Order(LogOffset aFencing, const std::string& /*aBody*/)
{
  const std::uint64_t lifeThen = this->life;
  this->site.schedule.After(milliseconds(1), [this, aFencing, lifeThen] {
    if (lifeThen == this->life) {
      this->Run(
        [this, aFencing] { this->agent->OnOrderDone(this->site.schedule.Read(), aFencing, true); });
    }
  });
}

void AgentHost::Note(const Event& aEvent)
{
  this->Tell(aEvent);
}

void AgentHost::OnToken(const RequestId& aId, const std::string& aText)
{
  if (!this->open.contains(aId)) {
    return;
  }
  this->Run([this, aId, aText] {
    if (this->open.contains(aId)) {
      this->agent->OnWorkChunk(this->site.schedule.Read(), aId, 1, aText);
    }
  });
}

void AgentHost::OnEnd(const RequestId& aId, const WorkResult& aResult)
{
  this->Run([this, aId, aResult] {
    if (this->open.erase(aId) > 0) {
      this->agent->OnWorkEnd(this->site.schedule.Read(), aId, aResult);
    }
  });
}

} // namespace caraway::bench
