// Queues of endpoints without an agent that this entry owns for all entries. Which entry owns the
// queue of an endpoint follows from a rendezvous hash over the entries that are heard: entries that
// hear others agree within a moment, and two owners until then only let a few more calls wait at
// the endpoint itself.
#pragma once

#include "direct/endpoint_table.h"
#include "gateway/queue_server.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace caraway::gateway {

// The host in aHosts that owns the queue of the endpoint; empty if there is none.
std::string OwnerOf(const std::string& aEndpoint, const std::vector<std::string>& aHosts);

class OwnedQueuesPort
{
public:
  virtual ~OwnedQueuesPort() = default;
  virtual void SendFromOwned(const Address& aEntry, const direct::QueueEnvelope& aMessage) = 0;
};

class OwnedQueues
{
public:
  OwnedQueues(const QueueServerOptions& aOptions, OwnedQueuesPort& aPort);

  void SetEndpoints(TimePoint aNow, const std::map<std::string, direct::EndpointInfo>& aAll);
  // A message for the queue of an endpoint; whoever sends one takes this entry for its owner.
  void OnMessage(TimePoint aNow, const Address& aFrom, const Peer& aPeer,
                 const direct::QueueEnvelope& aMessage);
  void SendStates(TimePoint aNow);
  void OnTimer(TimePoint aNow);
  TimePoint NextTimer() const;
  std::size_t QueueCount() const { return this->queues.size(); }

private:
  struct Owned final : QueueServerPort
  {
    Owned(const QueueServerOptions& aOptions, OwnedQueuesPort& aPort, std::uint64_t aEndpoint);
    void SendFromQueue(const Address& aEntry, const direct::QueueMessage& aMessage) override;
    direct::AgentState State() const;

    OwnedQueuesPort& port;
    std::uint64_t endpoint;
    direct::EndpointInfo info;
    QueueServer server;
  };

  static void UpdateLimit(TimePoint aNow, Owned& aOwned);

  QueueServerOptions options;
  OwnedQueuesPort& port;
  std::map<std::uint64_t, direct::EndpointInfo> endpoints; // by hash of the id
  std::map<std::uint64_t, std::unique_ptr<Owned>> queues;
};

} // namespace caraway::gateway
