#include "tools/history.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

namespace caraway {

namespace {

constexpr const char* kId = "0196f3a0-0000-7000-8000-000000000001";

std::string Line(int aSecond, const std::string& aProcess, const std::string& aRest)
{
  return "time=2026-12-04T03:00:" + std::string(aSecond < 10 ? "0" : "") + std::to_string(aSecond) +
         ".000 level=DEBUG process=" + aProcess + " " + aRest + "\n";
}

std::string RequestLine(int aSecond, const std::string& aProcess, const std::string& aRest)
{
  return Line(aSecond, aProcess, aRest + " request=" + kId);
}

std::vector<HistoryFinding> CheckLog(const std::string& aLog)
{
  std::istringstream stream(aLog);
  HistoryChecker checker;
  checker.Read(stream, "log");
  return checker.Check();
}

void RequireOneFinding(const std::string& aLog, Invariant aInvariant)
{
  const std::vector<HistoryFinding> findings = CheckLog(aLog);
  BOOST_REQUIRE(findings.size() == 1U);
  BOOST_TEST((findings[0].invariant == aInvariant));
}

} // namespace

BOOST_AUTO_TEST_SUITE(history)

BOOST_AUTO_TEST_CASE(quoted_values_are_parsed)
{
  const auto event =
    ParseLogLine("time=2026-12-04T03:00:01.250 event=peer_up a=\"b \\\"c\\\"\"", "x:1");
  BOOST_REQUIRE(event.has_value());
  BOOST_TEST(event->fields.at("a") == "b \"c\"");
  BOOST_TEST(event->time.count() % 60000 == 1250);
}

BOOST_AUTO_TEST_CASE(valid_history_has_no_findings)
{
  BOOST_TEST(CheckLog(RequestLine(1, "e", "event=accepted") +
                      RequestLine(2, "a", "event=dispatched") +
                      RequestLine(3, "a", "event=finished outcome=answered chunks=4") +
                      RequestLine(3, "e", "event=finished outcome=answered tier=1 chunks=4"))
               .empty());
}

BOOST_AUTO_TEST_CASE(second_dispatch_is_reported)
{
  RequireOneFinding(RequestLine(1, "a", "event=dispatched") +
                      RequestLine(2, "b", "event=dispatched"),
                    Invariant::kDispatchOnce);
}

BOOST_AUTO_TEST_CASE(unsent_dispatch_is_not_counted)
{
  BOOST_TEST(CheckLog(RequestLine(1, "a", "event=dispatched") +
                      RequestLine(2, "a", "event=finished outcome=not_run") +
                      RequestLine(3, "e", "event=finished outcome=not_run tier=1"))
               .empty());
}

BOOST_AUTO_TEST_CASE(false_not_run_is_reported)
{
  RequireOneFinding(RequestLine(1, "a", "event=dispatched") +
                      RequestLine(2, "e", "event=finished outcome=not_run tier=1"),
                    Invariant::kNotRunIsTrue);
}

BOOST_AUTO_TEST_CASE(incomplete_answer_is_reported)
{
  RequireOneFinding(RequestLine(1, "a", "event=finished outcome=answered chunks=4") +
                      RequestLine(2, "e", "event=finished outcome=answered tier=1 chunks=3"),
                    Invariant::kWholeAnswer);
}

BOOST_AUTO_TEST_CASE(dispatch_after_the_leaving_notice_is_reported)
{
  RequireOneFinding(Line(1, "a", "event=leaving") + RequestLine(9, "a", "event=dispatched"),
                    Invariant::kLeavingIsIdle);
}

BOOST_AUTO_TEST_CASE(cut_by_shutdown_and_configuration_regression_are_reported)
{
  RequireOneFinding(RequestLine(1, "a", "event=finished outcome=cut reason=draining"),
                    Invariant::kNoCutOnLeaving);
  RequireOneFinding(Line(1, "a", "event=config next=9") + Line(2, "a", "event=config next=8"),
                    Invariant::kConfigForward);
}

BOOST_AUTO_TEST_CASE(violation_reported_by_a_process_is_included)
{
  RequireOneFinding(RequestLine(1, "a", "event=violation subject=once_only"), Invariant::kOnceOnly);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
