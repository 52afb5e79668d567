// Record files written by operators: one JSON object or a list of them. Members of the envelope
// that carawayctl can fill in may be missing.
#pragma once

#include "core/random.h"
#include "core/record.h"

#include <optional>
#include <string>
#include <vector>

namespace caraway {

// A record and its position in the file.
struct FileRecord
{
  Record record;
  std::string place;    // JSON pointer
  bool hasBase = false; // the file gives the base revision
};

// Text of the file aName, or of the standard input if aName is "-"; nullopt if it cannot be read.
std::optional<std::string> ReadTextFile(const std::string& aName);

// Parses the records in the text of a file and checks their bodies. Each finding is added with its
// place. A missing schema_version defaults to the newest, a missing change_id is generated.
std::vector<FileRecord> ReadRecords(const std::string& aText, WallTime aTime, Random& aRandom,
                                    std::vector<Finding>& aFindings);

} // namespace caraway
