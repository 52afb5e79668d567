// Breaks the program on purpose, one invariant at a time: a check that cannot fail proves nothing.
#include "bench/fault_plan.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace caraway::bench {

namespace {

bool HasFinding(const FaultResult& aResult, Invariant aInvariant)
{
  return std::any_of(
    aResult.findings.begin(), aResult.findings.end(),
    [aInvariant](const AuditFinding& aFinding) { return aFinding.invariant == aInvariant; });
}

FaultRun Calm()
{
  return FaultRun{ 3, {}, false, false };
}

// Sends every completion to its engine twice.
struct DoubleDispatch final : public Tamper
{
  std::uint32_t Copies(const Job& aJob) override
  {
    return aJob.submission.kind == WorkKind::kCompletion ? 2 : 1;
  }
};

// Runs every non-idempotent call twice.
struct DoubleBooking final : public Tamper
{
  std::uint32_t Copies(const Job& aJob) override
  {
    return aJob.submission.kind == WorkKind::kOnce ? 2 : 1;
  }
};

// Loses the first part of every answer.
struct LosePart final : public Tamper
{
  bool PassPart(const Job& aJob, std::string& /*aData*/) override
  {
    return !this->seen.insert(aJob.submission.id).second;
  }
  std::set<RequestId> seen;
};

// Gives a part of one answer to the next caller.
struct CrossParts final : public Tamper
{
  bool PassPart(const Job& /*aJob*/, std::string& aData) override
  {
    std::swap(aData, this->last);
    return true;
  }
  std::string last;
};

// Says "not run" of requests that ran.
struct LieNotRun final : public Tamper
{
  bool DeliverFinal(const Job& /*aJob*/, FinalAnswer& aAnswer) override
  {
    aAnswer.outcome = Outcome::kNotRun;
    return true;
  }
};

// Says that a shutdown cut the request.
struct CutByDraining final : public Tamper
{
  bool DeliverFinal(const Job& /*aJob*/, FinalAnswer& aAnswer) override
  {
    aAnswer.outcome = Outcome::kCut;
    aAnswer.reason = Reason::kDraining;
    return true;
  }
};

// Loses every final answer.
struct LoseFinal final : public Tamper
{
  bool DeliverFinal(const Job& /*aJob*/, FinalAnswer& /*aAnswer*/) override { return false; }
};

// Changes a chunk between the processes.
struct SpoilChunk final : public Tamper
{
  bool Pass(Message& aMessage) override
  {
    if (auto* chunk = std::get_if<Chunk>(&aMessage)) {
      chunk->data = "spoilt";
    }
    return true;
  }
};

// Loses all configuration on its way to the agents.
struct LoseConfig final : public Tamper
{
  bool Pass(Message& aMessage) override { return !std::holds_alternative<ConfigTail>(aMessage); }
};

// Changes the configuration on its way to the agents.
struct SpoilConfig final : public Tamper
{
  bool Pass(Message& aMessage) override
  {
    auto* tail = std::get_if<ConfigTail>(&aMessage);
    for (std::size_t i = 0; tail != nullptr && i < tail->records.size(); ++i) {
      std::string& data = tail->records[i].data;
      const std::size_t found = data.find("\"highest_tier\":0");
      if (found != std::string::npos) {
        data[found + 15] = '2';
      }
    }
    return true;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(tamper)

BOOST_AUTO_TEST_CASE(calm_run_has_no_findings)
{
  const FaultResult result = Execute(Calm());
  BOOST_TEST(result.findings.empty(), DescribeFindings(result));
  BOOST_TEST(result.answered > 100U);
}

BOOST_AUTO_TEST_CASE(second_dispatch_is_found)
{
  DoubleDispatch broken;
  BOOST_TEST(HasFinding(Execute(Calm(), &broken), Invariant::kDispatchOnce));
}

BOOST_AUTO_TEST_CASE(second_booking_is_found)
{
  DoubleBooking broken;
  BOOST_TEST(HasFinding(Execute(Calm(), &broken), Invariant::kOnceOnly));
}

BOOST_AUTO_TEST_CASE(lost_part_is_found)
{
  LosePart broken;
  BOOST_TEST(HasFinding(Execute(Calm(), &broken), Invariant::kWholeAnswer));
}

BOOST_AUTO_TEST_CASE(crossed_parts_are_found)
{
  CrossParts broken;
  BOOST_TEST(HasFinding(Execute(Calm(), &broken), Invariant::kWholeAnswer));
}

BOOST_AUTO_TEST_CASE(lost_final_answer_is_found)
{
  LoseFinal broken;
  BOOST_TEST(HasFinding(Execute(Calm(), &broken), Invariant::kWholeAnswer));
}

BOOST_AUTO_TEST_CASE(spoilt_chunk_is_found_by_the_program)
{
  SpoilChunk broken;
  const FaultResult result = Execute(Calm(), &broken);
  BOOST_TEST(HasFinding(result, Invariant::kWholeAnswer));
  BOOST_TEST(result.answered == 0U);
}

BOOST_AUTO_TEST_CASE(false_not_run_is_found)
{
  LieNotRun broken;
  BOOST_TEST(HasFinding(Execute(Calm(), &broken), Invariant::kNotRunIsTrue));
}

BOOST_AUTO_TEST_CASE(cut_by_shutdown_is_found)
{
  CutByDraining broken;
  BOOST_TEST(HasFinding(Execute(Calm(), &broken), Invariant::kNoCutOnLeaving));
}

BOOST_AUTO_TEST_CASE(configuration_that_does_not_arrive_is_found)
{
  LoseConfig broken;
  BOOST_TEST(HasFinding(Execute(Calm(), &broken), Invariant::kConfigForward));
}

BOOST_AUTO_TEST_CASE(configuration_that_differs_is_found)
{
  SpoilConfig broken;
  BOOST_TEST(HasFinding(Execute(Calm(), &broken), Invariant::kConfigForward));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace caraway::bench
