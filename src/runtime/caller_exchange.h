// One HTTP call of a caller, from its complete request to the end of the answer.
#pragma once

#include "runtime/answer_format.h"
#include "runtime/entry_host.h"
#include "runtime/ingress_server.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace caraway {

class CallerExchange;

// Owner of an exchange.
class ExchangeOwner
{
public:
  virtual ~ExchangeOwner() = default;
  // The head of the answer follows.
  virtual void BeforeAnswer() = 0;
  // The exchange is over; it is destroyed later, from the main loop.
  virtual void OnEnded(CallerExchange& aExchange) = 0;
};

class CallerExchange final : public AnswerSink
{
public:
  CallerExchange(std::shared_ptr<IngressExchange> aConnection, IngressRequest aRequest,
                 EntryHost& aHost, Metrics& aMetrics, Random& aRandom, ExchangeOwner& aOwner);
  ~CallerExchange() override = default;
  CallerExchange(const CallerExchange&) = delete;
  CallerExchange& operator=(const CallerExchange&) = delete;

  // Runs or refuses the request.
  void Run();
  // The caller has disconnected. Must not be called from a call of the host.
  void OnCallerGone();

  void OnAgent(const std::string& aName) override;
  void OnChunk(const std::string& aData) override;
  void OnFinal(const FinalAnswer& aAnswer) override;

  IngressExchange& Connection() const { return *this->connection; }

private:
  enum class State : std::uint8_t
  {
    kWaiting,   // nothing sent
    kStreaming, // headers and a part of the answer were sent
    kEnded,     // the answer was sent, or the caller is gone
  };
  enum class BodyFormat : std::uint8_t
  {
    kEvents,     // server-sent events
    kSingleJson, // one chat.completion object
    kRaw,        // the endpoint's bytes unchanged
  };

  void Reject(const Rejection& aRejection);
  void RunCall(CallRoute aRoute, const Account& aAccount);
  void RunResume(const Account& aAccount);
  void Submit(ParsedCall aCall);
  void StartStream();
  HeaderFields AnswerFields(const char* aType) const;
  void SendComplete(const FinalAnswer& aAnswer);
  void SendRefusal(const FinalAnswer& aAnswer);
  void Send(std::uint16_t aStatus, const HeaderFields& aFields, std::string_view aBody);
  void End();
  void CountResult(const FinalAnswer& aAnswer);

  std::shared_ptr<IngressExchange> connection;
  IngressRequest request;
  EntryHost& host;
  Metrics& metrics;
  Random& random;
  ExchangeOwner& owner;
  State state = State::kWaiting;
  BodyFormat bodyFormat = BodyFormat::kRaw;
  CallHead head;
  RequestId id;
  bool isIdFromCaller = false;
  bool isSubmitted = false; // the host calls this exchange until its final answer
  std::string account;
  Tier tier = kLowestTier;
  Duration startWithin{};
  Duration endWithin{};
  std::optional<CompletionFormat> format;
  std::string agent;
  std::string bufferedAnswer; // answer so far, if it is not streamed
  std::uint32_t nextEventNumber = 0;
  TimePoint submittedAt{};
  TimePoint lastChunkAt{};
  std::optional<Duration> firstLatency; // time from submission to the first chunk
};

// A call that its head allows.
struct AdmittedCall
{
  CallHead head;
  CallRoute route = CallRoute::kHealth;
  const Account* account = nullptr; // none for the routes of health checks
};

// Reads the head of a request and checks what needs no body: path, method and key.
std::variant<AdmittedCall, Rejection> AdmitByHead(const ConfigState& aConfig,
                                                  const RequestHead& aHead);

// Answers a call that is refused before it is submitted.
void SendRejection(IngressExchange& aConnection, const Rejection& aRejection);

} // namespace caraway
