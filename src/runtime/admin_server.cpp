#include "runtime/admin_server.h"

#include "core/uuid.h"

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxConnections = 64;
constexpr std::size_t kMaxEvents = 10000; // per answer

std::string Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::uint64_t NumberOr(const std::string& aText, std::uint64_t aDefault)
{
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  const bool isComplete = error == std::errc{} && end == aText.data() + aText.size();
  return isComplete ? value : aDefault;
}

std::string ValueOf(const std::map<std::string, std::string>& aQuery, const std::string& aKey)
{
  const auto found = aQuery.find(aKey);
  return found != aQuery.end() ? found->second : "";
}

std::map<std::string, std::string> QueryOf(std::string_view aTarget)
{
  std::map<std::string, std::string> query;
  const std::size_t start = aTarget.find('?');
  if (start == std::string_view::npos) {
    return query;
  }
  const std::string text(aTarget.substr(start + 1));
  GHashTable* form = soup_form_decode(text.c_str());
  GHashTableIter iterator;
  void* key = nullptr;
  void* value = nullptr;
  g_hash_table_iter_init(&iterator, form);
  while (g_hash_table_iter_next(&iterator, &key, &value)) {
    query[static_cast<const char*>(key)] = static_cast<const char*>(value);
  }
  g_hash_table_unref(form);
  return query;
}

Json RecordJson(const ConfigState::Stored& aStored)
{
  return {
    { "revision", aStored.revision },         { "schema_version", aStored.record.schemaVersion },
    { "kind", aStored.record.kindName },      { "name", aStored.record.name },
    { "change_id", aStored.record.changeId }, { "body", aStored.record.body }
  };
}

} // namespace

AdminServer::AdminServer(std::string aNode, AdminView& aView, const Clock& aClock,
                         const Observer& aObserver, Metrics& aMetrics, Poller& aPoller,
                         std::shared_ptr<MemoryAccount> aMemory)
  : node(std::move(aNode))
  , view(aView)
  , clock(aClock)
  , observer(aObserver)
  , metrics(aMetrics)
  , memory(std::move(aMemory))
  , server(aPoller, aClock, *this, this->memory)
{
  this->server.SetMaxConnections(kMaxConnections);
}

void AdminServer::OnRequest(const std::shared_ptr<IngressExchange>& aExchange,
                            IngressRequest aRequest)
{
  const std::string& target = aRequest.head.target;
  const Page page =
    this->Answer(aRequest.head.method, target.substr(0, target.find('?')), QueryOf(target));
  aExchange->Respond(page.status, soup_status_get_phrase(page.status),
                     { { "Content-Type", page.type } }, page.body);
}

AdminServer::Page AdminServer::Answer(const std::string& aMethod, const std::string& aPath,
                                      const Query& aQuery)
{
  const bool isDrain = aPath == "/drain";
  if (aMethod != (isDrain ? "POST" : "GET")) {
    return { 405, R"({"error":"method"})" };
  }
  if (isDrain) {
    this->view.BeginLeaving();
    return { 200, R"({"leaving":true})" };
  }
  if (aPath == "/metrics") {
    return { 200, this->MetricsText(), "text/plain; version=0.0.4" };
  }
  if (aPath == "/status") {
    return { 200, this->view.StatusJson() };
  }
  if (aPath == "/events") {
    return { 200, this->EventsJson(aQuery) };
  }
  if (aPath == "/config") {
    return { 200, this->ConfigJson() };
  }
  if (aPath == "/snapshot") {
    return { 200, this->view.Config().Snapshot() };
  }
  if (aPath == "/clock") {
    return { 200, this->ClockJson() };
  }
  return { 404, R"({"error":"not_found"})" };
}

std::string AdminServer::MetricsText() const
{
  for (std::size_t index = 0; index < kHolderCount; index++) {
    const auto holder = static_cast<Holder>(index);
    this->metrics.SetHeldBytes(ToString(holder), this->memory->Held(holder));
  }
  return this->metrics.Text();
}

std::string AdminServer::EventsJson(const Query& aQuery) const
{
  TimelineQuery query;
  query.after = NumberOr(ValueOf(aQuery, "after"), 0);
  query.request = ParseUuid(ValueOf(aQuery, "request")).value_or(RequestId{});
  query.account = ValueOf(aQuery, "account");
  query.subject = ValueOf(aQuery, "subject");
  query.max = std::min<std::size_t>(NumberOr(ValueOf(aQuery, "max"), query.max), kMaxEvents);
  Json events = Json::array();
  for (const TimelineEntry& entry : this->observer.Events().Select(query)) {
    Json json = { { "seq", entry.sequence },
                  { "wall_ms", entry.wall.time_since_epoch().count() },
                  { "node", this->node },
                  { "kind", ToString(entry.event.kind) } };
    for (const EventField& field : this->observer.FieldsOf(entry.event)) {
      json[field.key] = field.value;
    }
    events.push_back(std::move(json));
  }
  return Dump({ { "events", events }, { "last", this->observer.Events().LastSequence() } });
}

std::string AdminServer::ConfigJson() const
{
  const ConfigState& config = this->view.Config();
  Json records = Json::array();
  for (const RecordKind kind :
       { RecordKind::kAccount, RecordKind::kTier, RecordKind::kPool, RecordKind::kMove,
         RecordKind::kVerdict, RecordKind::kDrain, RecordKind::kOrder, RecordKind::kUnknown }) {
    for (const ConfigState::Stored* stored : config.List(kind)) {
      records.push_back(RecordJson(*stored));
    }
  }
  return Dump({ { "node", this->node }, { "offset", config.Next() }, { "records", records } });
}

std::string AdminServer::ClockJson() const
{
  const Now now = this->clock.Read();
  return Dump({ { "node", this->node },
                { "steady_us", now.steady.time_since_epoch().count() },
                { "wall_ms", now.wall.time_since_epoch().count() } });
}

} // namespace caraway
