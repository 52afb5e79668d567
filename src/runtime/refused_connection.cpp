#include "runtime/refused_connection.h"

#include "runtime/answer_format.h"

#include <libsoup/soup.h>

#include <utility>

namespace caraway {

namespace {

constexpr Duration kLingerTime = std::chrono::seconds(2);

std::string FormatAnswer(const Rejection& aRejection)
{
  const std::string body = RejectionJson(aRejection);
  std::string answer = "HTTP/1.1 " + std::to_string(aRejection.status) + " " +
                       soup_status_get_phrase(aRejection.status) + "\r\n";
  answer += "Content-Type: application/json\r\nConnection: close\r\nCaraway-Outcome: not_run\r\n";
  answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  return answer;
}

} // namespace

RefusedConnection::RefusedConnection(ObjectPtr<GIOStream> aStream, ObjectPtr<GSocket> aSocket,
                                     const Rejection& aRejection, std::function<void()> aOnClosed)
  : stream(std::move(aStream))
  , socket(std::move(aSocket))
  , cancellable(g_cancellable_new())
  , answer(FormatAnswer(aRejection))
  , onClosed(std::move(aOnClosed))
  , lingerTimer([this] { this->onClosed(); })
{
  this->lingerTimer.ArmAfter(kLingerTime);
  g_output_stream_write_all_async(g_io_stream_get_output_stream(this->stream.get()),
                                  this->answer.data(), this->answer.size(), G_PRIORITY_DEFAULT,
                                  this->cancellable.get(), &RefusedConnection::OnWritten, this);
}

// Callbacks of cancelled operations check for the cancellation before they access the object, which
// is destroyed by then.
RefusedConnection::~RefusedConnection()
{
  g_cancellable_cancel(this->cancellable.get());
  g_io_stream_close_async(this->stream.get(), G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
}

void RefusedConnection::OnWritten(GObject* aSource, GAsyncResult* aResult, void* aData)
{
  GError* raw = nullptr;
  const bool isWritten =
    g_output_stream_write_all_finish(G_OUTPUT_STREAM(aSource), aResult, nullptr, &raw);
  const ErrorPtr error(raw);
  if (g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
    return;
  }
  auto* self = static_cast<RefusedConnection*>(aData);
  if (!isWritten) {
    self->onClosed();
    return;
  }
  if (self->socket) {
    g_socket_shutdown(self->socket.get(), FALSE, TRUE, nullptr);
  }
  self->Drain();
}

void RefusedConnection::Drain()
{
  g_input_stream_read_async(g_io_stream_get_input_stream(this->stream.get()),
                            this->discarded.data(), this->discarded.size(), G_PRIORITY_DEFAULT,
                            this->cancellable.get(), &RefusedConnection::OnRead, this);
}

void RefusedConnection::OnRead(GObject* aSource, GAsyncResult* aResult, void* aData)
{
  GError* raw = nullptr;
  const gssize count = g_input_stream_read_finish(G_INPUT_STREAM(aSource), aResult, &raw);
  const ErrorPtr error(raw);
  if (g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
    return;
  }
  auto* self = static_cast<RefusedConnection*>(aData);
  if (count <= 0) {
    self->onClosed();
    return;
  }
  self->Drain();
}

} // namespace caraway
