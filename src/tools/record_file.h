// Records as operators write them: one JSON object or a list of them in a file. The envelope may be
// left out as far as carawayctl can fill it in.
#pragma once

#include "core/random.h"
#include "core/record.h"

#include <optional>
#include <string>
#include <vector>

namespace caraway {

// A record of a file with its place in it.
struct FileRecord
{
  Record record;
  std::string place;    // JSON pointer
  bool hasBase = false; // the file names the base revision
};

// Text of the file called aName, "-" for the standard input; nullopt if it cannot be read.
std::optional<std::string> ReadText(const std::string& aName);

// Reads records from the text of a file and checks their bodies. Every finding is added with its
// place. Missing members: schema_version is the newest, change_id is made up.
std::vector<FileRecord> ReadRecords(const std::string& aText, WallTime aTime, Random& aRandom,
                                    std::vector<Finding>& aFindings);

} // namespace caraway
