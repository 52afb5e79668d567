// Connection of a caller to an IngressServer. Included by its sources only.
#pragma once

#include "runtime/answer_head.h"
#include "runtime/ingress_server.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace caraway {

namespace ingress {

// Time for the caller to read the last answer and close before the connection is dropped.
constexpr Duration kLingerTime = std::chrono::seconds(1);
// Bodies up to this size do not wait, so that a few callers that announce large ones and send
// nothing cannot delay them.
constexpr std::size_t kMaxSmallBodyBytes = 64 << 10;

} // namespace ingress

// In the order in which connections are closed for others.
enum class CloseLoss : std::uint8_t
{
  kNothing,
  kPartOfHead, // that was sent so far
  kPartOfBody,
  kUnreadAnswer,
};

// Reads a request, sends its answer, and lingers after the last answer until the caller closes.
class IngressServer::Connection final
  : public TcpOwner
  , public IngressExchange
  , public std::enable_shared_from_this<IngressServer::Connection>
{
public:
  Connection(IngressServer& aServer, int aFd)
    : server(aServer)
    , socket(aServer.poller, *this)
    , since(aServer.clock.Read().steady)
    , readingShare(aServer.account, Holder::kReading)
    , answerShare(aServer.account, Holder::kAnswer)
  {
    this->socket.SetMaxInput(MaxInput(aServer.limits.headBytes, 0));
    if (aServer.filters == nullptr) {
      this->socket.Adopt(aFd);
    } else {
      this->filterShare =
        MemoryShare(aServer.account, Holder::kFilter, aServer.filters->MaxBytes());
      this->socket.Adopt(aFd, aServer.filters->Make());
    }
  }

  void OnInput() override
  {
    const auto self = this->shared_from_this();
    if (this->state == State::kLingering) {
      std::string().swap(this->socket.Input());
      return;
    }
    this->ReadRequest();
    this->server.LimitReading();
  }

  // The caller has read its answer; the next request may follow.
  void OnDrained() override
  {
    const auto self = this->shared_from_this();
    this->answerShare.Set(0);
    if (this->state == State::kReading && this->isAnswerUnread) {
      this->BeginNextRequest();
    }
  }

  void OnInputEnd(bool) override
  {
    const auto self = this->shared_from_this();
    const bool wasAnswering = this->state == State::kAnswering;
    this->Drop(false);
    if (wasAnswering) {
      this->server.handler.OnCallerGone(*this);
    }
  }

  void Respond(std::uint16_t aStatus, std::string_view aReason, const HeaderFields& aFields,
               std::string_view aBody) override
  {
    this->BeginBody(aStatus, aReason, aFields, aBody.size());
    this->WriteBody(aBody);
    this->FinishBody();
  }

  void BeginBody(std::uint16_t aStatus, std::string_view aReason, const HeaderFields& aFields,
                 std::optional<std::uint64_t> aLength) override
  {
    if (this->state != State::kAnswering) {
      return;
    }
    this->isClosing = this->isClosing || this->server.isLeaving;
    this->isChunked = !aLength.has_value() && this->isHttp11;
    this->isUntilClose = !aLength.has_value() && !this->isHttp11;
    this->isClosing = this->isClosing || this->isUntilClose;
    this->isHeadOnly = this->isHeadRequest;
    AppendHead(this->unsentOutput, aStatus, aReason, aFields);
    if (this->isChunked) {
      this->unsentOutput += "Transfer-Encoding: chunked\r\n";
    } else if (aLength) {
      this->unsentOutput += "Content-Length: ";
      AppendNumber(this->unsentOutput, *aLength);
      this->unsentOutput += "\r\n";
    }
    if (this->isClosing) {
      this->unsentOutput += "Connection: close\r\n";
    }
    this->unsentOutput += "\r\n";
  }

  void WriteBody(std::string_view aData) override
  {
    if (this->state != State::kAnswering) {
      return;
    }
    if (!this->isHeadOnly && !aData.empty()) {
      if (this->isChunked) {
        AppendNumber(this->unsentOutput, aData.size(), 16);
        this->unsentOutput += "\r\n";
      }
      this->unsentOutput += aData;
      if (this->isChunked) {
        this->unsentOutput += "\r\n";
      }
    }
    this->Send();
    if (!this->server.MayHoldOutput(this->socket.PendingOutput())) {
      this->OnInputEnd(true);
    }
  }

  void FinishBody() override
  {
    if (this->state != State::kAnswering) {
      return;
    }
    if (this->isChunked && !this->isHeadOnly) {
      this->unsentOutput += "0\r\n\r\n";
    }
    this->Send();
    this->EndAnswer();
  }

  void Abort() override
  {
    if (this->state != State::kAnswering) {
      return;
    }
    this->unsentOutput.clear();
    this->Drop(this->isUntilClose); // a close would complete the answer
  }

  std::size_t PendingOutput() const { return this->socket.PendingOutput(); }
  std::string RemoteHost() const { return this->socket.RemoteHost(); }
  std::size_t ReadingBytes() const { return this->readingShare.Bytes(); }
  TimePoint Since() const { return this->since; }
  bool IsReadingHead() const
  {
    return this->state == State::kReading && this->reader != nullptr && !this->reader->IsHeadDone();
  }
  // What is lost if the connection is closed; nullopt if a request is at work.
  std::optional<CloseLoss> LossOfClose() const
  {
    if (this->IsIdle() || this->state == State::kLingering) {
      return this->PendingOutput() == 0 ? CloseLoss::kNothing : CloseLoss::kUnreadAnswer;
    }
    if (this->state == State::kReading) {
      return this->IsReadingHead() ? CloseLoss::kPartOfHead : CloseLoss::kPartOfBody;
    }
    return std::nullopt;
  }

  // Gives back what is held of requests that are not at work. An answer is still sent to its end.
  void GiveWay()
  {
    if (this->state == State::kReading && this->reader != nullptr) {
      this->RejectForRoom();
      return;
    }
    this->isClosing = true;
    std::string().swap(this->socket.Input());
    this->UpdateShares();
    if (this->state == State::kReading) {
      this->Drop(false);
    }
  }
  // Also while there is no room for the body.
  bool IsReadingBody() const
  {
    return this->state == State::kReading && this->reader != nullptr && this->reader->IsHeadDone();
  }
  // Since when a body is read for which memory is held; nullopt if none is.
  std::optional<TimePoint> ReadingBodySince() const
  {
    const bool isReadingBody = this->state == State::kReading && this->bodyHold != nullptr;
    return isReadingBody ? std::optional(this->readingSince) : std::nullopt;
  }
  bool IsIdle() const { return this->state == State::kReading && !this->hasBytes; }

  // Drops idle and lingering connections and rejects requests that exceeded their timeout.
  void CheckTimeouts(TimePoint aNow);

  void Drop(bool aAbort)
  {
    this->state = State::kClosed;
    this->EndPause();
    this->bodyHold.reset();
    this->readingShare.Set(0);
    this->answerShare.Set(0);
    this->filterShare.Set(0);
    this->socket.Close(aAbort);
    this->server.connections.erase(this->shared_from_this());
  }

  void ReadRequest();

  // Reads the body if there is room for it now.
  bool Resume();

private:
  static constexpr std::size_t kMinInputBytes = std::size_t{ 1 } << 10;
  static constexpr std::size_t kMaxSpareInputBytes = std::size_t{ 4 } << 10;
  static constexpr std::size_t kBodyReadBytes = std::size_t{ 256 } << 10;

  // Limit of the input buffer that the reader always empties below. Clients decide what they send,
  // so that no more than a head of the largest size is read ahead.
  static std::size_t MaxInput(std::size_t aHeadBytes, std::size_t aBodyBytes)
  {
    return std::max(aHeadBytes + kMinInputBytes, aBodyBytes);
  }

  enum class State : std::uint8_t
  {
    kReading,
    kAnswering,
    kLingering,
    kClosed,
  };

  // Size of the body by its head; the largest one if the head does not tell.
  std::size_t BodySize() const
  {
    const auto length = FindField(this->reader->Head().fields, "Content-Length");
    std::uint64_t size = this->server.limits.bodyBytes;
    if (length) {
      std::from_chars(length->value.data(), length->value.data() + length->value.size(), size);
    }
    return static_cast<std::size_t>(size);
  }

  // Asks the handler once whether the body is to be read.
  bool IsBodyWanted();

  // Waits until there is room for the body; meanwhile, the rest of it stays in the kernel.
  void BeginBodyOrPause();

  // Lets the connections behind this one try again.
  void EndPause()
  {
    if (std::exchange(this->isPaused, false)) {
      this->server.bufferedReadTimer.ArmAfter(Duration::zero());
    }
  }

  void BeginBody();

  // Stops reading while the request is answered, so that further data stays in the kernel.
  void Deliver(TimePoint aNow);

  void SendContinueIfExpected()
  {
    if (this->isExpectChecked || !this->reader->IsHeadDone()) {
      return;
    }
    this->isExpectChecked = true;
    const auto expect = FindField(this->reader->Head().fields, "Expect");
    if (expect && FieldNamesEqual(expect->value, "100-continue")) {
      this->socket.Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }

  // Answers a request that could not be read, and closes the connection.
  void Reject(std::uint16_t aStatus, std::string_view aReason)
  {
    this->state = State::kAnswering;
    this->isClosing = true;
    this->bodyHold.reset();
    this->reader.reset();
    this->server.handler.OnUnreadable(*this, aStatus, aReason);
  }

  void RejectForRoom();

  void Send()
  {
    this->socket.Write(this->unsentOutput);
    this->unsentOutput.clear();
    this->answerShare.Set(this->socket.PendingOutput());
  }

  // What is held while a request is read, without its body, and of those that were read ahead.
  std::size_t HeadBytes() const
  {
    const RequestHead& head = this->reader->Head();
    return head.fields.Bytes() + head.target.capacity() + head.method.capacity();
  }

  // Gives back the buffer of what the reader has taken over.
  void ShrinkInput()
  {
    std::string& input = this->socket.Input();
    if (input.capacity() > kMaxSpareInputBytes && input.size() < input.capacity() / 4) {
      input.shrink_to_fit();
    }
  }

  void UpdateShares()
  {
    const std::size_t head = this->reader == nullptr ? 0 : this->HeadBytes();
    this->readingShare.Set(head + this->socket.Input().capacity());
  }

  void EndAnswer()
  {
    this->since = this->server.clock.Read().steady;
    if (this->isClosing) {
      this->state = State::kLingering;
      std::string().swap(this->socket.Input());
      this->UpdateShares();
      this->socket.ShutdownOutput();
      this->socket.SetReading(true);
      return;
    }
    this->state = State::kReading;
    this->isAnswerUnread = this->socket.PendingOutput() > 0;
    if (this->server.isStopped) {
      this->Drop(false);
    } else if (!this->isAnswerUnread) {
      this->BeginNextRequest();
    }
  }

  // A caller that reads no answers has one request at work, so that its answers don't add up.
  void BeginNextRequest()
  {
    this->isAnswerUnread = false;
    this->socket.SetReading(true);
    this->socket.ReleaseBuffers();
    this->UpdateShares();
    if (!this->socket.Input().empty()) {
      this->server.bufferedConnections.push_back(this->weak_from_this());
      this->server.bufferedReadTimer.ArmAfter(Duration::zero());
    }
  }

  IngressServer& server;
  TcpSocket socket;
  State state = State::kReading;
  TimePoint since;          // start of the state; while a request is read, time of its first byte
  TimePoint readingSince{}; // start of the time for reading a request, or for waiting for room
  std::shared_ptr<void> bodyHold; // while the body is read
  MemoryShare readingShare;
  MemoryShare answerShare;
  MemoryShare filterShare;
  std::unique_ptr<RequestReader> reader;
  std::string unsentOutput; // output not yet passed to the socket
  bool hasBytes = false;
  bool isExpectChecked = false;
  bool isHeadChecked = false;
  bool isPaused = false;       // until there is room for the body
  bool isAnswerUnread = false; // the last one; the next request is not read before
  bool isClosing = false;
  bool isChunked = false;
  bool isHeadOnly = false;
  bool isHeadRequest = false;
  bool isHttp11 = true;
  bool isUntilClose = false; // the end of the connection ends the answer
};

} // namespace caraway
