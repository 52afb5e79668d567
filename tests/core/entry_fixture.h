// Test fixture: an entry with a port that records all calls, and a clock that tests advance.
#pragma once

#include "core/entry.h"
#include "core/stream_hash.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace caraway {

class RecordingEntryPort final : public EntryPort
{
public:
  void Note(const Event& aEvent) override { this->events.push_back(aEvent); }
  void Send(NodeId aTo, const Message& aMessage) override
  {
    this->sent.emplace_back(aTo, aMessage);
  }
  void DeliverChunk(const RequestId& aId, const std::string& aData) override
  {
    this->passed[aId] += aData;
  }
  void DeliverFinal(const RequestId& aId, const FinalAnswer& aAnswer) override
  {
    this->finals.emplace_back(aId, aAnswer);
  }
  void Append(std::uint64_t aToken, const std::vector<std::string>& aRecords) override
  {
    this->appends.emplace_back(aToken, aRecords);
  }

  // Messages of one type that were sent to aTo.
  template<class Wanted>
  std::vector<Wanted> SentTo(NodeId aTo) const
  {
    std::vector<Wanted> result;
    for (const auto& [node, message] : this->sent) {
      if (node == aTo && std::holds_alternative<Wanted>(message)) {
        result.push_back(std::get<Wanted>(message));
      }
    }
    return result;
  }

  std::size_t Count(EventKind aKind) const
  {
    std::size_t count = 0;
    for (const Event& event : this->events) {
      count += event.kind == aKind ? 1 : 0;
    }
    return count;
  }

  std::vector<Event> events;
  std::vector<std::pair<NodeId, Message>> sent;
  std::map<RequestId, std::string> passed;
  std::vector<std::pair<RequestId, FinalAnswer>> finals;
  std::vector<std::pair<std::uint64_t, std::vector<std::string>>> appends;
};

// An entry, and agents of the pool "model" that AddAgent connects.
struct EntryFixture
{
  EntryFixture()
    : random(1)
    , entry(EntryOptions{}, "entry-1", this->placement, this->random, this->port)
  {
  }

  Peer AddAgent(const std::string& aName, std::uint64_t aIncarnation = 1)
  {
    const Peer peer{ NodeIdOf(aName), Incarnation{ aIncarnation } };
    Hello hello;
    hello.role = Role::kAgent;
    hello.name = aName;
    hello.pool = "model";
    hello.version = "v1";
    hello.freeSlots = 4;
    this->entry.OnPeerUp(this->now, peer, hello);
    return peer;
  }

  RequestId Submit(std::uint64_t aNumber)
  {
    Submission submission;
    submission.id = RequestId{ 7, aNumber };
    submission.account = "shop";
    submission.pool = "model";
    submission.route = "/v1/chat/completions";
    submission.tier = 1;
    submission.startWithin = seconds(1);
    submission.endWithin = seconds(20);
    submission.body = "body-" + std::to_string(aNumber);
    this->entry.OnSubmit(this->now, submission);
    return submission.id;
  }

  void Advance(Duration aBy)
  {
    const TimePoint end = this->now.steady + aBy;
    while (this->entry.NextTimer() <= end) {
      this->now.steady = std::max(this->now.steady, this->entry.NextTimer());
      this->entry.OnTimer(this->now);
    }
    this->now.steady = end;
  }

  void Offer(Peer aAgent, const RequestId& aId)
  {
    this->entry.OnMessage(this->now, aAgent, caraway::Offer{ aId, 1 });
  }

  // Sends the chunks from aFrom up to but excluding aTo, each with the data "N ".
  void Chunks(Peer aAgent, const RequestId& aId, std::uint32_t aFrom, std::uint32_t aTo)
  {
    for (std::uint32_t number = aFrom; number < aTo; ++number) {
      this->entry.OnMessage(this->now, aAgent,
                            Chunk{ aId, number, 1, std::to_string(number) + " " });
    }
  }

  // The Finish of an answer with aCount chunks as sent by Chunks.
  static Finish End(const RequestId& aId, std::uint32_t aCount)
  {
    StreamHash hash;
    Finish finish;
    finish.id = aId;
    finish.outcome = Outcome::kAnswered;
    finish.chunks = aCount;
    for (std::uint32_t number = 0; number < aCount; ++number) {
      const std::string data = std::to_string(number) + " ";
      finish.bytes += data.size();
      hash.Add(data);
    }
    finish.checksum = hash.Digest();
    finish.outputTokens = aCount;
    return finish;
  }

  Now now{ TimePoint(seconds(100)), WallTime(std::chrono::hours(24 * 365 * 56)) };
  Random random;
  LateBindingPlacement placement;
  RecordingEntryPort port;
  Entry entry;
};

} // namespace caraway
