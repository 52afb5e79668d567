#include "core/uuid.h"

#include <boost/test/unit_test.hpp>

namespace caraway {

BOOST_AUTO_TEST_SUITE(uuid)

BOOST_AUTO_TEST_CASE(text_form_round_trips)
{
  Random random(1);
  const WallTime time(std::chrono::milliseconds(1764816512345));
  const RequestId id = MakeUuid7(time, random);
  const auto parsed = ParseUuid(FormatUuid(id));
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST((*parsed == id));
  BOOST_TEST((TimeOfUuid7(*parsed) == time));
}

BOOST_AUTO_TEST_CASE(malformed_text_is_rejected)
{
  BOOST_TEST(!ParseUuid("").has_value());
  BOOST_TEST(!ParseUuid("0196f3a0-0000-7000-8000-00000000000G").has_value());
  BOOST_TEST(!ParseUuid("0196f3a0x0000-7000-8000-000000000000").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
