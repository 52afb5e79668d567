#include "runtime/error.h"

namespace caraway {

namespace {

std::errc ToErrc(int aCode)
{
  switch (aCode) {
    case G_IO_ERROR_ADDRESS_IN_USE:
      return std::errc::address_in_use;
    case G_IO_ERROR_PERMISSION_DENIED:
      return std::errc::permission_denied;
    case G_IO_ERROR_CONNECTION_REFUSED:
      return std::errc::connection_refused;
    case G_IO_ERROR_CONNECTION_CLOSED:
      return std::errc::connection_reset;
    case G_IO_ERROR_TIMED_OUT:
      return std::errc::timed_out;
    case G_IO_ERROR_HOST_UNREACHABLE:
      return std::errc::host_unreachable;
    case G_IO_ERROR_NETWORK_UNREACHABLE:
      return std::errc::network_unreachable;
    case G_IO_ERROR_CANCELLED:
      return std::errc::operation_canceled;
    case G_IO_ERROR_NOT_FOUND:
      return std::errc::no_such_file_or_directory;
    case G_IO_ERROR_TOO_MANY_OPEN_FILES:
      return std::errc::too_many_files_open;
    default:
      return std::errc::io_error;
  }
}

} // namespace

std::error_code ToErrorCode(const GError* aError)
{
  if (aError == nullptr) {
    return {};
  }
  const bool isIoError = aError->domain == G_IO_ERROR;
  return std::make_error_code(isIoError ? ToErrc(aError->code) : std::errc::io_error);
}

} // namespace caraway
