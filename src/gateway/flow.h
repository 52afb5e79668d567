// One caller's request on its way through the gateway: its attempts at endpoints and the answer.
#pragma once

#include "gateway/event_splitter.h"
#include "gateway/gateway.h"

namespace caraway::gateway {

class Gateway::Flow final : public ExchangeHandler
{
public:
  Flow(Gateway& aGateway, direct::CallNumber aNumber, std::shared_ptr<IngressExchange> aExchange,
       IngressRequest aRequest);
  ~Flow() override;
  Flow(const Flow&) = delete;
  Flow& operator=(const Flow&) = delete;

  // Sends the request to the endpoint.
  void Start(const direct::EndpointInfo& aEndpoint);
  // Closes the attempt under way.
  void StopAttempt();
  // Ends the request without an answer of an endpoint, as far as its state allows.
  void EndWithout(direct::GiveUpReason aReason, Duration aRetryAfter);

  void OnHead(const ResponseHead& aHead) override;
  void OnBody(std::string_view aData) override;
  void OnEnd(ExchangeEnd aEnd) override;

  bool IsStream() const { return this->spec.kind == direct::CallKind::kStream; }

  Gateway& gateway;
  direct::CallNumber number;
  std::shared_ptr<IngressExchange> exchange;
  IngressRequest ingress;
  CallerRequest request;
  direct::CallSpec spec;
  std::shared_ptr<const direct::ServiceConfig> config; // in force when it was read
  const direct::Route* route = nullptr;                // in that configuration
  const direct::AccountSpec* account = nullptr;
  double quotaUnits = 0;
  TimePoint quotaTakenAt{};
  bool mayHaveRun = false; // an attempt reached an endpoint that may have run it
  bool isOver = false;

private:
  void TakeStreamData(std::string_view aData);
  void BeginStream();
  void CutAnswer(std::string_view aCause);
  void DropBody();
  void FinishAttempt(direct::AttemptEnd aEnd);
  void NoteFirst();
  void PassAnswer();
  direct::AttemptEnd EndOf(ExchangeEnd aEnd) const;

  void NoteRunEnd(bool aIsBad);

  std::weak_ptr<EndpointExchange> attempt;
  std::string attemptVersion; // of the endpoint's software
  TimePoint attemptAt{};
  bool attemptOpen = false;
  ResponseHead head; // of the attempt under way
  bool hasHead = false;
  AnswerKind kind = AnswerKind::kInvalid;
  std::string body; // of an answer that is not passed on as it comes
  EventSplitter events;
  std::optional<std::uint64_t> deliveredId; // last event that the caller got
  bool streaming = false;                   // the head went to the caller
  Duration firstAfter{}; // from the request to the first part of its answer; zero: none yet
};

} // namespace caraway::gateway
