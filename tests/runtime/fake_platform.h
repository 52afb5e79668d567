// In-memory fakes of the platform and of an agent, for tests of the entry host and its HTTP server.
#pragma once

#include "loop.h"

#include "runtime/address.h"
#include "runtime/link_hub.h"
#include "runtime/soup_listen.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace caraway {

inline ClusterKey TestKey()
{
  ClusterKey key;
  key.fill(1);
  return key;
}

// In-memory log and VM list; reads are answered immediately.
class MemoryPlatform
{
public:
  MemoryPlatform()
    : server(soup_server_new(nullptr, nullptr))
  {
    soup_server_add_handler(this->server.get(), nullptr, &MemoryPlatform::OnRequest, this, nullptr);
    BOOST_REQUIRE(!ListenAt(this->server.get(), { "127.0.0.1", 0 }, false));
  }
  ~MemoryPlatform() { soup_server_disconnect(this->server.get()); }
  MemoryPlatform(const MemoryPlatform&) = delete;
  MemoryPlatform& operator=(const MemoryPlatform&) = delete;

  Address ListenAddress() const { return { "127.0.0.1", PortOf(this->server.get()) }; }

  void AddRecord(const std::string& aKind, const std::string& aName, const nlohmann::json& aBody)
  {
    this->records.push_back(nlohmann::json{
      { "schema_version", 2 },
      { "kind", aKind },
      { "name", aName },
      { "change_id", aKind + aName },
      { "base_revision", nullptr },
      { "body", aBody } }.dump());
  }

  void AddVm(const std::string& aName, const std::string& aRole, std::uint16_t aPort,
             const std::string& aPool)
  {
    this->vms.push_back({ { "name", aName },
                          { "role", aRole },
                          { "address", "127.0.0.1" },
                          { "port", aPort },
                          { "region", "r" },
                          { "failure_domain", "brno-a" },
                          { "pool", aPool },
                          { "version", "v1" },
                          { "state", "live" } });
  }

  // Lowest offset still stored.
  std::size_t oldest = 0;
  bool down = false;
  std::vector<std::string> records;

private:
  static void OnRequest(SoupServer*, SoupServerMessage* aMessage, const char* aPath,
                        GHashTable* aQuery, void* aData)
  {
    auto* self = static_cast<MemoryPlatform*>(aData);
    const std::string path = aPath;
    if (self->down) {
      Reply(aMessage, 503, "application/json", "{}");
    } else if (path == "/v1/append") {
      Reply(aMessage, 200, "application/json", self->Append(aMessage).dump());
    } else if (path == "/v1/read") {
      const char* from = static_cast<const char*>(g_hash_table_lookup(aQuery, "from"));
      Reply(aMessage, 200, "application/json", self->Read(std::stoul(from)).dump());
    } else {
      Reply(aMessage, 200, "application/json", nlohmann::json{ { "vms", self->vms } }.dump());
    }
  }

  nlohmann::json Append(SoupServerMessage* aMessage)
  {
    GBytes* bytes = soup_message_body_flatten(soup_server_message_get_request_body(aMessage));
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    const auto body = nlohmann::json::parse(std::string(data, size));
    g_bytes_unref(bytes);
    const std::size_t first = this->records.size();
    for (const auto& record : body["records"]) {
      this->records.push_back(record);
    }
    return { { "first", first } };
  }

  nlohmann::json Read(std::size_t aFrom) const
  {
    auto list = nlohmann::json::array();
    for (std::size_t i = aFrom; aFrom >= this->oldest && i < this->records.size(); ++i) {
      list.push_back({ { "offset", i }, { "data", this->records[i] } });
    }
    return { { "oldest", this->oldest }, { "next", this->records.size() }, { "records", list } };
  }

  ObjectPtr<SoupServer> server;
  nlohmann::json vms = nlohmann::json::array();
};

