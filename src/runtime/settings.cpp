#include "runtime/settings.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <fstream>
#include <functional>
#include <iterator>
#include <set>
#include <span>
#include <sstream>

namespace caraway {

namespace {

using Json = nlohmann::json;

constexpr double kMaxCount = 4294967295.0;
constexpr std::size_t kHexKeyDigits = 2 * kClusterKeyBytes;

// One setting whose value is a string, an address, a number or a boolean.
template<class Owner>
struct SettingRow
{
  using Member =
    std::variant<std::string Owner::*, Address Owner::*, std::uint32_t Owner::*, bool Owner::*>;
  const char* name;
  Member member;
  bool required;
  double low;          // numbers: min. value
  double high;         // numbers: max. value
  const char* choices; // strings: comma-separated valid values; if empty, any non-empty string
  const char* help;
};

constexpr std::array kLinkRows = {
  OptionRow<LinkOptions>{ "heartbeat_ms", &LinkOptions::heartbeatInterval, 20, 60000,
                          "longest silence of a live sender" },
  OptionRow<LinkOptions>{ "peer_timeout_ms", &LinkOptions::peerTimeout, 50, 600000,
                          "silence after which a peer counts as dead" },
  OptionRow<LinkOptions>{ "handshake_timeout_ms", &LinkOptions::handshakeTimeout, 50, 60000,
                          "time from a connection to its first Hello" },
  OptionRow<LinkOptions>{ "min_backoff_ms", &LinkOptions::minBackoff, 1, 60000,
                          "wait before the first reconnection" },
  OptionRow<LinkOptions>{ "max_backoff_ms", &LinkOptions::maxBackoff, 1, 600000,
                          "longest wait between reconnections" },
  OptionRow<LinkOptions>{ "max_frame_bytes", &LinkOptions::maxFrameBytes, 4096, 1 << 30,
                          "largest frame accepted" },
  OptionRow<LinkOptions>{ "max_queue_bytes", &LinkOptions::maxQueueBytes, 65536, 1 << 30,
                          "unsent bytes after which a link is dropped" },
};

template<class Owner>
constexpr std::array kCommonRows = {
  SettingRow<Owner>{ "name", &Owner::name, true, 0, 0, "", "unique name of the process" },
  SettingRow<Owner>{ "region", &Owner::region, true, 0, 0, "", "region of the VM" },
  SettingRow<Owner>{ "failure_domain", &Owner::failureDomain, true, 0, 0, "",
                     "failure domain of the VM" },
  SettingRow<Owner>{ "platform", &Owner::platform, true, 0, 0, "", "log service and VM list" },
  SettingRow<Owner>{ "admin", &Owner::admin, true, 0, 0, "", "listener for operators" },
  SettingRow<Owner>{ "log_level", &Owner::logLevel, false, 0, 0, "debug,info,warning,error",
                     "least important events that are logged" },
  SettingRow<Owner>{ "timeline_events", &Owner::timelineEvents, false, 16, 10000000, "",
                     "events kept for `carawayctl events`" },
  SettingRow<Owner>{ "memory_mb", &Owner::memoryMb, false, 0, 1 << 30, "",
                     "memory that this process may use, in MB; 0: half of the VM's" },
};

constexpr std::array kEntryRows = {
  SettingRow<EntrySettings>{ "listen", &EntrySettings::listen, true, 0, 0, "",
                             "listener for callers" },
  SettingRow<EntrySettings>{ "max_body_bytes", &EntrySettings::maxBodyBytes, false, 1, 1 << 28, "",
                             "largest request body accepted" },
  SettingRow<EntrySettings>{ "max_head_bytes", &EntrySettings::maxHeadBytes, false, 1024, 1 << 20,
                             "", "largest request line with header fields accepted" },
  SettingRow<EntrySettings>{ "request_read_ms", &EntrySettings::requestReadMs, false, 100, 600000,
                             "", "longest time in which a whole request must arrive" },
  SettingRow<EntrySettings>{ "idle_ms", &EntrySettings::idleMs, false, 1000, 86400000, "",
                             "longest time that a connection is kept without a request" },
  SettingRow<EntrySettings>{ "peer_listen", &EntrySettings::peerListen, true, 0, 0, "",
                             "listener for other entries" },
};

constexpr std::array kAgentRows = {
  SettingRow<AgentSettings>{ "listen", &AgentSettings::listen, true, 0, 0, "",
                             "listener for entries" },
  SettingRow<AgentSettings>{ "endpoint", &AgentSettings::endpoint, true, 0, 0, "",
                             "address of the endpoint" },
  SettingRow<AgentSettings>{ "pool", &AgentSettings::pool, true, 0, 0, "",
                             "model or plain service that the endpoint serves" },
  SettingRow<AgentSettings>{ "version", &AgentSettings::version, true, 0, 0, "",
                             "version of the endpoint" },
  SettingRow<AgentSettings>{ "engine_checks_fencing", &AgentSettings::engineChecksFencing, false, 0,
                             0, "", "the endpoint refuses orders with an older fencing number" },
};

// A setting that is not read through a table but by dedicated code.
struct CustomRow
{
  const char* name;
  const char* type;
  bool required;
  const char* help;
};

constexpr std::array kCommonCustomRows = {
  CustomRow{ "cluster_key", "64 hexadecimal digits", false,
             "key shared by all processes of the system; this or `cluster_key_file`" },
  CustomRow{ "cluster_key_file", "file name", false, "file that holds the shared key" },
  CustomRow{ "seed", "whole number", false, "seed of the random source, for tests" },
  CustomRow{ "links", "object", false, "connections between processes, see below" },
};

constexpr std::array kEntryCustomRows = {
  CustomRow{ "tls", "object", false,
             "`certificate_file` and `key_file` (PEM); none: callers use plain HTTP" },
  CustomRow{ "options", "object", false, "decisions of the entry, see below" },
};

constexpr std::array kAgentCustomRows = {
  CustomRow{ "endpoint_kind", "`engine` or `service`", true, "kind of the endpoint" },
  CustomRow{ "options", "object", false, "decisions of the agent, see below" },
};

std::string FormatNumber(double aValue)
{
  std::ostringstream out;
  out.precision(12);
  out << aValue;
  return out.str();
}

bool IsChoice(std::string_view aChoices, std::string_view aValue)
{
  const std::string delimitedChoices = "," + std::string(aChoices) + ",";
  return delimitedChoices.find("," + std::string(aValue) + ",") != std::string::npos;
}

// Reads the members of one JSON object and reports findings under its JSON pointer.
class ObjectReader
{
public:
  ObjectReader(const Json& aObject, std::string aPointer, std::vector<Finding>& aFindings)
    : object(aObject)
    , pointer(std::move(aPointer))
    , findings(aFindings)
  {
  }

