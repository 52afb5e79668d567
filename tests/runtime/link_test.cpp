#include "loop.h"

#include "runtime/link_hub.h"

#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

#include <array>
#include <cstring>
#include <map>
#include <vector>

namespace caraway {

namespace {

ClusterKey KeyOf(std::uint8_t aByte)
{
  ClusterKey key;
  key.fill(aByte);
  return key;
}

const Address kAnyPort{ "127.0.0.1", 0 };

// One process with its links; records all handler callbacks.
struct Node : LinkHandler
{
  Node(const std::string& aName, std::uint64_t aIncarnation, std::uint8_t aKey = 1,
       const LinkOptions& aOptions = {})
    : name(aName)
    , self{ NodeIdOf(aName), Incarnation{ aIncarnation } }
    , random(aIncarnation)
    , hub(aOptions, KeyOf(aKey), this->self, this->clock, this->random, this->poller, *this)
  {
    BOOST_REQUIRE(!this->hub.Listen(kAnyPort));
    this->hub.Announce(this->MakeHello());
  }

  Hello MakeHello() const
  {
    Hello hello;
    hello.name = this->name;
    return hello;
  }

  Address ListenAddress() const { return { "127.0.0.1", this->hub.Port() }; }

  void OnPeerUp(Peer aPeer, const Hello& aHello) override { this->up[aPeer.node] = aHello; }
  void OnPeerDown(NodeId aNode, LinkEnd aEnd) override
  {
    this->up.erase(aNode);
    this->ends.push_back(aEnd);
  }
  void OnPeerMessage(Peer, const Message& aMessage) override { this->messages.push_back(aMessage); }
  void OnRefusedFrame(std::string_view aCause) override { ++this->refused[std::string(aCause)]; }

  std::string name;
  Peer self;
  SystemClock clock;
  Random random;
  Poller poller;
  std::map<NodeId, Hello> up;
  std::vector<LinkEnd> ends;
  std::vector<Message> messages;
  std::map<std::string, int> refused;
  LinkHub hub;
};

// A peer that sends hand-made frames to a node over a raw TCP connection.
struct FakePeer
{
  FakePeer(Node& aNode, const std::string& aName, std::uint64_t aIncarnation, std::uint8_t aKey = 1)
    : node(aNode)
    , hello{ .name = aName }
    , self{ NodeIdOf(aName), Incarnation{ aIncarnation } }
    , client(aNode.hub.Port())
  {
    const Nonce localNonce{};
    this->client.Send(
      std::string(reinterpret_cast<const char*>(localNonce.data()), localNonce.size()));
    BOOST_REQUIRE(RunUntil([&] { return this->client.Received().size() >= kNonceBytes; }));
    Nonce remoteNonce{};
    std::memcpy(remoteNonce.data(), this->client.Received().data(), remoteNonce.size());
    this->key.emplace(KeyOf(aKey), localNonce, remoteNonce);
  }

  // Encodes a frame with the next sequence number.
  std::string Frame(const Message& aMessage, Peer aTo)
  {
    std::string bytes;
    AppendFrame(bytes, *this->key, Direction::kFromDialer, this->sequence++,
                EncodeEnvelope(Envelope{ this->self, aTo, aMessage }));
    return bytes;
  }

  std::string HelloFrame() { return this->Frame(this->hello, Peer{}); }

  void CompleteHandshake()
  {
    this->client.Send(this->HelloFrame());
    BOOST_REQUIRE(RunUntil([&] { return this->node.up.contains(this->self.node); }));
  }

  bool IsRefused(const std::string& aCause)
  {
    return RunUntil([&] { return this->client.IsClosed() && this->node.refused[aCause] == 1; });
  }

