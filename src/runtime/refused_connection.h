// A connection whose call is refused before it was read completely. Sends the answer, then discards
// further input until the caller closes or a time limit expires, so that the answer is not lost in
// a connection reset.
#pragma once

#include "runtime/call_parser.h"
#include "runtime/glib_ptr.h"
#include "runtime/timer.h"

#include <array>
#include <functional>
#include <string>

namespace caraway {

class RefusedConnection
{
public:
  // aOnClosed is called from the main loop when the connection may be destroyed.
  // aSocket: socket of aStream, which may be a TLS stream.
  RefusedConnection(ObjectPtr<GIOStream> aStream, ObjectPtr<GSocket> aSocket,
                    const Rejection& aRejection, std::function<void()> aOnClosed);
  ~RefusedConnection();
  RefusedConnection(const RefusedConnection&) = delete;
  RefusedConnection& operator=(const RefusedConnection&) = delete;

private:
  static void OnWritten(GObject* aSource, GAsyncResult* aResult, void* aData);
  static void OnRead(GObject* aSource, GAsyncResult* aResult, void* aData);
  void Drain();

  static constexpr std::size_t kDrainBytes = 16384;

  ObjectPtr<GIOStream> stream;
  ObjectPtr<GSocket> socket;
  ObjectPtr<GCancellable> cancellable;
  std::string answer;
  std::array<char, kDrainBytes> discarded{};
  std::function<void()> onClosed;
  Timer lingerTimer;
};

} // namespace caraway
