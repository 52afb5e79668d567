#include "runtime/admin_server.h"

#include "core/uuid.h"
#include "runtime/soup_listen.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <utility>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr const char* kJson = "application/json";
constexpr std::size_t kMaxEvents = 10000; // in one answer

std::string Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::uint64_t NumberOr(const std::string& aText, std::uint64_t aDefault)
{
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  const bool whole = error == std::errc{} && end == aText.data() + aText.size();
  return whole ? value : aDefault;
}

std::string ValueOf(const std::map<std::string, std::string>& aQuery, const std::string& aKey)
{
  const auto found = aQuery.find(aKey);
  return found != aQuery.end() ? found->second : "";
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
                         const Observer& aObserver, const Metrics& aMetrics)
  : node(std::move(aNode))
  , view(aView)
  , clock(aClock)
  , observer(aObserver)
  , metrics(aMetrics)
  , server(soup_server_new(nullptr, nullptr))
{
  soup_server_add_handler(this->server.get(), nullptr, &AdminServer::OnRequest, this, nullptr);
}

AdminServer::~AdminServer()
{
  soup_server_disconnect(this->server.get());
}

std::error_code AdminServer::Start(const Address& aAddress)
{
  return ListenAt(this->server.get(), aAddress, false);
}

std::uint16_t AdminServer::Port() const
{
  return PortOf(this->server.get());
}

void AdminServer::OnRequest(SoupServer*, SoupServerMessage* aMessage, const char* aPath,
                            GHashTable* aQuery, void* aData)
{
  Query query;
  if (aQuery != nullptr) {
    GHashTableIter iterator;
    void* key = nullptr;
    void* value = nullptr;
    g_hash_table_iter_init(&iterator, aQuery);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
      query[static_cast<const char*>(key)] = static_cast<const char*>(value);
    }
  }
  static_cast<AdminServer*>(aData)->Answer(aMessage, aPath, query);
}

void AdminServer::Answer(SoupServerMessage* aMessage, const std::string& aPath, const Query& aQuery)
{
  const std::string method = soup_server_message_get_method(aMessage);
  const bool drain = aPath == "/drain";
  if (method != (drain ? "POST" : "GET")) {
    Reply(aMessage, 405, kJson, R"({"error":"method"})");
  } else if (drain) {
    this->view.BeginLeaving();
    Reply(aMessage, 200, kJson, R"({"leaving":true})");
  } else if (aPath == "/metrics") {
    Reply(aMessage, 200, "text/plain; version=0.0.4", this->metrics.Text());
  } else if (aPath == "/status") {
    Reply(aMessage, 200, kJson, this->view.StatusJson());
  } else if (aPath == "/events") {
    Reply(aMessage, 200, kJson, this->EventsJson(aQuery));
  } else if (aPath == "/config") {
    Reply(aMessage, 200, kJson, this->ConfigJson());
  } else if (aPath == "/snapshot") {
    Reply(aMessage, 200, kJson, this->view.Config().Snapshot());
  } else if (aPath == "/clock") {
    Reply(aMessage, 200, kJson, this->ClockJson());
  } else {
    Reply(aMessage, 404, kJson, R"({"error":"not_found"})");
  }
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
