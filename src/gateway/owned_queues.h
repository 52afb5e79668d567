// Queues of endpoints without an agent, owned by this entry on behalf of all entries. The owner of
// an endpoint's queue is chosen by rendezvous hashing over the live entries. Entries converge on
// the same owner quickly; while two entries both act as owner, a few more calls queue at the
// endpoint itself.
#pragma once

#include "direct/endpoint_table.h"
#include "gateway/queue_server.h"

#include <map>
#include <memory>
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

  void SetEndpoints(TimePoint aNow, const std::map<std::string, direct::EndpointInfo>& aAll);
  // Handles a message for the queue of an endpoint; its sender considers this entry the owner.
  void OnMessage(TimePoint aNow, const Address& aFrom, const Peer& aPeer,
                 const direct::QueueEnvelope& aMessage);
  void SendStates(TimePoint aNow);
  void OnTimer(TimePoint aNow);
  TimePoint NextTimer() const;
  std::size_t QueueCount() const { return this->queues.size(); }

private:
  struct OwnedQueue final : QueueServerPort
  {
    OwnedQueue(const QueueServerOptions& aOptions, OwnedQueuesPort& aPort, std::uint64_t aEndpoint);
    void SendFromQueue(const Address& aEntry, const direct::QueueMessage& aMessage) override;
    direct::AgentState State() const;

    OwnedQueuesPort& port;
    std::uint64_t endpoint;
    direct::EndpointInfo info;
    QueueServer server;
  };

  static void UpdateLimit(TimePoint aNow, OwnedQueue& aQueue);

  QueueServerOptions options;
  OwnedQueuesPort& port;
  std::map<std::uint64_t, direct::EndpointInfo> endpoints; // by hash of the ID
  std::map<std::uint64_t, std::unique_ptr<OwnedQueue>> queues;
};

} // namespace caraway::gateway
