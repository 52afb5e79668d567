// Shows operators what became of a change.
#pragma once

#include "tools/change.h"
#include "tools/command.h"

namespace caraway {

// Shows the result of a dry run; returns the exit code.
int ShowDryRun(CommandContext& aContext, const Record& aRecord, const Applied& aApplied);

// Writes the record, shows whether it was accepted, and if aWait until it is in force at all live
// VMs. Returns the exit code.
int ApplyAndShow(CommandContext& aContext, Changer& aChanger, const Record& aRecord, bool aWait);

} // namespace caraway
