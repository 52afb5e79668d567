#include "runtime/call_parser.h"

#include "core/uuid.h"

#include <glib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <memory>
#include <string_view>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kCompletionPath = "/v1/chat/completions";
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kRequestPrefix = "/v1/requests/";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kCharactersPerToken = 4; // typical ratio for English text
constexpr std::size_t kPrefixCharacters = 256; // of the prompt, hashed for prefix affinity
constexpr std::uint32_t kMaxTokensLimit = 10'000'000;
constexpr std::uint32_t kMaxDeadlineMs = 86'400'000;

template<class T>
std::optional<T> ParseNumber(std::string_view aText)
{
  T value{};
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc{} || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return value;
}

Rejection Malformed(std::string aMessage)
{
  return Rejection{ 400, "malformed", std::move(aMessage) };
}

// Reads a deadline header; uses the pool's default if it is absent.
std::optional<Rejection> ReadDeadline(const std::string& aText, const char* aName,
                                      Duration aDefault, Duration& aTarget)
{
  aTarget = aDefault;
  if (aText.empty()) {
    return std::nullopt;
  }
  const auto value = ParseNumber<std::uint32_t>(aText);
  if (!value || *value == 0 || *value > kMaxDeadlineMs) {
    return Malformed(std::string(aName) + " must be milliseconds from 1 to 86400000");
  }
  aTarget = std::chrono::milliseconds(*value);
  return std::nullopt;
}

// Reads the requested tier; uses the account's highest tier if none is given.
std::optional<Rejection> ReadTier(const Account& aAccount, const std::string& aText, Tier& aTarget)
{
  aTarget = aAccount.highestTier;
  if (aText.empty()) {
    return std::nullopt;
  }
  const auto value = ParseNumber<unsigned>(aText);
  if (!value || *value >= kTierCount) {
    return Malformed("Caraway-Tier must be 0 to 3");
  }
  if (*value < aAccount.highestTier) {
    return Rejection{ 403, "tier", "the account may not use this tier" };
  }
  aTarget = static_cast<Tier>(*value);
  return std::nullopt;
}

// Sets the fields common to all calls: identifier, account, tier and deadlines.
std::optional<Rejection> ReadHead(const Account& aAccount, const Pool& aPool, const CallHead& aHead,
                                  ParsedCall& aCall)
{
  Submission& submission = aCall.submission;
  submission.account = aAccount.name;
  submission.pool = aPool.name;
  if (!aHead.requestId.empty()) {
    const auto id = ParseUuid(aHead.requestId);
    if (!id || !TimeOfUuid7(*id)) {
      return Malformed("Caraway-Request-Id must be a UUIDv7");
    }
    submission.id = *id;
    aCall.isIdFromCaller = true;
  }
  auto rejection = ReadTier(aAccount, aHead.tier, submission.tier);
  if (!rejection) {
    rejection = ReadDeadline(aHead.startWithinMs, "Caraway-Start-Within-Ms", aPool.startWithin,
                             submission.startWithin);
  }
  if (!rejection) {
    rejection = ReadDeadline(aHead.endWithinMs, "Caraway-End-Within-Ms", aPool.endWithin,
                             submission.endWithin);
  }
  return rejection;
}

// Appends the text of one message, which is a string or a list with text parts.
void AppendText(const Json& aContent, std::string& aText)
{
  if (aContent.is_string()) {
    aText += aContent.get_ref<const std::string&>();
    return;
  }
  if (!aContent.is_array()) {
    return;
  }
  for (const Json& part : aContent) {
    const auto text = part.is_object() ? part.find("text") : part.end();
    if (part.is_object() && text != part.end() && text->is_string()) {
      aText += text->get_ref<const std::string&>();
    }
  }
}

std::optional<Rejection> ReadMessages(const Json& aBody, std::string& aText)
{
  const auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array() || messages->empty()) {
    return Malformed("messages must be a non-empty list");
  }
  for (const Json& message : *messages) {
    if (!message.is_object()) {
      return Malformed("each element of messages must be an object");
    }
    const auto content = message.find("content");
    if (content != message.end()) {
      AppendText(*content, aText);
    }
  }
  return std::nullopt;
}

std::optional<Rejection> ReadMaxTokens(const Json& aBody, std::uint32_t& aTarget)
{
  for (const char* name : { "max_completion_tokens", "max_tokens" }) {
    const auto value = aBody.find(name);
    if (value == aBody.end() || value->is_null()) {
      continue;
    }
    const bool isValid = value->is_number_unsigned() && value->get<std::uint64_t>() >= 1 &&
                         value->get<std::uint64_t>() <= kMaxTokensLimit;
    if (!isValid) {
      return Malformed(std::string(name) + " must be an integer from 1 to 10000000");
    }
    aTarget = value->get<std::uint32_t>();
    return std::nullopt;
  }
  return std::nullopt;
}

std::uint32_t EstimateTokens(std::size_t aCharacters)
{
  return static_cast<std::uint32_t>(aCharacters / kCharactersPerToken + 1);
}

// Fingerprint of a request; repeats with the same account and body have the same fingerprint.
std::uint64_t FingerprintOf(const std::string& aAccount, const std::string& aBody)
{
  return HashOf(aBody, HashOf(aAccount));
}

} // namespace

