// Exit codes of carawayctl.
#pragma once

namespace caraway {

constexpr int kExitOk = 0;
constexpr int kExitUnreachable = 1; // the platform or a needed process could not be reached
constexpr int kExitUsage = 2;       // invalid command line, settings or record files
constexpr int kExitRejected = 3;    // the change was read back from the log and rejected
constexpr int kExitTimeout = 4;     // not decided, or not in force everywhere, in the given time
constexpr int kExitDiffers = 5;     // diff: the files and the records differ

} // namespace caraway
