#include "standins/load_answer.h"

#include "standins/answer.h"

#include <nlohmann/json.hpp>

#include <array>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t kFirstErrorStatus = 400;

constexpr std::array<std::string_view, kLoadResults> kNames = { "answered", "not_run", "cut",
                                                                "unknown",  "lost",    "broken" };

LoadResult ResultOf(std::string_view aOutcome)
{
  for (const LoadResult result :
       { LoadResult::kAnswered, LoadResult::kNotRun, LoadResult::kCut, LoadResult::kUnknown }) {
    if (ToString(result) == aOutcome) {
      return result;
    }
  }
  return LoadResult::kLost;
}

// String at a JSON pointer, empty if there is none.
std::string StringAt(const Json& aJson, const char* aPointer)
{
  const Json::json_pointer pointer(aPointer);
  const bool found = aJson.is_structured() && aJson.contains(pointer) && aJson[pointer].is_string();
  return found ? aJson[pointer].get<std::string>() : "";
}

} // namespace

std::string_view ToString(LoadResult aResult)
{
  return kNames.at(static_cast<std::size_t>(aResult));
}

LoadAnswer::LoadAnswer(const LoadRequest& aRequest, bool aFromEntry)
  : request(aRequest)
  , fromEntry(aFromEntry)
{
}

void LoadAnswer::OnHead(std::uint16_t aStatus, bool aIsStream)
{
  this->status = aStatus;
  this->isStream = aIsStream;
}

std::uint32_t LoadAnswer::OnData(std::string_view aData)
{
  if (!this->isStream) {
    this->text.append(aData);
    return 0;
  }
  std::uint32_t tokens = 0;
  this->reader.Feed(aData, [&](std::string_view aValue) { tokens += this->OnValue(aValue); });
  return tokens;
}

std::uint32_t LoadAnswer::OnValue(std::string_view aValue)
{
  if (aValue == "[DONE]") {
    this->done = true;
    return 0;
  }
  const Json event = Json::parse(aValue, nullptr, false);
  const std::string stated = StringAt(event, "/caraway/outcome");
  if (!stated.empty()) {
    this->outcome = stated;
    this->reason = StringAt(event, "/caraway/reason");
  }
  const std::string content = StringAt(event, "/choices/0/delta/content");
  this->text += content;
  return static_cast<std::uint32_t>(std::count(content.begin(), content.end(), ' '));
}

LoadResult LoadAnswer::OnEnd(bool aWhole)
{
  if (this->isStream) {
    return this->EndOfStream();
  }
  if (!aWhole) {
    return LoadResult::kBroken;
  }
  return this->status >= kFirstErrorStatus ? this->EndOfError() : this->EndOfBody();
}

LoadResult LoadAnswer::EndOfStream()
{
  if (!this->fromEntry && this->done) {
    this->outcome = ToString(LoadResult::kAnswered);
  }
  const LoadResult result = this->outcome.empty() ? LoadResult::kBroken : ResultOf(this->outcome);
  const bool declaredWhole = result == LoadResult::kAnswered;
  const std::string expected = this->Expected();
  const bool fits = declaredWhole ? this->text == expected : expected.starts_with(this->text);
  return fits && declaredWhole == this->done ? result : LoadResult::kLost;
}

LoadResult LoadAnswer::EndOfBody()
{
  const bool isChat = this->request.kind == LoadKind::kWhole;
  const std::string content =
    isChat ? StringAt(Json::parse(this->text, nullptr, false), "/choices/0/message/content")
           : this->text;
  return content == this->Expected() ? LoadResult::kAnswered : LoadResult::kLost;
}

LoadResult LoadAnswer::EndOfError()
{
  const Json body = Json::parse(this->text, nullptr, false);
  this->reason = StringAt(body, "/error/type");
  return ResultOf(StringAt(body, "/error/outcome"));
}

std::string LoadAnswer::Expected() const
{
  if (this->request.kind == LoadKind::kService || this->request.kind == LoadKind::kOnce) {
    return ExpectedEcho(this->request.body);
  }
  std::string expected;
  for (std::uint32_t index = 0; index < this->request.tokens; ++index) {
    expected += ExpectedToken(this->request.message, index);
  }
  return expected;
}

bool IsEventStream(const HeaderFields& aFields)
{
  const auto type = FindField(aFields, "Content-Type");
  return type && type->value.starts_with("text/event-stream");
}

} // namespace caraway