  void Report(const std::string& aName, std::string aText)
  {
    this->findings.push_back(Finding{ this->pointer + "/" + aName, std::move(aText) });
  }

  // The member named aName, or nullptr if it is missing; a missing required member is reported.
  const Json* FindMember(const std::string& aName, bool aRequired)
  {
    this->knownNames.insert(aName);
    const auto found = this->object.find(aName);
    if (found != this->object.end()) {
      return &*found;
    }
    if (aRequired) {
      this->Report(aName, "is missing");
    }
    return nullptr;
  }

  template<class Owner>
  void Read(const SettingRow<Owner>& aRow, Owner& aOwner)
  {
    if (const Json* value = this->FindMember(aRow.name, aRow.required)) {
      std::visit([&](auto aMember) { this->Assign(aRow, *value, aOwner.*aMember); }, aRow.member);
    }
  }

  template<class Owner>
  void ReadOption(const OptionRow<Owner>& aRow, Owner& aOwner)
  {
    const Json* value = this->FindMember(aRow.name, false);
    if (value == nullptr || !this->InRange(aRow.name, *value, aRow.low, aRow.high)) {
      return;
    }
    const double number = value->get<double>();
    if (const auto* duration = std::get_if<Duration Owner::*>(&aRow.member)) {
      aOwner.** duration =
        std::chrono::round<Duration>(std::chrono::duration<double, std::milli>(number));
    } else if (const auto* count = std::get_if<std::uint32_t Owner::*>(&aRow.member)) {
      if (std::floor(number) != number) {
        this->Report(aRow.name, "must be a whole number");
        return;
      }
      aOwner.** count = static_cast<std::uint32_t>(number);
    } else {
      aOwner.*std::get<double Owner::*>(aRow.member) = number;
    }
  }

  // Value of a string member; nullopt if it is missing or invalid, which is reported.
  std::optional<std::string> ReadText(const std::string& aName, bool aRequired)
  {
    const Json* value = this->FindMember(aName, aRequired);
    if (value == nullptr) {
      return std::nullopt;
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
      this->Report(aName, "must be a non-empty string");
      return std::nullopt;
    }
    return value->get<std::string>();
  }