  Node& node;
  Hello hello;
  Peer self;
  RawTcpClient client;
  std::optional<SessionKey> key;
  std::uint64_t sequence = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(link)

BOOST_AUTO_TEST_CASE(peers_connect_and_exchange_messages_in_order)
{
  Node agent("agent", 1);
  Node entry("entry", 2);
  entry.hub.Dial(agent.ListenAddress());
  BOOST_REQUIRE(RunUntil([&] { return entry.up.size() == 1 && agent.up.size() == 1; }));
  BOOST_TEST(agent.up[entry.self.node].name == "entry");

  constexpr std::uint32_t kCount = 2000;
  for (std::uint32_t i = 0; i < kCount; ++i) {
    entry.hub.Send(agent.self.node, Chunk{ {}, i, 1, std::string(i, 'x') });
  }
  BOOST_REQUIRE(RunUntil([&] { return agent.messages.size() == kCount; }));
  for (std::uint32_t i = 0; i < kCount; ++i) {
    const auto& chunk = std::get<Chunk>(agent.messages[i]);
    BOOST_REQUIRE(chunk.number == i);
    BOOST_REQUIRE(chunk.data.size() == i);
  }
}

BOOST_AUTO_TEST_CASE(changed_hello_is_sent_again_and_an_equal_one_is_not)
{
  Node agent("agent", 1);
  Node entry("entry", 2);
  entry.hub.Dial(agent.ListenAddress());
  BOOST_REQUIRE(RunUntil([&] { return entry.up.size() == 1 && agent.up.size() == 1; }));
  agent.hub.Announce(agent.MakeHello());
  Hello leaving = agent.MakeHello();
  leaving.leaving = true;
  agent.hub.Announce(leaving);
  BOOST_REQUIRE(RunUntil([&] { return !entry.messages.empty(); }));
  BOOST_TEST(entry.messages.size() == 1U);
  BOOST_TEST(std::get<Hello>(entry.messages[0]).leaving);
}

BOOST_AUTO_TEST_CASE(wrong_key_is_refused_and_counted)
{
  Node agent("agent", 1);
  FakePeer peer(agent, "entry", 2, 9);
  peer.client.Send(peer.HelloFrame());
  BOOST_TEST(peer.IsRefused("wrong_mac"));
  BOOST_TEST(agent.up.empty());
}

BOOST_AUTO_TEST_CASE(tampered_frame_is_refused_and_counted)
{
  Node agent("agent", 1);
  FakePeer peer(agent, "entry", 2);
  peer.CompleteHandshake();
  std::string frame = peer.Frame(Withdraw{ { 1, 2 } }, agent.self);
  frame[kFrameLengthBytes + 20] ^= 1;
  peer.client.Send(frame);
  BOOST_TEST(peer.IsRefused("wrong_mac"));
  BOOST_TEST(agent.messages.empty());
}

BOOST_AUTO_TEST_CASE(replayed_frame_is_refused_and_counted)
{
  Node agent("agent", 1);
  FakePeer peer(agent, "entry", 2);
  peer.CompleteHandshake();
  const std::string frame = peer.Frame(Withdraw{ { 1, 2 } }, agent.self);
  peer.client.Send(frame + frame);
  BOOST_TEST(peer.IsRefused("wrong_mac"));
  BOOST_TEST(agent.messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(recorded_connection_cannot_be_replayed)
{
  Node agent("agent", 1);
  FakePeer first(agent, "entry", 2);
  const std::string recorded = first.HelloFrame();
  FakePeer second(agent, "entry", 2);
  second.client.Send(recorded);
  BOOST_TEST(second.IsRefused("wrong_mac"));
}

BOOST_AUTO_TEST_CASE(frame_sent_back_to_its_sender_is_refused)
{
  Node agent("agent", 1);
  FakePeer peer(agent, "entry", 2);
  BOOST_REQUIRE(RunUntil([&] { return peer.client.Received().size() > kNonceBytes; }));
  peer.client.Send(peer.client.Received().substr(kNonceBytes));
  BOOST_TEST(peer.IsRefused("wrong_mac"));
}

BOOST_AUTO_TEST_CASE(oversize_frame_is_refused_before_it_is_read)
{
  Node agent("agent", 1);
  FakePeer peer(agent, "entry", 2);
  peer.CompleteHandshake();
  peer.client.Send(std::string("\xff\xff\xff\xff", 4));
  BOOST_TEST(peer.IsRefused("oversize"));
}

BOOST_AUTO_TEST_CASE(large_frame_before_the_hello_is_refused)
{
  Node agent("agent", 1);
  FakePeer peer(agent, "entry", 2);
  peer.client.Send(std::string("\x00\x01\x00\x00", 4));
  BOOST_TEST(peer.IsRefused("oversize"));
}

BOOST_AUTO_TEST_CASE(malformed_payload_is_refused)
{
  Node agent("agent", 1);
  FakePeer peer(agent, "entry", 2);
  std::string frame;
  AppendFrame(frame, *peer.key, Direction::kFromDialer, 0, "not an envelope");
  peer.client.Send(frame);
  BOOST_TEST(peer.IsRefused("malformed"));
}

BOOST_AUTO_TEST_CASE(message_before_the_hello_is_refused)
{
  Node agent("agent", 1);
  FakePeer peer(agent, "entry", 2);
  peer.client.Send(peer.Frame(Withdraw{ { 1, 2 } }, agent.self));
  BOOST_TEST(peer.IsRefused("wrong_sender"));
}

BOOST_AUTO_TEST_CASE(hello_with_another_name_is_refused)
{
  Node agent("agent", 1);
  FakePeer peer(agent, "entry", 2);
  peer.hello.name = "other";
  peer.client.Send(peer.HelloFrame());
  BOOST_TEST(peer.IsRefused("wrong_sender"));
}

BOOST_AUTO_TEST_CASE(message_for_an_earlier_incarnation_is_dropped_and_counted)
{
  Node agent("agent", 5);
  FakePeer peer(agent, "entry", 2);
  peer.CompleteHandshake();
  const Peer earlier{ agent.self.node, Incarnation{ 4 } };
  const std::string dropped = peer.Frame(Withdraw{ { 1, 2 } }, earlier);
  const std::string accepted = peer.Frame(Withdraw{ { 3, 4 } }, agent.self);
  peer.client.Send(dropped + accepted);
  BOOST_REQUIRE(RunUntil([&] { return !agent.messages.empty(); }));
  BOOST_TEST(agent.messages.size() == 1U);
  BOOST_TEST(std::get<Withdraw>(agent.messages[0]).id.high == 3U);
  BOOST_TEST(agent.refused["other_incarnation"] == 1);
}

BOOST_AUTO_TEST_CASE(earlier_incarnation_of_a_connected_peer_is_refused)
{
  Node agent("agent", 1);
  FakePeer later(agent, "entry", 3);
  later.CompleteHandshake();
  FakePeer earlier(agent, "entry", 2);
  earlier.client.Send(earlier.HelloFrame());
  BOOST_TEST(earlier.IsRefused("old_incarnation"));
  BOOST_TEST(agent.up.size() == 1U);
}

BOOST_AUTO_TEST_CASE(later_incarnation_of_a_peer_replaces_the_earlier_one)
{
  Node agent("agent", 1);
  FakePeer earlier(agent, "entry", 2);
  earlier.CompleteHandshake();
  FakePeer later(agent, "entry", 3);
  later.client.Send(later.HelloFrame());
  BOOST_REQUIRE(RunUntil([&] { return earlier.client.IsClosed() && agent.up.size() == 1; }));
  BOOST_TEST((agent.ends == std::vector{ LinkEnd::kReplaced }));
}

BOOST_AUTO_TEST_CASE(connection_without_hello_is_closed)
{
  LinkOptions options;
  options.heartbeatInterval = std::chrono::milliseconds(20);
  options.handshakeTimeout = std::chrono::milliseconds(50);
  Node agent("agent", 1, 1, options);
  FakePeer peer(agent, "entry", 2);
  BOOST_TEST(peer.IsRefused("handshake_timeout"));
}

BOOST_AUTO_TEST_CASE(silent_peer_is_detected)
{
  LinkOptions options;
  options.heartbeatInterval = std::chrono::milliseconds(20);
  options.peerTimeout = std::chrono::milliseconds(100);
  Node agent("agent", 1, 1, options);
  FakePeer peer(agent, "entry", 2);
  peer.CompleteHandshake();
  BOOST_REQUIRE(RunUntil([&] { return agent.up.empty(); }));
  BOOST_TEST((agent.ends == std::vector{ LinkEnd::kSilent }));
}

BOOST_AUTO_TEST_CASE(lost_peer_is_reported_and_reconnected)
{
  Node entry("entry", 2);
  std::optional<Node> agent(std::in_place, "agent", 1);
  const Address address = agent->ListenAddress();
  entry.hub.Dial(address);
  BOOST_REQUIRE(RunUntil([&] { return entry.up.size() == 1 && agent->up.size() == 1; }));
  agent.reset();
  BOOST_REQUIRE(RunUntil([&] { return entry.up.empty(); }));
  BOOST_TEST(entry.ends.size() == 1U);

  Node restarted("agent", 3);
  entry.hub.StopDialing(address);
  entry.hub.Dial(restarted.ListenAddress());
  BOOST_REQUIRE(RunUntil([&] { return entry.up.size() == 1; }));
}

BOOST_AUTO_TEST_CASE(peer_that_does_not_read_is_dropped)
{
  LinkOptions options;
  options.maxQueueBytes = 1 << 20;
  Node agent("agent", 1, 1, options);
  FakePeer peer(agent, "entry", 2);
  peer.CompleteHandshake();
  const std::string data(1 << 20, 'x');
  std::size_t sends = 0;
  while (agent.up.size() == 1 && sends < 1000) {
    agent.hub.Send(peer.self.node, Chunk{ {}, 0, 0, data });
    ++sends;
    g_main_context_iteration(nullptr, FALSE);
    if (sends > 64) {
      break;
    }
  }
  BOOST_REQUIRE(RunUntil([&] { return agent.up.empty(); }));
  BOOST_TEST((agent.ends == std::vector{ LinkEnd::kQueueFull }));
}

BOOST_AUTO_TEST_CASE(listen_on_a_port_in_use_fails)
{
  Node agent("agent", 1);
  Node entry("entry", 2);
  BOOST_TEST((entry.hub.Listen(agent.ListenAddress()) == std::errc::address_in_use));
}

// Connections that send no handshake must neither use up the descriptors nor keep out a peer.
BOOST_AUTO_TEST_CASE(connections_without_a_handshake_give_way)
{
  constexpr rlim_t kDescriptors = 320; // a part of them for such connections
  constexpr std::size_t kSilent = 100;
  rlimit own{};
  getrlimit(RLIMIT_NOFILE, &own);
  const rlimit low{ kDescriptors, own.rlim_max };
  setrlimit(RLIMIT_NOFILE, &low);
  Node agent("agent", 1);
  setrlimit(RLIMIT_NOFILE, &own);
  FakePeer known(agent, "known", 1);
  known.CompleteHandshake();
  std::vector<std::unique_ptr<RawTcpClient>> silent;
  for (std::size_t i = 0; i < kSilent; ++i) {
    silent.push_back(std::make_unique<RawTcpClient>(agent.hub.Port()));
  }
  const auto closedCount = [&] {
    return std::count_if(silent.begin(), silent.end(),
                         [](const auto& aClient) { return aClient->IsClosed(); });
  };
  BOOST_REQUIRE(RunUntil([&] { return closedCount() == kSilent - kDescriptors / 8; }));
  BOOST_TEST(silent.front()->IsClosed());
  BOOST_TEST(!silent.back()->IsClosed());
  BOOST_TEST(agent.refused["no_room"] == closedCount());
  Node entry("entry", 2);
  entry.hub.Dial(agent.ListenAddress());
  BOOST_REQUIRE(RunUntil([&] { return entry.up.size() == 1; }));
  BOOST_TEST(!known.client.IsClosed());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway
