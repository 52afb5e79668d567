// Records of the platform's log. Older schema versions remain readable.
#pragma once

#include "core/types.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace caraway {

// Newest schema version that this build writes and understands.
constexpr std::uint32_t kSchemaVersion = 2;

enum class RecordKind : std::uint8_t
{
  kAccount,  // client account
  kTier,     // name and default deadlines of a tier
  kPool,     // model or plain service, its deadlines and its at-most-once routes
  kMove,     // version move {pool, from, to, finish_by}
  kVerdict,  // end of a move: completed or rolled back; the first in offset order wins
  kDrain,    // a node that must not accept new work
  kOrder,    // order to an engine; the record's offset is the fencing token
  kClaim,    // idempotency keys claimed by an entry
  kSnapshot, // state up to an offset
  kUnknown,  // kind of a newer build: stored and reported, not interpreted
};

std::string_view ToString(RecordKind aKind);
RecordKind RecordKindOf(std::string_view aName);

// A log record. Its JSON form:
// {"schema_version":2,"kind":"account","name":"shop","change_id":"...","base_revision":17|null,
//  "body":{...}}
struct Record
{
  std::uint32_t schemaVersion = kSchemaVersion;
  RecordKind kind = RecordKind::kUnknown;
  std::string kindName; // as in the log, also for unknown kinds
  std::string name;
  std::string changeId;
  std::optional<LogOffset> baseRevision; // offset of the replaced record; nullopt: new record
  nlohmann::json body;
};

// One error that a check found.
struct Finding
{
  std::string place; // JSON pointer, or a line of a file
  std::string text;
};

std::string EncodeRecord(const Record& aRecord);

// Parses a record. Errors are appended to aFindings; returns nullopt if there are any.
std::optional<Record> DecodeRecord(std::string_view aText, std::vector<Finding>& aFindings);

// Checks the body of a record of a known kind against its schema.
void CheckBody(const Record& aRecord, std::vector<Finding>& aFindings);

} // namespace caraway
