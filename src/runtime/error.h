// Errors of GLib and errno as std::error_code.
#pragma once

#include <gio/gio.h>

#include <system_error>

namespace caraway {

// The std::error_code nearest to a GIO error; io_error for anything without a counterpart.
std::error_code ToErrorCode(const GError* aError);

} // namespace caraway