  void ReportUnknown()
  {
    for (const auto& [name, value] : this->object.items()) {
      if (!this->knownNames.contains(name)) {
        this->Report(name, "is not a known setting");
      }
    }
  }

  const std::string& Pointer() const { return this->pointer; }
  std::vector<Finding>& Findings() { return this->findings; }

private:
  template<class Row>
  void Assign(const Row& aRow, const Json& aValue, std::string& aTarget)
  {
    if (!aValue.is_string() || aValue.get_ref<const std::string&>().empty()) {
      this->Report(aRow.name, "must be a non-empty string");
      return;
    }
    const auto& text = aValue.get_ref<const std::string&>();
    if (*aRow.choices != '\0' && !IsChoice(aRow.choices, text)) {
      this->Report(aRow.name, std::string("must be one of ") + aRow.choices);
      return;
    }
    aTarget = text;
  }

  template<class Row>
  void Assign(const Row& aRow, const Json& aValue, Address& aTarget)
  {
    const auto address =
      aValue.is_string() ? ParseAddress(aValue.get_ref<const std::string&>()) : std::nullopt;
    if (!address) {
      this->Report(aRow.name, "must be an IP address and a port, such as 127.0.0.1:8080");
      return;
    }
    aTarget = *address;
  }

  template<class Row>
  void Assign(const Row& aRow, const Json& aValue, std::uint32_t& aTarget)
  {
    if (!this->InRange(aRow.name, aValue, aRow.low, aRow.high)) {
      return;
    }
    if (!aValue.is_number_integer()) {
      this->Report(aRow.name, "must be a whole number");
      return;
    }
    aTarget = aValue.get<std::uint32_t>();
  }

  template<class Row>
  void Assign(const Row& aRow, const Json& aValue, bool& aTarget)
  {
    if (!aValue.is_boolean()) {
      this->Report(aRow.name, "must be true or false");
      return;
    }
    aTarget = aValue.get<bool>();
  }

  bool InRange(const char* aName, const Json& aValue, double aLow, double aHigh)
  {
    const bool valid =
      aValue.is_number() && aValue.get<double>() >= aLow && aValue.get<double>() <= aHigh;
    if (!valid) {
      this->Report(aName,
                   "must be a number from " + FormatNumber(aLow) + " to " + FormatNumber(aHigh));
    }
    return valid;
  }