std::variant<CallRoute, Rejection> FindRoute(const std::string& aMethod, const std::string& aPath)
{
  CallRoute route{};
  if (aPath == kCompletionPath) {
    route = CallRoute::kCompletion;
  } else if (aPath.starts_with(kServicePrefix)) {
    route = CallRoute::kService;
  } else if (aPath.starts_with(kRequestPrefix)) {
    route = CallRoute::kResume;
  } else if (aPath == "/healthz") {
    route = CallRoute::kHealth;
  } else if (aPath == "/readyz") {
    route = CallRoute::kReady;
  } else {
    return Rejection{ 404, "not_found", "no such path" };
  }
  const bool isPost = route == CallRoute::kCompletion || route == CallRoute::kService;
  if (aMethod != (isPost ? "POST" : "GET")) {
    return Rejection{ 405, "method", isPost ? "use POST" : "use GET" };
  }
  return route;
}

std::variant<const Account*, Rejection> Authenticate(const ConfigState& aConfig,
                                                     const std::string& aAuthorization)
{
  const Rejection unauthorized{ 401, std::string(ToString(Reason::kUnauthorized)),
                                "missing or unknown key" };
  if (!aAuthorization.starts_with(kBearer)) {
    return unauthorized;
  }
  const std::string hash = HashKey(aAuthorization.substr(kBearer.size()));
  const Account* account = aConfig.FindAccountByKey(hash);
  if (account == nullptr) {
    return unauthorized;
  }
  return account;
}

std::variant<ParsedCall, Rejection> ParseCompletion(const ConfigState& aConfig,
                                                    const Account& aAccount, const CallHead& aHead,
                                                    const std::string& aBody)
{
  const Json body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return Malformed("the body must be a JSON object");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return Malformed("model must be a string");
  }
  const Pool* pool = aConfig.FindPool(model->get_ref<const std::string&>());
  if (pool == nullptr || pool->kind != WorkKind::kCompletion) {
    return Rejection{ 404, "model", "no such model" };
  }
  ParsedCall call;
  std::string text;
  auto rejection = ReadHead(aAccount, *pool, aHead, call);
  if (!rejection) {
    rejection = ReadMessages(body, text);
  }
  if (!rejection) {
    rejection = ReadMaxTokens(body, call.submission.maxTokens);
  }
  const auto stream = body.find("stream");
  if (!rejection && stream != body.end() && !stream->is_boolean() && !stream->is_null()) {
    rejection = Malformed("stream must be true or false");
  }
  if (rejection) {
    return *rejection;
  }
  call.stream = stream != body.end() && stream->is_boolean() && stream->get<bool>();
  Submission& submission = call.submission;
  submission.kind = WorkKind::kCompletion;
  submission.route = aHead.path;
  submission.promptTokens = EstimateTokens(text.size());
  submission.prefixHash = HashOf(std::string_view(text).substr(0, kPrefixCharacters));
  submission.fingerprint = FingerprintOf(aAccount.name, aBody);
  submission.body = aBody;
  return call;
}

std::variant<ParsedCall, Rejection> ParseService(const ConfigState& aConfig,
                                                 const Account& aAccount, const CallHead& aHead,
                                                 const std::string& aBody)
{
  const std::string rest = aHead.path.substr(kServicePrefix.size());
  const auto slash = rest.find('/');
  const Pool* pool = aConfig.FindPool(rest.substr(0, slash));
  if (pool == nullptr || pool->kind != WorkKind::kService || slash == std::string::npos) {
    return Rejection{ 404, "service", "no such service" };
  }
  ParsedCall call;
  Submission& submission = call.submission;
  submission.route = rest.substr(slash);
  const auto& once = pool->onceRoutes;
  const bool isOnce = std::find(once.begin(), once.end(), submission.route) != once.end();
  submission.kind = isOnce ? WorkKind::kOnce : WorkKind::kService;
  const auto rejection = ReadHead(aAccount, *pool, aHead, call);
  if (rejection) {
    return *rejection;
  }
  if (isOnce) {
    const auto key = ParseUuid(aHead.idempotencyKey);
    if (!key || !TimeOfUuid7(*key)) {
      return Rejection{ 422, "key_missing",
                        "this route requires an Idempotency-Key that is a UUIDv7" };
    }
    submission.idempotencyKey = FormatUuid(*key);
  }
  submission.promptTokens = EstimateTokens(aBody.size());
  submission.prefixHash = HashOf(std::string_view(aBody).substr(0, kPrefixCharacters));
  submission.fingerprint = FingerprintOf(aAccount.name, aBody);
  submission.body = aBody;
  return call;
}

std::variant<ParsedResume, Rejection> ParseResume(const Account& aAccount, const CallHead& aHead)
{
  ParsedResume resume;
  const auto id = ParseUuid(std::string_view(aHead.path).substr(kRequestPrefix.size()));
  if (!id) {
    return Malformed("the path must end in a request identifier");
  }
  resume.id = *id;
  resume.account = aAccount.name;
  if (!aHead.lastEventId.empty()) {
    const auto last = ParseNumber<std::uint32_t>(aHead.lastEventId);
    if (!last || *last == UINT32_MAX) {
      return Malformed("Last-Event-ID must be a chunk number from 0 to 4294967294");
    }
    resume.nextChunk = *last + 1;
  }
  if (!aHead.agent.empty()) {
    resume.agent = NodeIdOf(aHead.agent);
  }
  return resume;
}

std::string HashKey(const std::string& aKey)
{
  const std::unique_ptr<char, decltype(&g_free)> digest(
    g_compute_checksum_for_data(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(aKey.data()),
                                aKey.size()),
    &g_free);
  return digest.get();
}

} // namespace caraway
