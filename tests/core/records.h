// Helpers that build log records for tests.
#pragma once

#include "core/record.h"

#include <string>

namespace caraway::test {

inline std::string HashText(char aDigit)
{
  return std::string(64, aDigit);
}

inline Record MakeRecord(RecordKind aKind, std::string aName, std::string aChangeId,
                         std::optional<LogOffset> aBase, nlohmann::json aBody)
{
  Record record;
  record.kind = aKind;
  record.kindName = ToString(aKind);
  record.name = std::move(aName);
  record.changeId = std::move(aChangeId);
  record.baseRevision = aBase;
  record.body = std::move(aBody);
  return record;
}

inline nlohmann::json AccountBody(char aDigit)
{
  return { { "key_hashes", { HashText(aDigit) } }, { "highest_tier", 1 } };
}

inline nlohmann::json MoveBody(const std::string& aPool)
{
  return { { "pool", aPool },
           { "from", "v1" },
           { "to", "v2" },
           { "started_at_ms", 1000 },
           { "finish_by_ms", 601000 } };
}

inline nlohmann::json VerdictBody(const std::string& aMove, const char* aStage)
{
  return { { "move", aMove }, { "stage", aStage }, { "reason", "test" } };
}

} // namespace caraway::test
