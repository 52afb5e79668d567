#include "runtime/header_fields.h"

#include "runtime/http_reader.h"
#include "runtime/memory_account.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

namespace caraway {

namespace {

using Pairs = std::vector<std::pair<std::string, std::string>>;

Pairs PairsOf(const HeaderFields& aFields)
{
  Pairs pairs;
  for (const FieldView& field : aFields) {
    pairs.emplace_back(field.name, field.value);
  }
  return pairs;
}

} // namespace

BOOST_AUTO_TEST_SUITE(header_fields)

BOOST_AUTO_TEST_CASE(fields_come_back_in_their_order)
{
  const Pairs pairs = { { "A", "" },
                        { "b", "x: y" },
                        { "A", "\t z" },
                        { "Date", "1:2:3" },
                        { std::string(300, 'n'), "v" },
                        { "long", std::string(70000, 'v') },
                        { std::string(254, 'm'), std::string(65535, '\n') } };
  HeaderFields fields;
  for (const auto& [name, value] : pairs) {
    fields.push_back({ name, value });
  }
  BOOST_TEST(fields.size() == pairs.size());
  BOOST_TEST((PairsOf(fields) == pairs));
  BOOST_TEST(FindField(fields, "a")->value == "");
  BOOST_TEST(FindField(fields, "B")->value == "x: y");
  BOOST_TEST(!FindField(fields, "").has_value());
  BOOST_TEST(PairsOf(HeaderFields()).empty());
}

BOOST_AUTO_TEST_CASE(lines_are_as_long_as_they_were_received)
{
  std::string out;
  AppendHeaderLines(out, { { "a", "" }, { "b", "1" } });
  BOOST_TEST(out == "a:\r\nb: 1\r\n");
}

// A head of the usual limit may have 4,000 fields. They take no more than its bytes.
BOOST_AUTO_TEST_CASE(a_head_of_thousands_of_lines_takes_its_bytes)
{
  constexpr std::size_t kMaxHeadBytes = 16384;
  std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
  for (int i = 0; i < 4000; i++) {
    head += "a:\r\n";
  }
  head += "\r\n";
  const std::size_t size = head.size();
  RequestReader reader(kMaxHeadBytes, 0);
  BOOST_TEST((reader.Read(head) == ReadState::kDone));
  BOOST_TEST(reader.Head().fields.size() == 4001U);
  BOOST_TEST(reader.Head().fields.Bytes() <= size);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(memory_account)

BOOST_AUTO_TEST_CASE(shares_count_until_they_end)
{
  const auto account = std::make_shared<MemoryAccount>();
  {
    MemoryShare first(account, Holder::kReading, 10);
    MemoryShare second = std::move(first);
    first = MemoryShare(account, Holder::kBody, 5);
    second.Set(7);
    BOOST_TEST(account->Held(Holder::kReading) == 7U);
    BOOST_TEST(account->Held(Holder::kBody) == 5U);
    BOOST_TEST(account->Held() == 12U);
    second = std::move(first);
    BOOST_TEST(account->Held() == 5U);
  }
  BOOST_TEST(account->Held() == 0U);
}

// What a crowd holds leaves room for requests of the usual size, and a small VM has smaller limits.
BOOST_AUTO_TEST_CASE(usual_requests_keep_a_share)
{
  const auto account = std::make_shared<MemoryAccount>(std::size_t{ 32 } << 20);
  const MemoryLimits& limits = account->Limits();
  BOOST_TEST(limits.total < LimitsFor(0).total);
  BOOST_TEST(LimitsFor(std::size_t{ 1 } << 34).total == LimitsFor(0).total);
  std::vector<MemoryShare> crowd;
  while (account->HasRoomFor(16384)) {
    crowd.emplace_back(account, Holder::kRequest, 16384);
  }
  BOOST_TEST(account->Held() <= limits.requests);
  BOOST_TEST(account->HasRoomFor(kUsualRequestBytes));
  const MemoryShare bodies(account, Holder::kBody, limits.smallBodies);
  const MemoryShare answers(account, Holder::kAnswer, limits.answers);
  BOOST_TEST(account->HasRoomFor(kUsualRequestBytes));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
