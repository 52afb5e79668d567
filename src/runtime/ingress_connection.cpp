#include "runtime/ingress_connection.h"

#include <charconv>
#include <utility>

namespace caraway {

void IngressServer::Connection::ReadRequest()
{
  if (this->state != State::kReading || this->socket.Input().empty() || this->isAnswerUnread) {
    return;
  }
  const TimePoint now = this->server.clock.Read().steady;
  if (!this->hasBytes) {
    this->hasBytes = true;
    this->since = now;
    this->readingSince = now;
    this->reader =
      std::make_unique<RequestReader>(this->server.limits.headBytes, this->server.limits.bodyBytes);
    this->socket.SetMaxInput(MaxInput(this->server.limits.headBytes, 0));
  }
  const ReadState result = this->reader->Read(this->socket.Input());
  this->ShrinkInput();
  this->UpdateShares();
  switch (result) {
    case ReadState::kMore:
      if (this->reader->IsHeadDone()) {
        this->socket.SetMaxInput(MaxInput(this->server.limits.headBytes, kBodyReadBytes));
        if (this->bodyHold == nullptr && this->IsBodyWanted()) {
          this->BeginBodyOrPause();
        }
      }
      return;
    case ReadState::kDone:
      this->Deliver(now);
      return;
    case ReadState::kHeadTooBig:
      this->Reject(431, "Request Header Fields Too Large");
      return;
    case ReadState::kBodyTooBig:
      this->Reject(413, "Content Too Large");
      return;
    case ReadState::kMalformed:
      this->Reject(400, "Bad Request");
      return;
  }
}

bool IngressServer::Connection::IsBodyWanted()
{
  if (this->isHeadChecked) {
    return true;
  }
  this->isHeadChecked = true;
  const RequestHead& head = this->reader->Head();
  this->isHeadRequest = head.method == "HEAD";
  this->isHttp11 = head.isHttp11;
  const bool wasClosing = std::exchange(this->isClosing, true);
  this->state = State::kAnswering;
  if (!this->server.handler.OnHead(*this, head)) {
    this->reader.reset();
    this->UpdateShares();
    return false;
  }
  this->state = State::kReading;
  this->isClosing = wasClosing;
  return true;
}

void IngressServer::Connection::BeginBodyOrPause()
{
  const std::size_t size = this->BodySize();
  const bool isFirst = this->server.pausedConnections.empty();
  if (size <= ingress::kMaxSmallBodyBytes) {
    if (this->server.MakeRoomForSmallBody(size)) {
      this->BeginBody();
    } else {
      this->RejectForRoom();
    }
    return;
  }
  if (isFirst && this->server.HasRoomFor(size)) {
    this->BeginBody();
    return;
  }
  if (!this->isPaused) {
    this->isPaused = true;
    this->readingSince = this->server.clock.Read().steady;
    this->socket.SetReading(false);
    this->server.pausedConnections.push_back(this->weak_from_this());
    this->server.bufferedReadTimer.ArmAfter(Duration::zero());
  }
}

bool IngressServer::Connection::Resume()
{
  if (!this->isPaused) {
    return true; // it was rejected or dropped
  }
  if (!this->server.HasRoomFor(this->BodySize())) {
    return false;
  }
  this->isPaused = false;
  this->readingSince = this->server.clock.Read().steady;
  this->BeginBody();
  this->socket.SetReading(true);
  return true;
}

void IngressServer::Connection::BeginBody()
{
  const std::size_t size = this->BodySize();
  this->bodyHold = this->server.bodyMemory->Hold(size);
  if (FindField(this->reader->Head().fields, "Content-Length")) {
    this->reader->Body().reserve(size);
  }
  this->SendContinueIfExpected();
}

void IngressServer::Connection::Deliver(TimePoint aNow)
{
  const std::size_t size = this->reader->Body().size();
  const bool hasWaited = this->bodyHold != nullptr && size > ingress::kMaxSmallBodyBytes;
  const MemoryLimits& limits = this->server.account->Limits();
  const std::size_t reserve = size <= kUsualRequestBytes ? limits.reserve : 0;
  const bool hasBodyRoom = size == 0 || hasWaited ||
                           this->server.bodyMemory->Held() + size <= limits.smallBodies + reserve;
  const std::size_t headBytes = this->HeadBytes();
  if (!hasBodyRoom || !this->server.account->HasRoomFor(headBytes)) {
    this->RejectForRoom();
    return;
  }
  IngressRequest request;
  request.headShare = MemoryShare(this->server.account, Holder::kRequest, headBytes);
  if (size > 0) {
    request.bodyHold = this->server.bodyMemory->Hold(size);
  }
  this->bodyHold.reset();
  request.firstByteAt = this->since;
  request.readAt = aNow;
  this->isClosing = !this->reader->KeepsAlive();
  request.head = std::move(this->reader->Head());
  request.body = std::move(this->reader->Body());
  this->isHeadRequest = request.head.method == "HEAD";
  this->isHttp11 = request.head.isHttp11;
  this->reader.reset();
  this->UpdateShares();
  this->isExpectChecked = false;
  this->isHeadChecked = false;
  this->hasBytes = false;
  this->state = State::kAnswering;
  this->socket.SetReading(false);
  this->server.handler.OnRequest(this->shared_from_this(), std::move(request));
}

void IngressServer::Connection::RejectForRoom()
{
  const auto self = this->shared_from_this();
  this->state = State::kAnswering;
  this->isClosing = true;
  this->EndPause();
  this->bodyHold.reset();
  const RequestHead head = std::move(this->reader->Head());
  this->reader.reset();
  std::string().swap(this->socket.Input());
  this->UpdateShares();
  this->server.handler.OnNoRoom(*this, head);
}

void IngressServer::Connection::CheckTimeouts(TimePoint aNow)
{
  const IngressLimits& limits = this->server.limits;
  const bool hasLingered =
    this->state == State::kLingering && aNow - this->since > ingress::kLingerTime;
  const bool hasIdledTooLong = this->IsIdle() && aNow - this->since > limits.idleTimeout;
  if (hasLingered || hasIdledTooLong) {
    this->Drop(false);
  } else if (this->state == State::kReading && this->hasBytes &&
             aNow - this->readingSince > limits.headTimeout) {
    if (this->isPaused) {
      this->RejectForRoom();
    } else {
      this->Reject(408, "Request Timeout");
    }
  }
}

} // namespace caraway
