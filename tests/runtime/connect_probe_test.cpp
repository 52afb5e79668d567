#include "loop.h"
#include "runtime/connect_probe.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <unistd.h>

namespace caraway {

namespace {

std::optional<bool> Probe(const Address& aAddress)
{
  Poller poller;
  std::optional<bool> answer;
  ConnectProbe probe(poller, [&](bool aIsListening) { answer = aIsListening; });
  probe.Start(aAddress, std::chrono::seconds(30));
  BOOST_TEST(!answer.has_value());
  RunUntil([&] { return answer.has_value(); });
  return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(connect_probe)

BOOST_AUTO_TEST_CASE(reports_whether_a_process_listens)
{
  Poller poller;
  TcpListener listener(poller, [](int aFd) { close(aFd); });
  BOOST_REQUIRE(!listener.Listen({ "127.0.0.1", 0 }));
  const Address address{ "127.0.0.1", listener.Port() };
  BOOST_TEST((Probe(address) == true));
  listener.Close();
  BOOST_TEST((Probe(address) == false));
}

BOOST_AUTO_TEST_CASE(unreachable_address_is_reported_as_not_listening)
{
  BOOST_TEST((Probe({ "not an address", 1 }) == false));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
