// Prints the result of a change for operators.
#pragma once

#include "tools/change.h"
#include "tools/command.h"

namespace caraway {

// Prints the result of a dry run; returns the exit code.
int ShowDryRun(CommandContext& aContext, const Record& aRecord, const Applied& aApplied);

// Writes the record and prints whether it was accepted. With aWait, also waits until it is in force
// at all live VMs. Returns the exit code.
int ApplyAndShow(CommandContext& aContext, ChangeWriter& aWriter, const Record& aRecord,
                 bool aWait);

} // namespace caraway
