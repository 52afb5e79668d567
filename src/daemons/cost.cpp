// caraway-cost: benchmarks time (ns) and allocations of a complete request in the decision library
// (submit, reserve, offer, grant, dispatch, chunks, finish) and of its invariant checks.
#include "bench/world.h"
#include "core/invariant.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocations{ 0 };

} // namespace

[[gnu::noinline]] void* operator new(std::size_t aSize)
{
  allocations.fetch_add(1, std::memory_order_relaxed);
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

[[gnu::noinline]] void operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

[[gnu::noinline]] void operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  std::free(aMemory);
}

namespace {

using namespace caraway;

// Discards all output of an entry, so that only the cost of its decisions is measured.
struct NullEntryPort final : public EntryPort
{
  void Send(NodeId /*aTo*/, const Message& aMessage) override
  {
    this->sent += aMessage.index() + 1;
  }
  void DeliverChunk(const RequestId& /*aId*/, const std::string& /*aData*/) override {}
  void DeliverFinal(const RequestId& /*aId*/, const FinalAnswer& /*aAnswer*/) override {}
  void Append(std::uint64_t /*aToken*/, const std::vector<std::string>& /*aRecords*/) override {}
  void Note(const Event& /*aEvent*/) override {}
  std::uint64_t sent = 0;
};

// Accepts a request, reserves slots at the agents and cancels it.
void EntryReserve(benchmark::State& aState)
{
  Random random(1);
  LateBindingPlacement placement;
  NullEntryPort port;
  Entry entry(EntryOptions{}, "entry", placement, random, port);
  Now now{ TimePoint(seconds(10)), WallTime(seconds(1000)) };
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    Hello hello;
    hello.role = Role::kAgent;
    hello.name = "agent-" + std::to_string(i);
    hello.pool = "model";
    hello.version = "v1";
    entry.OnPeerUp(now, Peer{ NodeIdOf(hello.name), Incarnation{ 1 } }, hello);
  }
  bench::Workload workload(bench::WorkloadOptions{}, random);
  const Submission submission = workload.NewJob(now.wall).submission;
  const std::uint64_t before = allocations;
  for (auto _ : aState) {
    Submission next = submission;
    next.id = RequestId{ submission.id.high, random.Bits() };
    const RequestId id = next.id;
    entry.OnSubmit(now, std::move(next));
    entry.OnCallerGone(now, id, false);
  }
  aState.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                      benchmark::Counter::kAvgIterations);
}
BENCHMARK(EntryReserve)->Arg(10)->Arg(400);

// Invariant checks of one dispatched request.
void Checks(benchmark::State& aState)
{
  NullEntryPort port;
  InvariantChecker checker(port);
  const Now now{ TimePoint(seconds(10)), WallTime(seconds(1000)) };
  std::uint64_t number = 0;
  const std::uint64_t before = allocations;
  for (auto _ : aState) {
    const RequestId id{ 1, ++number };
    checker.OnGrant(now, id, std::nullopt);
    checker.OnDispatch(now, id, WorkKind::kCompletion, kNoOffset);
    checker.OnChunk(now, id, 0, 0);
  }
  aState.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                      benchmark::Counter::kAvgIterations);
}
BENCHMARK(Checks);

// Complete requests through three entries and ten agents, including the fake endpoints and network.
void WholeRequest(benchmark::State& aState)
{
  bench::WorldOptions options;
  options.endpoints = bench::UnlikeEngines(10);
  bench::World world(options);
  world.RunFor(bench::kSettle);
  Random random(1);
  bench::Workload workload(bench::WorkloadOptions{}, random);
  const std::uint64_t before = allocations;
  for (auto _ : aState) {
    world.TheCallers().Submit(workload.NewJob(world.TheSite().schedule.Read().wall));
    world.RunFor(milliseconds(20));
  }
  aState.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before),
                                                      benchmark::Counter::kAvgIterations);
}
BENCHMARK(WholeRequest)->Iterations(2000);

} // namespace

BENCHMARK_MAIN();
