// A connection whose call is refused before it was read whole: gets the answer, then everything the
// caller still sends is thrown away until it closes or a time limit ends, so that the answer is not
// lost in a connection reset.
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
  // aDone is called once, from the main loop, when the connection is closed.
  // aSocket: below aStream, which may be TLS.
  RefusedConnection(ObjectPtr<GIOStream> aStream, ObjectPtr<GSocket> aSocket,
                    const Rejection& aRejection, std::function<void()> aDone);
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
  std::array<char, kDrainBytes> rest{};
  std::function<void()> done;
  Timer limit;
};

} // namespace caraway
