// Processing state of one caller's request: its attempts at endpoints and its answer.
#pragma once

#include "core/event.h"
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
  // Cancels the current attempt, if any.
  void StopAttempt();
  // Ends the request without an endpoint's answer: closes the connection if the response has begun,
  // otherwise sends an error status.
  void EndWithoutAnswer(direct::GiveUpReason aReason, Duration aRetryAfter);

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
  std::shared_ptr<const direct::ServiceConfig> config; // active when the request was read
  const direct::Route* route = nullptr;                // in that configuration
  const direct::AccountSpec* account = nullptr;
  double quotaUnits = 0;
  TimePoint quotaTakenAt{};
  bool mayHaveRun = false; // an endpoint may have run one of the attempts
  bool isOver = false;

private:
  void ForwardStreamData(std::string_view aData);
  void BeginStream();
  void AbortAttempt(std::string_view aCause);
  void DiscardBody();
  bool UpdateHeldBytes();
  void FinishAttempt(direct::AttemptEnd aEnd);
  void RecordFirstLatency();
  void ForwardAnswer();
  direct::AttemptEnd EndOf(ExchangeEnd aEnd) const;

  void RecordRunEnd(bool aIsBad);
  bool HasEchoedId() const;
  bool MayForwardFailure() const;
  std::vector<EventField> AnswerFields() const;

  std::weak_ptr<EndpointExchange> attempt;
  std::string attemptVersion; // of the endpoint's software
  TimePoint attemptStartedAt{};
  bool isAttemptOpen = false;
  ResponseHead head; // of the current attempt
  bool hasHead = false;
  ResponseKind kind = ResponseKind::kInvalid;
  ExchangeTrace trace;       // of the last attempt that ended
  std::string body;          // of an answer that is buffered until it is complete
  std::size_t heldBytes = 0; // memory of the body and of the partial event
  EventSplitter events;
  std::optional<std::uint64_t> lastDeliveredId; // last event sent to the caller
  bool isStreaming = false;                     // the response head was sent to the caller
  Duration firstLatency{}; // from the request to the first part of its answer; zero if none yet
};

} // namespace caraway::gateway
