#include "tools/event_page.h"

#include "tools/time_text.h"

#include <set>

namespace caraway {

namespace {

constexpr std::string_view kPageHeader = R"(<!doctype html>
<html><head><meta charset="utf-8"><title>carawayline events</title>
<style>
body { font: 13px sans-serif; margin: 1em; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 2px 8px; border-bottom: 1px solid #ddd; vertical-align: top; }
td { font-family: monospace; }
tr.violation, tr.security { background: #fdd; }
tr.move, tr.config { background: #eef; }
input { width: 40em; margin-bottom: 1em; }
</style></head><body>
<input id="filter" placeholder="show rows that contain this text">
<table><thead><tr><th>time</th><th>node</th><th>kind</th><th>request</th><th>peer</th><th>fields</th>
</tr></thead><tbody>
)";

constexpr std::string_view kPageFooter = R"(</tbody></table>
<script>
document.getElementById('filter').addEventListener('input', function () {
  const text = this.value;
  for (const row of document.querySelectorAll('tbody tr')) {
    row.hidden = !row.textContent.includes(text);
  }
});
</script></body></html>
)";

std::string EscapeHtml(const std::string& aText)
{
  std::string escaped;
  for (const char character : aText) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

std::string TableCell(const std::string& aText)
{
  return "<td>" + EscapeHtml(aText) + "</td>";
}

} // namespace

std::string FormatFields(const ReportedEvent& aEvent)
{
  static const std::set<std::string> kColumns = { "node", "seq",     "wall_ms",
                                                  "kind", "request", "peer" };
  std::string text;
  for (const auto& [key, value] : aEvent.json.items()) {
    if (!kColumns.contains(key)) {
      text += (text.empty() ? "" : " ") + key + "=" +
              (value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  return text;
}

std::string RenderEventPage(const std::vector<ReportedEvent>& aEvents)
{
  std::string page(kPageHeader);
  for (const ReportedEvent& event : aEvents) {
    page += "<tr class=\"" + EscapeHtml(event.kind) + "\">" + TableCell(FormatTime(event.ordered)) +
            TableCell(event.node) + TableCell(event.kind) + TableCell(event.request) +
            TableCell(event.peer) + TableCell(FormatFields(event)) + "</tr>\n";
  }
  page += kPageFooter;
  return page;
}

} // namespace caraway
