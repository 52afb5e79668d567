// Converts GLib errors to std::error_code.
#pragma once

#include <gio/gio.h>

#include <system_error>

namespace caraway {

// Maps a GIO error to the closest std::error_code; io_error if there is no equivalent.
std::error_code ToErrorCode(const GError* aError);

} // namespace caraway
