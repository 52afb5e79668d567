// One HTTP call of a caller, from its first byte to the end of the answer.
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

// Limits for calls of callers.
struct CallerLimits
{
  std::uint32_t maxBodyBytes = 1 << 20;
  Duration readTimeout = std::chrono::seconds(10); // from the first to the last byte of a request
  std::size_t maxUnsentBytes = 4 << 20;            // answer bytes not yet written to the connection
};

// Server of an exchange: ends exchanges outside of libsoup.
class ExchangeOwner
{
public:
  virtual ~ExchangeOwner() = default;
  // Takes the connection from libsoup, refuses the call and destroys the exchange.
  virtual void Refuse(CallerExchange& aExchange, const Rejection& aRejection) = 0;
  // Closes the connection of a disconnected caller and destroys the exchange.
  virtual void Drop(CallerExchange& aExchange) = 0;
  // libsoup has closed the connection: destroys the exchange.
  virtual void OnDisconnected(CallerExchange& aExchange) = 0;
};

class CallerExchange final : public AnswerSink
{
public:
  CallerExchange(SoupServerMessage* aMessage, const CallerLimits& aLimits, EntryHost& aHost,
                 Metrics& aMetrics, Random& aRandom, ExchangeOwner& aOwner);
  ~CallerExchange() override;
  CallerExchange(const CallerExchange&) = delete;
  CallerExchange& operator=(const CallerExchange&) = delete;

  // The headers were read: refuses calls that can be rejected without their body.
  void OnHead();
  // The request was read completely.
  void OnRequest();
  // libsoup finished or aborted the call.
  void OnFinished();

  void OnAgent(const std::string& aName) override;
  void OnChunk(const std::string& aData) override;
  void OnFinal(const FinalAnswer& aAnswer) override;

  // True from the end of the headers to the end of the answer; an idle connection is not busy.
  bool IsBusy() const { return this->hasHead; }
  SoupServerMessage* Message() const { return this->message.get(); }

private:
  enum class State : std::uint8_t
  {
    kReading,   // the request is not complete
    kWaiting,   // submitted, nothing sent
    kStreaming, // headers and a part of the answer were sent
    kEnded,     // the answer was passed to libsoup, or the caller is gone
  };
  enum class BodyFormat : std::uint8_t
  {
    kEvents,     // server-sent events
    kSingleJson, // one chat.completion object
    kRaw,        // the endpoint's bytes unchanged
  };

  static void OnGotChunk(SoupServerMessage* aMessage, GBytes* aChunk, void* aData);
  static void OnSoupDisconnect(SoupServerMessage* aMessage, void* aData);
  static void OnWrote(SoupServerMessage* aMessage, guint aBytes, void* aData);
  static int OnDisconnect(int aFd, GIOCondition aCondition, void* aData);

  void ScheduleRefusal(const Rejection& aRejection);
  void Reject(const Rejection& aRejection);
  CallHead ReadHead() const;
  std::string ReadBody() const;
  void RunCall(CallRoute aRoute);
  void RunResume(const Account& aAccount);
  void Submit(ParsedCall aCall);
  void AwaitAnswer();
  void StartStream();
  void Write(const std::string& aData);
  void SetAnswerHeaders();
  void SendComplete(const FinalAnswer& aAnswer);
  void SendRefusal(const FinalAnswer& aAnswer);
  void CountResult(const FinalAnswer& aAnswer);
  void WatchDisconnect();
  void StopWatching();
  void ReportDisconnect();

  ObjectPtr<SoupServerMessage> message;
  CallerLimits limits;
  EntryHost& host;
  Metrics& metrics;
  Random& random;
  ExchangeOwner& owner;
  State state = State::kReading;
  bool hasHead = false;
  BodyFormat bodyFormat = BodyFormat::kRaw;
  CallHead head;
  RequestId id;
  bool isIdFromCaller = false;
  std::string account;
  Tier tier = kLowestTier;
  Duration startWithin{};
  Duration endWithin{};
  std::optional<CompletionFormat> format;
  std::string agent;
  std::string bufferedAnswer; // answer so far, if it is not streamed
  std::uint32_t nextEventNumber = 0;
  std::size_t receivedBytes = 0; // body bytes of the request
  std::size_t unsentBytes = 0;   // answer bytes that libsoup has not written
  TimePoint submittedAt{};
  TimePoint lastChunkAt{};
  std::optional<Duration> firstLatency; // time from submission to the first chunk
  std::optional<Rejection> pendingRejection;
  guint disconnectWatch = 0;
  gulong disconnectSignal = 0;
  gulong chunkSignal = 0;
  gulong wroteSignal = 0;
  Timer readTimer;
  Timer refusalTimer;
};

} // namespace caraway
