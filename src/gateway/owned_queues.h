// Queues of endpoints without an agent, owned by this entry on behalf of all entries. The owner of
// an endpoint's queue is chosen by rendezvous hashing over the live entries. Entries converge on
// the same owner quickly; while two entries both act as owner, a few more calls queue at the
// endpoint itself.
#pragma once

#include "direct/cold_rate.h"
#include "direct/endpoint_table.h"
#include "direct/named_rate.h"
#include "gateway/queue_server.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace caraway::gateway {

// The host in aHosts that owns the queue of the endpoint; empty if aHosts is empty.
std::string OwnerOf(const std::string& aEndpoint, const std::vector<std::string>& aHosts);

class OwnedQueuesPort
{
public:
  virtual ~OwnedQueuesPort() = default;
  virtual void SendFromOwnedQueue(const Address& aEntry, const direct::QueueEnvelope& aMessage) = 0;
};

class OwnedQueues
{
public:
  OwnedQueues(const QueueServerOptions& aOptions, OwnedQueuesPort& aPort);

  // aHasAgents returns whether the endpoints of a service have agents.
  void SetEndpoints(TimePoint aNow, const std::map<std::string, direct::EndpointInfo>& aAll,
                    const std::function<bool(const std::string&)>& aHasAgents);
  // Handles a message for the queue of an endpoint; its sender considers this entry the owner.
  void OnMessage(TimePoint aNow, const Address& aFrom, const Peer& aPeer,
                 const direct::QueueEnvelope& aMessage);
  void SendStates(TimePoint aNow);
  void OnTimer(TimePoint aNow);
  TimePoint NextTimer(TimePoint aNow) const;
  std::size_t QueueCount() const { return this->queues.size(); }

private:
  struct OwnedQueue final : QueueServerPort
  {
    OwnedQueue(const QueueServerOptions& aOptions, OwnedQueuesPort& aPort, std::uint64_t aEndpoint);
    void SendFromQueue(const Address& aEntry, const direct::QueueMessage& aMessage) override;
    direct::AgentState State() const;
    std::optional<direct::RateNews> RateNews(TimePoint aNow) const;
    // nullopt if the endpoint is warm.
    std::optional<direct::ColdNews> ColdNews(TimePoint aNow) const;

    OwnedQueuesPort& port;
    std::uint64_t endpoint;
    direct::EndpointInfo info;
    bool hasAgent = false;
    direct::NamedRate namedRate;
    direct::ColdState cold;
    bool isCold = false;
    QueueServer server;
  };

  struct Listed
  {
    direct::EndpointInfo info;
    bool hasAgent = false;
  };

  static void Update(TimePoint aNow, OwnedQueue& aQueue, const Listed& aListed);
  static void UpdateLimits(TimePoint aNow, OwnedQueue& aQueue);

  QueueServerOptions options;
  OwnedQueuesPort& port;
  std::map<std::uint64_t, Listed> endpoints; // by hash of the ID
  std::map<std::uint64_t, std::unique_ptr<OwnedQueue>> queues;
};

} // namespace caraway::gateway
