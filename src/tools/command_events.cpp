// carawayctl events: prints the merged timeline of all processes.
#include "tools/command.h"
#include "tools/event_order.h"
#include "tools/event_page.h"
#include "tools/time_text.h"

namespace caraway {

namespace {

namespace po = boost::program_options;
using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint32_t kMaxEventsPerPage = 10000; // requested from a process at once

// Percent-encodes a query value.
std::string PercentEncode(const std::string& aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string text;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.') {
      text += character;
    } else {
      text += '%';
      text += kDigits[byte >> 4];
      text += kDigits[byte & 15];
    }
  }
  return text;
}

class EventsCommand final : public Command
{
public:
  std::string Name() const override { return "events"; }
  std::string Usage() const override
  {
    return "[--request ID] [--account NAME] [--subject NAME] [--node NODE] [--kind KIND] "
           "[--max N] [--html]";
  }
  std::string Summary() const override
  {
    return "merges the timelines of all processes; each message is sent before it is received";
  }
  std::vector<std::string> Examples() const override
  {
    return { "events --request 019ae742-e559-797f-b78d-93e6884f583f",
             "events --subject chat-v2 --json", "events --account shop --html >events.html" };
  }

  int Run(CommandContext& aContext, const std::vector<std::string>& aArguments) override
  {
    po::options_description options;
    options.add_options()("html", po::bool_switch())(
      "max", po::value<std::uint32_t>()->default_value(1000));
    for (const char* name : { "request", "account", "subject", "node", "kind" }) {
      options.add_options()(name, po::value<std::string>()->default_value(""));
    }
    const auto values = ParseArguments(options, {}, false, aArguments);
    VmAnswer list = aContext.platform.ListVms();
    if (list.error) {
      return ReportUnreachable(aContext, "VM list", list.error);
    }
    const auto node = values["node"].as<std::string>();
    std::erase_if(list.vms, [&](const Vm& aVm) { return !node.empty() && aVm.name != node; });
    bool isComplete = true;
    auto events = this->Collect(aContext, list.vms, this->BuildQuery(values), isComplete);
    OrderEvents(events);
    const auto kind = values["kind"].as<std::string>();
    std::erase_if(events, [&](const auto& aEvent) { return !kind.empty() && aEvent.kind != kind; });
    const std::size_t max = values["max"].as<std::uint32_t>();
    if (events.size() > max) {
      events.erase(events.begin(), events.end() - static_cast<std::ptrdiff_t>(max));
    }
    this->Show(aContext, events, values["html"].as<bool>());
    return isComplete ? kExitOk : kExitUnreachable;
  }

private:
  static std::string BuildQuery(const po::variables_map& aValues)
  {
    std::string query = "/events?max=" + std::to_string(kMaxEventsPerPage);
    for (const char* name : { "request", "account", "subject" }) {
      const auto value = aValues[name].as<std::string>();
      if (!value.empty()) {
        query += std::string("&") + name + "=" + PercentEncode(value);
      }
    }
    return query;
  }

  // Difference between this machine's clock and each process's, taken at the midpoint of the call.
  static std::map<std::string, milliseconds> ClockOffsets(CommandContext& aContext,
                                                          const std::vector<Vm>& aVms)
  {
    const WallTime before = aContext.waiter.Read().wall;
    const auto answers = aContext.fleet.Get(aVms, "/clock");
    const WallTime after = aContext.waiter.Read().wall;
    const WallTime midpoint = before + (after - before) / 2;
    std::map<std::string, milliseconds> offsets;
    for (const auto& [name, answer] : answers) {
      const Json clock = Json::parse(answer.IsOk() ? answer.body : "", nullptr, false);
      if (clock.is_object() && clock.contains("wall_ms")) {
        const WallTime remoteTime(milliseconds(clock["wall_ms"].get<std::int64_t>()));
        offsets[name] = midpoint - remoteTime;
      }
    }
    return offsets;
  }

  // Reads the events of all processes, in pages. aIsComplete becomes false if one does not answer.
  static std::vector<ReportedEvent> Collect(CommandContext& aContext, const std::vector<Vm>& aVms,
                                            const std::string& aQuery, bool& aIsComplete)
  {
    const auto offsets = ClockOffsets(aContext, aVms);
    std::vector<ReportedEvent> events;
    for (const Vm& vm : aVms) {
      const auto offset = offsets.contains(vm.name) ? offsets.at(vm.name) : milliseconds(0);
      std::uint64_t after = 0;
      while (true) {
        const std::string path = aQuery + "&after=" + std::to_string(after);
        const auto answers = aContext.fleet.Get({ vm }, path);
        const NodeAnswer& answer = answers.at(vm.name);
        if (!answer.IsOk()) {
          aContext.err << "carawayctl: " << vm.name << " does not answer\n";
          aIsComplete = false;
          break;
        }
        auto page = ReadEvents(answer.body, offset);
        const bool isLastPage = page.size() < kMaxEventsPerPage;
        after = page.empty() ? after : page.back().sequence;
        std::move(page.begin(), page.end(), std::back_inserter(events));
        if (isLastPage) {
          break;
        }
      }
    }
    return events;
  }

  static void Show(CommandContext& aContext, const std::vector<ReportedEvent>& aEvents, bool aHtml)
  {
    if (aHtml) {
      aContext.out << RenderEventPage(aEvents);
      return;
    }
    for (const ReportedEvent& event : aEvents) {
      if (aContext.json) {
        Json json = event.json;
        json["ordered_ms"] = event.ordered.time_since_epoch().count();
        aContext.out << json.dump() << "\n";
        continue;
      }
      aContext.out << FormatTime(event.ordered) << " " << event.node << " " << event.kind;
      if (!event.request.empty()) {
        aContext.out << " request=" << event.request;
      }
      if (!event.peer.empty()) {
        aContext.out << " peer=" << event.peer;
      }
      const std::string fields = FormatFields(event);
      aContext.out << (fields.empty() ? "" : " ") << fields << "\n";
    }
  }
};

} // namespace

std::unique_ptr<Command> MakeEventsCommand()
{
  return std::make_unique<EventsCommand>();
}

} // namespace caraway
