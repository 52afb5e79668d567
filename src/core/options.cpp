#include "core/options.h"

#include <array>

namespace caraway {

namespace {

using EntryRow = OptionRow<EntryOptions>;
using AgentRow = OptionRow<AgentOptions>;

constexpr std::array kEntryRows = {
  EntryRow{ "small_pool", &EntryOptions::smallPool, 1, 1000,
            "pools up to this size get a reservation at every agent" },
  EntryRow{ "reservations", &EntryOptions::reservations, 1, 100,
            "reservations of one request in a larger pool" },
  EntryRow{ "grant_reply_within_ms", &EntryOptions::grantReplyWithin, 10, 60000,
            "silence after which a granted request is queried" },
  EntryRow{ "resume_grace_ms", &EntryOptions::resumeGrace, 0, 600000,
            "how long the work of a caller that is gone is kept" },
  EntryRow{ "leave_notice_ms", &EntryOptions::leaveNotice, 0, 60000,
            "time between turning unready and closing the listener" },
  EntryRow{ "evidence_period_ms", &EntryOptions::evidencePeriod, 10, 60000,
            "period of outcome reports for version moves" },
  EntryRow{ "claim_batch_delay_ms", &EntryOptions::claimBatchDelay, 0, 1000,
            "how long claims wait to share an append" },
  EntryRow{ "claim_timeout_ms", &EntryOptions::claimTimeout, 100, 60000,
            "how long a claim may take before the call is refused" },
  EntryRow{ "key_window_ms", &EntryOptions::keyWindow, 1000, 86400000,
            "idempotency keys older than this are refused; shorter than the log's retention" },
  EntryRow{ "move_soak_ms", &EntryOptions::moveSoak, 0, 86400000,
            "how long the old version stays warm after the new one has all traffic" },
  EntryRow{ "max_bad_share", &EntryOptions::maxBadShare, 0.0001, 1,
            "share of traffic of a version that has not proved itself" },
  EntryRow{ "first_token_target_ms", &EntryOptions::firstTokenTarget, 1, 60000,
            "time from grant to first token that counts as good for a version" },
  EntryRow{ "inter_token_target_ms", &EntryOptions::interTokenTarget, 1, 10000,
            "mean time between tokens that counts as good for a version" },
  EntryRow{ "max_requests", &EntryOptions::maxRequests, 1, 1000000,
            "requests accepted and not yet answered" },
};

constexpr std::array kAgentRows = {
  AgentRow{ "inter_token_target_ms", &AgentOptions::interTokenTarget, 1, 10000,
            "time between two tokens that 95 in 100 must keep" },
  AgentRow{ "first_token_target_ms", &AgentOptions::firstTokenTarget, 1, 60000,
            "time to the first token that 95 in 100 must keep" },
  AgentRow{ "initial_limit", &AgentOptions::initialLimit, 1, 10000,
            "requests at once at the endpoint before anything is learned" },
  AgentRow{ "min_limit", &AgentOptions::minLimit, 1, 10000, "lowest limit of requests at once" },
  AgentRow{ "max_limit", &AgentOptions::maxLimit, 1, 10000, "highest limit of requests at once" },
  AgentRow{ "max_queue", &AgentOptions::maxQueue, 1, 1000000, "reservations in the queue" },
  AgentRow{ "offer_timeout_ms", &AgentOptions::offerTimeout, 1, 60000,
            "how long an offered slot is held for its grant" },
  AgentRow{ "stall_floor_ms", &AgentOptions::stallFloor, 1, 600000,
            "shortest silence of a stream that counts as a stall" },
  AgentRow{ "stall_factor", &AgentOptions::stallFactor, 1, 1000,
            "silence that counts as a stall, in multiples of the usual gap" },
  AgentRow{ "breaker_delay_ms", &AgentOptions::breakerDelay, 1, 600000,
            "time before a failed endpoint is probed" },
  AgentRow{ "keep_answer_ms", &AgentOptions::keepAnswer, 0, 600000,
            "how long an answer is kept whose entry is gone" },
  AgentRow{ "tombstone_time_ms", &AgentOptions::tombstoneTime, 1000, 86400000,
            "how long the agent refuses a late grant of a buried request" },
  AgentRow{ "max_tombstones", &AgentOptions::maxTombstones, 1, 10000000, "tombstones kept" },
  AgentRow{ "max_kept_bytes", &AgentOptions::maxKeptBytes, 1024, 1073741824,
            "bytes of answers kept for resumption" },
  AgentRow{ "suspect_time_ms", &AgentOptions::suspectTime, 1000, 86400000,
            "how long a fingerprint stays suspect" },
  AgentRow{ "max_suspects", &AgentOptions::maxSuspects, 1, 1000000, "fingerprints remembered" },
};

} // namespace

std::span<const OptionRow<EntryOptions>> EntryOptionTable()
{
  return kEntryRows;
}

std::span<const OptionRow<AgentOptions>> AgentOptionTable()
{
  return kAgentRows;
}

} // namespace caraway
