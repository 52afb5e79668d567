#include "gateway/queue_server.h"

#include <iterator>
#include <variant>

namespace caraway::gateway {

QueueServer::QueueServer(const QueueServerOptions& aOptions, QueueServerPort& aPort)
  : options(aOptions)
  , port(aPort)
  , queue(aOptions.queue, *this)
{
}

bool QueueServer::OnMessage(TimePoint aNow, const Address& aFrom, const Peer& aPeer,
                            const direct::QueueMessage& aMessage)
{
  EntryRow& row = this->entries[aPeer.node];
  const bool isNew = row.heardAt == TimePoint{};
  row.address = aFrom;
  row.heardAt = aNow;
  if (const auto* reserve = std::get_if<direct::ReserveSlot>(&aMessage)) {
    row.hasHolds = true;
    this->queue.Reserve(aNow, aPeer, *reserve);
  } else if (const auto* withdraw = std::get_if<direct::WithdrawSlot>(&aMessage)) {
    this->queue.Withdraw(aNow, aPeer, withdraw->call);
  } else if (const auto* use = std::get_if<direct::UseSlot>(&aMessage)) {
    row.hasHolds = true;
    this->queue.Use(aNow, aPeer, *use);
  } else if (const auto* begin = std::get_if<direct::BeginAnswer>(&aMessage)) {
    this->queue.BeginAnswer(aNow, aPeer, begin->call);
  } else if (const auto* release = std::get_if<direct::ReleaseSlot>(&aMessage)) {
    this->queue.Release(aNow, aPeer, release->call);
  } else if (const auto* state = std::get_if<direct::HoldState>(&aMessage)) {
    row.hasHolds = !state->waiting.empty() || !state->running.empty();
    this->slots = state->slots;
    this->queue.Reconcile(aNow, aPeer, *state);
  }
  return isNew;
}

direct::AgentState QueueServer::State() const
{
  direct::AgentState state;
  state.limit = this->queue.Limit();
  state.taken = this->queue.Taken();
  state.pendingPrefill = this->queue.PendingPrefill();
  state.waiting = this->queue.Waiting();
  const LatencyModel& pace = this->queue.FirstEventPace();
  state.firstEventBaseUs = static_cast<std::uint32_t>(pace.FirstTokenLatency(0).count());
  state.firstEventPer1000Us =
    static_cast<std::uint32_t>((pace.FirstTokenLatency(1000) - pace.FirstTokenLatency(0)).count());
  const std::size_t count = this->entries.size();
  if (count == 0) {
    return state;
  }
  auto row = std::next(
    this->entries.begin(),
    static_cast<std::ptrdiff_t>(this->stateRound * this->options.entriesPerState % count));
  while (state.entries.size() < std::min(count, this->options.entriesPerState)) {
    state.entries.push_back(row->second.address.host);
    row = std::next(row) == this->entries.end() ? this->entries.begin() : std::next(row);
  }
  return state;
}

void QueueServer::SendToAll(const direct::QueueMessage& aMessage)
{
  for (const auto& [node, row] : this->entries) {
    this->port.SendFromQueue(row.address, aMessage);
  }
}

void QueueServer::SendStates(TimePoint aNow, const direct::AgentState& aState,
                             const std::optional<direct::RateNews>& aRate,
                             const std::optional<direct::ColdNews>& aCold)
{
  std::erase_if(this->entries, [&](const auto& aRow) {
    return aNow - aRow.second.heardAt > this->options.entryTimeout;
  });
  std::uint32_t index = ++this->stateRound;
  for (const auto& [node, row] : this->entries) {
    const bool isItsTurn = index++ % this->options.idleStatePeriods == 0;
    if (row.hasHolds || isItsTurn) {
      this->port.SendFromQueue(row.address, aState);
      if (aRate) {
        this->port.SendFromQueue(row.address, *aRate);
      }
      if (aCold) {
        this->port.SendFromQueue(row.address, *aCold);
      }
    }
  }
}

void QueueServer::OfferSlotTo(const Peer& aHolder, direct::CallNumber aCall)
{
  const auto found = this->entries.find(aHolder.node);
  if (found != this->entries.end()) {
    this->port.SendFromQueue(found->second.address, direct::OfferSlot{ aCall });
  }
}

} // namespace caraway::gateway
