// Processes that an entry is connected to, each with its latest Hello.
#pragma once

#include "core/messages.h"
#include "core/place.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caraway {

struct PeerState
{
  Peer peer;
  Hello hello;
  std::uint32_t reserved = 0; // reservations and grants of this entry at the agent
};

class PeerTable
{
public:
  // Adds a connected peer, or updates the Hello of a known one.
  void AddOrUpdate(Peer aPeer, const Hello& aHello);
  void Remove(NodeId aNode);

  PeerState* Find(NodeId aNode);
  const PeerState* Find(NodeId aNode) const;
  // Whether aPeer is the incarnation that is currently connected.
  bool IsCurrent(const Peer& aPeer) const;

  // Agents of the pool that are not leaving; only those of aVersion if it is set.
  void Candidates(const std::string& aPool, const std::optional<std::string>& aVersion,
                  std::vector<Candidate>& aCandidates) const;
  // Connected agents of a pool, or of all pools if aPool is empty.
  std::vector<NodeId> Agents(const std::string& aPool) const;
  std::vector<NodeId> Entries() const;

  void Reserve(NodeId aNode);
  void Release(NodeId aNode);

  const std::map<NodeId, PeerState>& All() const { return this->peers; }

private:
  std::map<NodeId, PeerState> peers;
};

} // namespace caraway
