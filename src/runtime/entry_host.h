// Connects the decision logic of an entry (Entry) to the process: links to agents and other
// entries, the platform's log and VM list, the timer, and the answers to callers.
#pragma once

#include "core/entry.h"
#include "runtime/admin_view.h"
#include "runtime/clock.h"
#include "runtime/link_hub.h"
#include "runtime/log_client.h"
#include "runtime/observer.h"
#include "runtime/settings.h"
#include "runtime/timer.h"

#include <optional>
#include <string>
#include <system_error>
#include <unordered_map>

namespace caraway {

// Receives the answer for one waiting caller.
class AnswerSink
{
public:
  virtual ~AnswerSink() = default;
  // The request was granted to the agent of this name.
  virtual void OnAgent(const std::string& aName) = 0;
  virtual void OnChunk(const std::string& aData) = 0;
  // Called once, after all other calls.
  virtual void OnFinal(const FinalAnswer& aAnswer) = 0;
};

class EntryHost final
  : public EntryPort
  , public LinkHandler
  , public AdminView
{
public:
  EntryHost(const EntrySettings& aSettings, Peer aSelf, const Clock& aClock, Random& aRandom,
            Poller& aPoller, Placement& aPlacement, LogClient& aLog, Observer& aObserver);

  // Opens the listener for other entries and starts reading the log and the VM list.
  std::error_code Start();

  // Port of the listener for other entries.
  std::uint16_t PeerPort() const { return this->hub.Port(); }

  // Submits a caller's request; aSink may be called before this returns. Returns false if the
  // identifier is in use by a request that has no final answer yet.
  bool Submit(Submission aSubmission, AnswerSink& aSink);
  // Resumes an answer from chunk aNextChunk on. Returns false if a caller already waits for it.
  bool Resume(const RequestId& aId, const std::string& aAccount, std::uint32_t aNextChunk,
              std::optional<NodeId> aAgent, AnswerSink& aSink);
  // The caller disconnected; its sink is no longer called.
  void OnCallerGone(const RequestId& aId, bool aMayResume);

  // True if requests are accepted: the configuration is loaded and the process is not leaving.
  bool IsReady() const;
  // True once the leave notice has elapsed and no new request is accepted.
  bool IsClosed() const { return this->isClosed; }
  // Next offset to read from the log.
  LogOffset NextLogOffset() const { return this->cursor; }
  Now CurrentTime() const { return this->clock.Read(); }

  std::string StatusJson() const override;
  const ConfigState& Config() const override { return this->entry.Config(); }
  void BeginLeaving() override;
  bool IsLeaving() const override { return this->leaving; }
  bool IsDone() const override;

  void Send(NodeId aTo, const Message& aMessage) override;
  void DeliverChunk(const RequestId& aId, const std::string& aData) override;
  void DeliverFinal(const RequestId& aId, const FinalAnswer& aAnswer) override;
  void Append(std::uint64_t aToken, const std::vector<std::string>& aRecords) override;
  void Note(const Event& aEvent) override;

  void OnPeerUp(Peer aPeer, const Hello& aHello) override;
  void OnPeerDown(NodeId aNode, LinkEnd aEnd) override;
  void OnPeerMessage(Peer aFrom, const Message& aMessage) override;
  void OnRefusedFrame(std::string_view aCause) override;

private:
  void Follow();
  void OnRecords(LogOffset aOldest, LogOffset aNext, const std::vector<LogRecord>& aRecords);
  void PollVms();
  void OnVms(const std::vector<Vm>& aVms);
  void StopAccepting();
  void AfterInput();
  Hello CurrentHello() const;

  EntrySettings settings;
  const Clock& clock;
  Random& random;
  LogClient& log;
  Observer& observer;
  std::unordered_map<RequestId, AnswerSink*> sinks;
  LinkHub hub;
  Entry entry;
  LogOffset cursor = 0;    // next offset to read from the log
  bool hasReadLog = false; // the log has been read at least once
  bool leaving = false;
  bool isClosed = false;
  LogOffset announcedOffset = 0;
  bool announcedLeaving = false;
  Duration followBackoff;
  TimePoint armedFor = kNever;
  Timer timer;
  Timer followTimer;
  Timer vmTimer;
  Timer leaveTimer;
};

} // namespace caraway
