// The processes that an entry has links to, and what they last said about themselves.
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
  // A link stands, or its peer's Hello changed.
  void Up(Peer aPeer, const Hello& aHello);
  void Down(NodeId aNode);

  PeerState* Find(NodeId aNode);
  const PeerState* Find(NodeId aNode) const;
  // Whether the life of the peer that aPeer names is the one linked now.
  bool IsCurrent(const Peer& aPeer) const;

  // Agents of the pool that are not leaving. aVersion: only those of this version.
  void Candidates(const std::string& aPool, const std::optional<std::string>& aVersion,
                  std::vector<Candidate>& aCandidates) const;
  // Linked agents of a pool, or of all pools when aPool is empty.
  std::vector<NodeId> Agents(const std::string& aPool) const;
  std::vector<NodeId> Entries() const;

  void Reserve(NodeId aNode);
  void Release(NodeId aNode);

  const std::map<NodeId, PeerState>& All() const { return this->peers; }

private:
  std::map<NodeId, PeerState> peers;
};

} // namespace caraway
