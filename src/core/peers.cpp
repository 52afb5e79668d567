#include "core/peers.h"

namespace caraway {

void PeerTable::AddOrUpdate(Peer aPeer, const Hello& aHello)
{
  PeerState& state = this->peers[aPeer.node];
  if (!(state.peer == aPeer)) {
    state = PeerState{};
    state.peer = aPeer;
  }
  state.hello = aHello;
}

void PeerTable::Remove(NodeId aNode)
{
  this->peers.erase(aNode);
}

PeerState* PeerTable::Find(NodeId aNode)
{
  const auto found = this->peers.find(aNode);
  return found == this->peers.end() ? nullptr : &found->second;
}

const PeerState* PeerTable::Find(NodeId aNode) const
{
  const auto found = this->peers.find(aNode);
  return found == this->peers.end() ? nullptr : &found->second;
}

bool PeerTable::IsCurrent(const Peer& aPeer) const
{
  const PeerState* state = this->Find(aPeer.node);
  return state != nullptr && state->peer == aPeer;
}

void PeerTable::Candidates(const std::string& aPool, const std::optional<std::string>& aVersion,
                           std::vector<Candidate>& aCandidates) const
{
  aCandidates.clear();
  for (const auto& [node, state] : this->peers) {
    const Hello& hello = state.hello;
    if (hello.role != Role::kAgent || hello.leaving || hello.pool != aPool) {
      continue;
    }
    if (aVersion && *aVersion != hello.version) {
      continue;
    }
    Candidate candidate;
    candidate.node = node;
    candidate.freeSlots = hello.freeSlots;
    candidate.tokensPerSecond = hello.tokensPerSecond;
    candidate.reserved = state.reserved;
    aCandidates.push_back(candidate);
  }
}

std::vector<NodeId> PeerTable::Agents(const std::string& aPool) const
{
  std::vector<NodeId> nodes;
  for (const auto& [node, state] : this->peers) {
    if (state.hello.role == Role::kAgent && (aPool.empty() || state.hello.pool == aPool)) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

std::vector<NodeId> PeerTable::Entries() const
{
  std::vector<NodeId> nodes;
  for (const auto& [node, state] : this->peers) {
    if (state.hello.role == Role::kEntry) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

void PeerTable::Reserve(NodeId aNode)
{
  if (PeerState* state = this->Find(aNode)) {
    ++state->reserved;
  }
}

void PeerTable::Release(NodeId aNode)
{
  PeerState* state = this->Find(aNode);
  if (state != nullptr && state->reserved > 0) {
    --state->reserved;
  }
}

} // namespace caraway