  const Json& object;
  std::string pointer;
  std::vector<Finding>& findings;
  std::set<std::string> knownNames;
};

// Reads a nested object of options described by aTable.
template<class Owner>
void ReadOptions(ObjectReader& aParent, const char* aName, std::span<const OptionRow<Owner>> aTable,
                 Owner& aOwner)
{
  const Json* value = aParent.FindMember(aName, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    aParent.Report(aName, "must be an object");
    return;
  }
  ObjectReader reader(*value, aParent.Pointer() + "/" + aName, aParent.Findings());
  for (const OptionRow<Owner>& row : aTable) {
    reader.ReadOption(row, aOwner);
  }
  reader.ReportUnknown();
}

std::optional<ClusterKey> ParseKey(std::string_view aHex)
{
  while (!aHex.empty() && std::isspace(static_cast<unsigned char>(aHex.back()))) {
    aHex.remove_suffix(1);
  }
  if (aHex.size() != kHexKeyDigits) {
    return std::nullopt;
  }
  ClusterKey key{};
  for (std::size_t i = 0; i < key.size(); ++i) {
    const int high = g_ascii_xdigit_value(aHex[2 * i]);
    const int low = g_ascii_xdigit_value(aHex[2 * i + 1]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    key[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return key;
}

std::optional<std::string> ReadFile(const std::string& aName)
{
  std::ifstream file(aName, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// Reads the cluster key from the setting itself or from the key file.
void ReadClusterKey(ObjectReader& aReader, ClusterKey& aKey)
{
  const Json* inlineKey = aReader.FindMember("cluster_key", false);
  const Json* keyFile = aReader.FindMember("cluster_key_file", false);
  if ((inlineKey == nullptr) == (keyFile == nullptr)) {
    aReader.Report("cluster_key", "exactly one of cluster_key and cluster_key_file must be set");
    return;
  }
  const char* name = inlineKey != nullptr ? "cluster_key" : "cluster_key_file";
  std::optional<std::string> text = aReader.ReadText(name, true);
  if (!text) {
    return;
  }
  if (keyFile != nullptr) {
    text = ReadFile(*text);
    if (!text) {
      aReader.Report(name, "cannot open the key file");
      return;
    }
  }
  const std::optional<ClusterKey> key = ParseKey(*text);
  if (!key) {
    aReader.Report(name, "must contain exactly 64 hexadecimal digits");
    return;
  }
  aKey = *key;
}

void ReadSeed(ObjectReader& aReader, std::optional<std::uint64_t>& aSeed)
{
  const Json* value = aReader.FindMember("seed", false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number_unsigned()) {
    aReader.Report("seed", "must be a non-negative whole number");
    return;
  }
  aSeed = value->get<std::uint64_t>();
}

void ReadTls(ObjectReader& aReader, std::optional<TlsFiles>& aTls)
{
  const Json* value = aReader.FindMember("tls", false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_object()) {
    aReader.Report("tls", "must be an object");
    return;
  }
  ObjectReader reader(*value, aReader.Pointer() + "/tls", aReader.Findings());
  const auto certificate = reader.ReadText("certificate_file", true);
  const auto key = reader.ReadText("key_file", true);
  reader.ReportUnknown();
  if (!certificate || !key) {
    return;
  }
  GError* raw = nullptr;
  const ObjectPtr<GTlsCertificate> loaded(
    g_tls_certificate_new_from_files(certificate->c_str(), key->c_str(), &raw));
  const ErrorPtr error(raw);
  if (!loaded) {
    aReader.Report("tls", std::string("cannot load the certificate or key: ") + error->message);
    return;
  }
  aTls = TlsFiles{ *certificate, *key };
}

template<class Settings>
void ReadCommon(ObjectReader& aReader, Settings& aSettings)
{
  for (const auto& row : kCommonRows<Settings>) {
    aReader.Read(row, aSettings);
  }
  ReadClusterKey(aReader, aSettings.clusterKey);
  ReadSeed(aReader, aSettings.seed);
  ReadOptions<LinkOptions>(aReader, "links", kLinkRows, aSettings.links);
  if (aSettings.links.peerTimeout < 2 * aSettings.links.heartbeatInterval) {
    aReader.Report("links/peer_timeout_ms", "must be at least twice heartbeat_ms");
  }
}

void ReadEntry(ObjectReader& aReader, EntrySettings& aSettings)
{
  ReadCommon(aReader, aSettings);
  for (const auto& row : kEntryRows) {
    aReader.Read(row, aSettings);
  }
  ReadTls(aReader, aSettings.tls);
  ReadOptions<EntryOptions>(aReader, "options", EntryOptionTable(), aSettings.options);
  if (2ULL * aSettings.maxBodyBytes > aSettings.links.maxFrameBytes) {
    aReader.Report("max_body_bytes", "must be at most half of links/max_frame_bytes");
  }
}

void ReadAgent(ObjectReader& aReader, AgentSettings& aSettings)
{
  ReadCommon(aReader, aSettings);
  for (const auto& row : kAgentRows) {
    aReader.Read(row, aSettings);
  }
  const auto kind = aReader.ReadText("endpoint_kind", true);
  if (kind && !IsChoice("engine,service", *kind)) {
    aReader.Report("endpoint_kind", "must be one of engine,service");
  }
  const bool service = kind == "service";
  aSettings.endpointKind = service ? WorkKind::kService : WorkKind::kCompletion;
  ReadOptions<AgentOptions>(aReader, "options", AgentOptionTable(), aSettings.options);
}

template<class Settings>
std::optional<Settings> ReadSettings(std::string_view aText, std::vector<Finding>& aFindings,
                                     void (*aRead)(ObjectReader&, Settings&))
{
  const std::size_t before = aFindings.size();
  Json json;
  try {
    json = Json::parse(aText);
  } catch (const Json::parse_error& error) {
    aFindings.push_back(Finding{ "", error.what() });
    return std::nullopt;
  }
  if (!json.is_object()) {
    aFindings.push_back(Finding{ "", "must be an object" });
    return std::nullopt;
  }
  Settings settings;
  ObjectReader reader(json, "", aFindings);
  aRead(reader, settings);
  reader.ReportUnknown();
  if (aFindings.size() > before) {
    return std::nullopt;
  }
  return settings;
}

// Formats a default value for the settings reference.
std::string FormatDefault(const std::string& aValue)
{
  return "`" + aValue + "`";
}

std::string FormatDefault(const Address&)
{
  return "";
}

std::string FormatDefault(std::uint32_t aValue)
{
  return std::to_string(aValue);
}

std::string FormatDefault(bool aValue)
{
  return aValue ? "true" : "false";
}

std::string FormatDefault(Duration aValue)
{
  return FormatNumber(std::chrono::duration<double, std::milli>(aValue).count());
}

std::string FormatDefault(double aValue)
{
  return FormatNumber(aValue);
}

template<class Owner>
std::string TypeOf(const SettingRow<Owner>& aRow)
{
  if (std::holds_alternative<std::string Owner::*>(aRow.member)) {
    return *aRow.choices == '\0' ? "text" : std::string("one of `") + aRow.choices + "`";
  }
  if (std::holds_alternative<Address Owner::*>(aRow.member)) {
    return "`ip:port`";
  }
  if (std::holds_alternative<bool Owner::*>(aRow.member)) {
    return "true or false";
  }
  return FormatNumber(aRow.low) + " to " + FormatNumber(aRow.high);
}

template<class Rows>
void WriteSettings(std::ostream& aOut, const Rows& aRows)
{
  using Owner = std::remove_cvref_t<decltype(
    []<class T>(const SettingRow<T>&) -> T { return {}; }(*std::begin(aRows)))>;
  const Owner defaults{};
  for (const auto& row : aRows) {
    const std::string value =
      std::visit([&](auto aMember) { return FormatDefault(defaults.*aMember); }, row.member);
    aOut << "| `" << row.name << "` | " << TypeOf(row) << " | "
         << (row.required ? "required" : value) << " | " << row.help << " |\n";
  }
}

template<class Rows>
void WriteCustomRows(std::ostream& aOut, const Rows& aRows)
{
  for (const CustomRow& row : aRows) {
    aOut << "| `" << row.name << "` | " << row.type << " | " << (row.required ? "required" : "")
         << " | " << row.help << " |\n";
  }
}

void WriteTableHeader(std::ostream& aOut, const char* aTitle)
{
  aOut << "\n## " << aTitle << "\n\n| setting | value | default | meaning |\n|---|---|---|---|\n";
}

template<class Owner>
void WriteOptions(std::ostream& aOut, const char* aTitle, std::span<const OptionRow<Owner>> aTable)
{
  const Owner defaults{};
  WriteTableHeader(aOut, aTitle);
  for (const OptionRow<Owner>& row : aTable) {
    const std::string value =
      std::visit([&](auto aMember) { return FormatDefault(defaults.*aMember); }, row.member);
    aOut << "| `" << row.name << "` | " << FormatNumber(row.low) << " to " << FormatNumber(row.high)
         << " | " << value << " | " << row.help << " |\n";
  }
}

} // namespace

std::optional<EntrySettings> ReadEntrySettings(std::string_view aText,
                                               std::vector<Finding>& aFindings)
{
  return ReadSettings<EntrySettings>(aText, aFindings, &ReadEntry);
}

std::optional<AgentSettings> ReadAgentSettings(std::string_view aText,
                                               std::vector<Finding>& aFindings)
{
  return ReadSettings<AgentSettings>(aText, aFindings, &ReadAgent);
}

std::string SettingsReference()
{
  std::ostringstream out;
  out
    << "# Settings\n\nEach process reads one JSON file. This page is printed by\n"
       "`caraway-entry --settings-reference`; a test holds it to the code. Names that end in\n"
       "`_ms` are milliseconds. A file with findings starts nothing: all findings are printed\n"
       "with their JSON pointers and the exit code is 2. `--check FILE` only checks.\n"
       "`caraway-node` reads the file of the users' platform instead; what follows for its memory\n"
       "and descriptors from `memory-mb` and `max-fds` there is in "
       "[design/memory.md](design/memory.md),\n"
       "for cold endpoints and evacuations in [design/cold-endpoints.md](design/cold-endpoints.md) "
       "and\n"
       "[design/evacuation.md](design/evacuation.md).\n";
  WriteTableHeader(out, "All processes");
  WriteSettings(out, kCommonRows<CommonSettings>);
  WriteCustomRows(out, kCommonCustomRows);
  WriteTableHeader(out, "`caraway-entry`");
  WriteSettings(out, kEntryRows);
  WriteCustomRows(out, kEntryCustomRows);
  WriteTableHeader(out, "`caraway-agent`");
  WriteSettings(out, kAgentRows);
  WriteCustomRows(out, kAgentCustomRows);
  WriteOptions<LinkOptions>(out, "`links`", kLinkRows);
  WriteOptions(out, "`options` of `caraway-entry`", EntryOptionTable());
  WriteOptions(out, "`options` of `caraway-agent`", AgentOptionTable());
  return out.str();
}

} // namespace caraway
