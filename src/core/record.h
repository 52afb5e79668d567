// Records of the platform's log. Several schema versions are read side by side.
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
  kTier,     // names and default deadlines of a tier
  kPool,     // model or plain service, its routes and which calls must run once
  kMove,     // version move {pool, from, to, finish_by}
  kVerdict,  // end of a move: done or taken back; the first in offset order wins
  kDrain,    // a node that must take no new work
  kOrder,    // order to an engine; the record's offset is the fencing number
  kClaim,    // idempotency keys claimed by an entry
  kSnapshot, // state up to an offset
  kUnknown,  // written by a newer build: kept and reported, never guessed at
};

std::string_view ToString(RecordKind aKind);
RecordKind RecordKindOf(std::string_view aName);

// A record as it stands in the log:
// {"schema_version":2,"kind":"account","name":"shop","change_id":"...","base_revision":17|null,
//  "body":{...}}
struct Record
{
  std::uint32_t schemaVersion = kSchemaVersion;
  RecordKind kind = RecordKind::kUnknown;
  std::string kindName; // as written, also for unknown kinds
  std::string name;
  std::string changeId;
  std::optional<LogOffset> baseRevision; // offset of the record replaced; none: must not exist
  nlohmann::json body;
};

// A finding of a check: where it is and what is wrong.
struct Finding
{
  std::string place; // JSON pointer, or a line of a file
  std::string text;
};

std::string EncodeRecord(const Record& aRecord);

// Reads a record; findings are added to aFindings and nothing is returned if there are any.
std::optional<Record> DecodeRecord(std::string_view aText, std::vector<Finding>& aFindings);

// Checks the body of a record of a known kind against its schema.
void CheckBody(const Record& aRecord, std::vector<Finding>& aFindings);

} // namespace caraway