// An agent that offers a slot for every reservation and answers each grant with `chunks`; sends no
// answer if `hold` is set.
class FakeAgent : public LinkHandler
{
public:
  FakeAgent(const std::string& aName, const std::string& aPool)
    : self{ NodeIdOf(aName), Incarnation{ 1 } }
    , random(1)
    , hub(LinkOptions{}, TestKey(), this->self, this->clock, this->random, this->poller, *this)
  {
    BOOST_REQUIRE(!this->hub.Listen({ "127.0.0.1", 0 }));
    Hello hello;
    hello.role = Role::kAgent;
    hello.name = aName;
    hello.region = "r";
    hello.failureDomain = "brno-a";
    hello.pool = aPool;
    hello.version = "v1";
    hello.freeSlots = 100;
    this->hub.Announce(hello);
  }

  void OnPeerUp(Peer, const Hello&) override { ++this->peers; }
  void OnPeerDown(NodeId, LinkEnd) override { --this->peers; }
  void OnRefusedFrame(std::string_view) override {}
  void OnPeerMessage(Peer aFrom, const Message& aMessage) override
  {
    if (const auto* reserve = std::get_if<Reserve>(&aMessage)) {
      this->reserves.push_back(*reserve);
      if (this->offers) {
        this->hub.Send(aFrom.node, Offer{ reserve->id, ++this->offer });
      }
    } else if (const auto* grant = std::get_if<Grant>(&aMessage)) {
      this->grants.push_back(*grant);
      this->requester = aFrom.node;
      if (!this->hold) {
        this->Answer(*grant);
      }
    } else if (const auto* query = std::get_if<Query>(&aMessage)) {
      this->Reply(aFrom.node, *query);
    } else if (const auto* cancel = std::get_if<Cancel>(&aMessage)) {
      this->cancels.push_back(*cancel);
    } else if (const auto* ack = std::get_if<Ack>(&aMessage)) {
      if (ack->finished) {
        this->acks.push_back(*ack);
      }
    }
  }

  // True if the request was granted here, is not yet acknowledged and belongs to the account.
  bool IsOpenRequest(const RequestId& aId, const std::string& aAccount) const
  {
    const auto has = [&](const auto& aList) {
      return std::any_of(aList.begin(), aList.end(),
                         [&](const auto& aItem) { return aItem.id == aId; });
    };
    const bool owned =
      std::any_of(this->reserves.begin(), this->reserves.end(), [&](const Reserve& aReserve) {
        return aReserve.id == aId && aReserve.account == aAccount;
      });
    return owned && has(this->grants) && !has(this->acks);
  }

  void Reply(NodeId aTo, const Query& aQuery)
  {
    const bool known = this->IsOpenRequest(aQuery.id, aQuery.account);
    if (known) {
      this->requester = aTo;
      this->firstChunk = aQuery.nextChunk;
      ++this->queries;
    }
    this->hub.Send(aTo, QueryReply{ aQuery.id, known ? RunState::kRunning : RunState::kForgotten });
  }

  // Sends the chunks from firstChunk up to aCount, without a Finish.
  void SendChunks(const Grant& aGrant, std::size_t aCount)
  {
    for (std::size_t i = this->firstChunk; i < aCount; ++i) {
      this->hub.Send(this->requester,
                     Chunk{ aGrant.id, static_cast<std::uint32_t>(i), 1, this->chunks[i] });
    }
  }

  void Answer(const Grant& aGrant)
  {
    this->SendChunks(aGrant, this->chunks.size());
    std::string whole;
    for (const std::string& chunk : this->chunks) {
      whole += chunk;
    }
    Finish finish;
    finish.id = aGrant.id;
    finish.outcome = Outcome::kAnswered;
    finish.chunks = static_cast<std::uint32_t>(this->chunks.size());
    finish.bytes = whole.size();
    finish.checksum = HashOf(whole);
    finish.outputTokens = finish.chunks;
    this->hub.Send(this->requester, finish);
  }

  Peer self;
  SystemClock clock;
  Random random;
  Poller poller;
  std::vector<std::string> chunks{ "one ", "two ", "three " };
  bool offers = true;
  bool hold = false;
  int peers = 0;
  std::uint64_t offer = 0;
  std::uint32_t firstChunk = 0; // first chunk requested by the last query
  NodeId requester{};
  std::vector<Reserve> reserves;
  std::vector<Grant> grants;
  std::vector<Cancel> cancels;
  std::vector<Ack> acks;
  int queries = 0;
  LinkHub hub;
};

} // namespace caraway
