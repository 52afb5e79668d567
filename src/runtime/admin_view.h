// State and operations of a process that are available to operators.
#pragma once

#include "core/config.h"

#include <string>

namespace caraway {

class AdminView
{
public:
  virtual ~AdminView() = default;
  // JSON object with the state of the process.
  virtual std::string StatusJson() const = 0;
  virtual const ConfigState& Config() const = 0;
  // Begins a graceful shutdown; a repeated call does nothing.
  virtual void BeginLeaving() = 0;
  virtual bool IsLeaving() const = 0;
  // True if a leaving process has finished its work and may exit.
  virtual bool IsDone() const = 0;
};

} // namespace caraway
