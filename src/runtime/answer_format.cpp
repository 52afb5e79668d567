#include "runtime/answer_format.h"

#include "core/uuid.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace caraway {

namespace {

using Json = nlohmann::json;

// JSON text; invalid UTF-8 is replaced.
std::string Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::uint16_t StatusOfReason(Reason aReason)
{
  switch (aReason) {
    case Reason::kQuota:
      return 429;
    case Reason::kDeadline:
      return 504;
    case Reason::kKeyExpired:
      return 422;
    case Reason::kKeyInUse:
      return 409;
    case Reason::kUnauthorized:
      return 401;
    case Reason::kEndpointFailed:
    case Reason::kEndpointLost:
    case Reason::kStalled:
      return 502;
    default:
      return 503;
  }
}

std::string_view MessageOf(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kNotRun:
      return "the request did not run";
    case Outcome::kCut:
      return "the request ran partially";
    case Outcome::kUnknown:
      return "it is unknown whether the request ran";
    case Outcome::kAnswered:
      break;
  }
  return "the answer is complete";
}

Json UsageOf(const FinalAnswer& aAnswer)
{
  return { { "prompt_tokens", aAnswer.promptTokens },
           { "completion_tokens", aAnswer.outputTokens },
           { "total_tokens", aAnswer.promptTokens + aAnswer.outputTokens } };
}

Json OutcomeOf(const FinalAnswer& aAnswer)
{
  return { { "outcome", ToString(aAnswer.outcome) }, { "reason", ToString(aAnswer.reason) } };
}

// Formats the fields of an event; aJson contains no line feed, as JSON escapes it.
std::string FormatEvent(std::uint32_t aNumber, std::string_view aJson)
{
  std::string event = "id: " + std::to_string(aNumber) + "\ndata: ";
  event.append(aJson);
  event.append("\n\n");
  return event;
}

} // namespace

std::uint16_t HttpStatusOf(const FinalAnswer& aAnswer)
{
  if (aAnswer.outcome == Outcome::kAnswered) {
    return aAnswer.status;
  }
  if (aAnswer.outcome == Outcome::kUnknown && aAnswer.reason != Reason::kUnauthorized) {
    return 504;
  }
  return StatusOfReason(aAnswer.reason);
}

std::string RefusalJson(const FinalAnswer& aAnswer)
{
  return Dump({ { "error",
                  { { "type", ToString(aAnswer.reason) },
                    { "message", MessageOf(aAnswer.outcome) },
                    { "outcome", ToString(aAnswer.outcome) } } } });
}

std::string RejectionJson(const Rejection& aRejection)
{
  return Dump({ { "error",
                  { { "type", aRejection.type },
                    { "message", aRejection.message },
                    { "outcome", ToString(Outcome::kNotRun) } } } });
}

std::string RetryAfterSeconds(Duration aDelay)
{
  const auto whole = std::chrono::ceil<std::chrono::seconds>(aDelay).count();
  return std::to_string(std::max<decltype(whole)>(whole, 1));
}

CompletionFormat::CompletionFormat(const RequestId& aId, const std::string& aModel,
                                   std::uint32_t aMaxTokens)
  : id(FormatUuid(aId))
  , model(aModel)
  , maxTokens(aMaxTokens)
  , eventPrefix("{\"id\":\"" + this->id +
                "\",\"object\":\"chat.completion.chunk\",\"created\":0,\"model\":" + Dump(aModel) +
                ",")
{
}

std::string CompletionFormat::Event(std::uint32_t aNumber, std::string_view aText) const
{
  std::string json = this->eventPrefix;
  json += "\"choices\":[{\"index\":0,\"delta\":{\"content\":";
  json += Dump(aText);
  json += "},\"finish_reason\":null}]}";
  return FormatEvent(aNumber, json);
}

std::string CompletionFormat::LastEvent(const FinalAnswer& aAnswer) const
{
  const bool whole = aAnswer.outcome == Outcome::kAnswered;
  Json choices = Json::array();
  if (whole) {
    choices.push_back({ { "index", 0 },
                        { "delta", Json::object() },
                        { "finish_reason", this->FinishReason(aAnswer) } });
  }
  std::string json = this->eventPrefix;
  json += "\"choices\":" + Dump(choices) + ",\"usage\":" + Dump(UsageOf(aAnswer)) +
          ",\"caraway\":" + Dump(OutcomeOf(aAnswer)) + "}";
  std::string event = "data: " + json + "\n\n";
  if (whole) {
    event += "data: [DONE]\n\n";
  }
  return event;
}

std::string CompletionFormat::CompleteJson(const std::string& aText,
                                           const FinalAnswer& aAnswer) const
{
  const Json message = { { "role", "assistant" }, { "content", aText } };
  return Dump(
    { { "id", this->id },
      { "object", "chat.completion" },
      { "created", 0 },
      { "model", this->model },
      { "choices", Json::array({ { { "index", 0 },
                                   { "message", message },
                                   { "finish_reason", this->FinishReason(aAnswer) } } }) },
      { "usage", UsageOf(aAnswer) },
      { "caraway", OutcomeOf(aAnswer) } });
}

const char* CompletionFormat::FinishReason(const FinalAnswer& aAnswer) const
{
  const bool isAtTokenLimit = this->maxTokens > 0 && aAnswer.outputTokens >= this->maxTokens;
  return isAtTokenLimit ? "length" : "stop";
}

} // namespace caraway
