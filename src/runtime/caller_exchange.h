// One HTTP call of a caller, from its first byte to the end of its answer.
#pragma once

#include "runtime/answer_format.h"
#include "runtime/entry_host.h"
#include "runtime/glib_ptr.h"
#include "runtime/timer.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <optional>
#include <string>

namespace caraway {

class CallerExchange;

// Limits of callers' calls.
struct CallerLimits
{
  std::uint32_t maxBodyBytes = 1 << 20;
  Duration readWithin = std::chrono::seconds(10); // from the first to the last byte of a request
  std::size_t maxUnreadBytes = 4 << 20;           // answer bytes that a caller leaves unread
};

// What an exchange asks of its server.
class ExchangeOwner
{
public:
  virtual ~ExchangeOwner() = default;
  // Takes the connection from libsoup, refuses the call and forgets the exchange.
  virtual void Refuse(CallerExchange& aExchange, const Rejection& aRejection) = 0;
  // Closes the connection of a caller that is gone and forgets the exchange.
  virtual void Drop(CallerExchange& aExchange) = 0;
};

class CallerExchange final : public AnswerSink
{
public:
  CallerExchange(SoupServerMessage* aMessage, const CallerLimits& aLimits, EntryHost& aHost,
                 Metrics& aMetrics, Random& aRandom, ExchangeOwner& aOwner);
  ~CallerExchange() override;
  CallerExchange(const CallerExchange&) = delete;
  CallerExchange& operator=(const CallerExchange&) = delete;

  // The headers are there: refuses at once what needs no body.
  void OnHead();
  // The whole request is there.
  void OnRequest();
  // libsoup is done with the call, answered or not.
  void OnFinished();

  void OnAgent(const std::string& aName) override;
  void OnChunk(const std::string& aData) override;
  void OnFinal(const FinalAnswer& aAnswer) override;

  // True from the end of the headers to the end of the answer; an idle connection is not busy.
  bool IsBusy() const { return this->headSeen; }
  SoupServerMessage* Message() const { return this->message.get(); }

private:
  enum class State : std::uint8_t
  {
    kReading,   // the request is not complete
    kWaiting,   // submitted, nothing sent
    kStreaming, // headers and a part of the answer were sent
    kEnded,     // final answer given
  };
  enum class Form : std::uint8_t
  {
    kEvents, // server-sent events
    kWhole,  // one chat.completion
    kRaw,    // bytes of the endpoint
  };

  static void OnGotChunk(SoupServerMessage* aMessage, GBytes* aChunk, void* aData);
  static void OnWrote(SoupServerMessage* aMessage, guint aBytes, void* aData);
  static int OnHangUp(int aFd, GIOCondition aCondition, void* aData);

  void RefuseLater(const Rejection& aRejection);
  void Reject(const Rejection& aRejection);
  CallHead ReadHead() const;
  std::string ReadBody() const;
  void RunCall(CallRoute aRoute);
  void RunResume(const Account& aAccount);
  void Submit(ParsedCall aCall);
  void Wait();
  void StartStream();
  void Write(const std::string& aData);
  void SetAnswerHeaders();
  void SendWhole(const FinalAnswer& aAnswer);
  void SendRefusal(const FinalAnswer& aAnswer);
  void CountResult(const FinalAnswer& aAnswer);
  void WatchHangUp();
  void StopWatching();
  void Gone();

  ObjectPtr<SoupServerMessage> message;
  CallerLimits limits;
  EntryHost& host;
  Metrics& metrics;
  Random& random;
  ExchangeOwner& owner;
  State state = State::kReading;
  bool headSeen = false;
  Form form = Form::kRaw;
  CallHead head;
  RequestId id;
  bool chosenId = false;
  std::string account;
  Tier tier = kLowestTier;
  Duration startWithin{};
  Duration endWithin{};
  std::optional<CompletionFormat> format;
  std::string agent;
  std::string collected; // answer so far, unless it is streamed
  std::uint32_t nextNumber = 0;
  std::size_t received = 0; // body bytes of the request
  std::size_t unread = 0;   // answer bytes that libsoup has not written
  TimePoint submittedAt{};
  TimePoint chunkAt{};
  std::optional<Duration> firstAfter; // time from submission to the first chunk
  std::optional<Rejection> pendingRejection;
  guint hangUpWatch = 0;
  gulong chunkSignal = 0;
  gulong wroteSignal = 0;
  Timer readLimit;
  Timer refusal;
};

} // namespace caraway
