#include "runtime/memory_account.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

namespace caraway {

namespace {

constexpr std::size_t kMegabyte = std::size_t{ 1 } << 20;
constexpr std::size_t kSmallestProcess = 88 * kMegabyte;
// Of the smallest process; smaller ones have a part of them. While it is sent to an endpoint, a
// body takes twice its size.
constexpr MemoryLimits kSmallestLimits = {
  .reading = 6 * kMegabyte,
  .requests = 6 * kMegabyte,
  .bodies = 24 * kMegabyte,
  .smallBodies = 32 * kMegabyte,
  .answer = 8 * kMegabyte,
  .answers = 12 * kMegabyte,
  .total = 48 * kMegabyte,
  .reserve = 4 * kMegabyte,
};
constexpr std::size_t kTrimPart = 32; // of the limit; less is not worth the time

double PartOfSmallest(std::size_t aProcessBytes)
{
  const std::size_t known = aProcessBytes == 0 ? kSmallestProcess : aProcessBytes;
  return static_cast<double>(known) / kSmallestProcess;
}

MemoryLimits ScaledLimits(double aPart)
{
  const auto scaled = [](std::size_t aBytes, double aFactor) {
    return static_cast<std::size_t>(static_cast<double>(aBytes) * aFactor);
  };
  const MemoryLimits& unit = kSmallestLimits;
  return { scaled(unit.reading, aPart),
           scaled(unit.requests, aPart),
           scaled(unit.bodies, aPart),
           scaled(unit.smallBodies, aPart),
           scaled(unit.answer, std::min(1.0, aPart)),
           scaled(unit.answers, aPart),
           scaled(unit.total, aPart),
           scaled(unit.reserve, aPart) };
}

} // namespace

std::string_view ToString(Holder aHolder)
{
  switch (aHolder) {
    case Holder::kReading:
      return "reading";
    case Holder::kRequest:
      return "requests";
    case Holder::kBody:
      return "bodies";
    case Holder::kAnswer:
      return "answers";
    case Holder::kFilter:
      return "filters";
  }
  return "unknown";
}

MemoryLimits LimitsFor(std::size_t aProcessBytes)
{
  return ScaledLimits(std::min(1.0, PartOfSmallest(aProcessBytes)));
}

MemoryLimits ProportionalLimits(std::size_t aProcessBytes)
{
  return ScaledLimits(PartOfSmallest(aProcessBytes));
}

bool MemoryAccount::HasRoomFor(std::size_t aBytes) const
{
  const std::size_t requests = this->Held(Holder::kRequest) + aBytes;
  if (aBytes <= kUsualRequestBytes) {
    return requests <= this->limits.requests + this->limits.reserve;
  }
  return requests <= this->limits.requests && this->total + aBytes <= this->limits.total;
}

void MemoryAccount::Change(Holder aHolder, std::size_t aOld, std::size_t aNew)
{
  std::size_t& part = this->held.at(static_cast<std::size_t>(aHolder));
  part += aNew - aOld;
  this->total += aNew - aOld;
  this->peak = std::max(this->peak, this->total);
}

void MemoryAccount::Trim()
{
  if (this->peak - this->total > this->limits.total / kTrimPart) {
    malloc_trim(0);
    this->peak = this->total;
  }
}

MemoryShare::MemoryShare(std::shared_ptr<MemoryAccount> aAccount, Holder aHolder,
                         std::size_t aBytes)
  : account(std::move(aAccount))
  , holder(aHolder)
{
  this->Set(aBytes);
}

MemoryShare::MemoryShare(MemoryShare&& aOther) noexcept
  : account(std::move(aOther.account))
  , holder(aOther.holder)
  , bytes(std::exchange(aOther.bytes, 0))
{
}

MemoryShare& MemoryShare::operator=(MemoryShare&& aOther) noexcept
{
  if (this != &aOther) {
    this->Set(0);
    this->account = std::move(aOther.account);
    this->holder = aOther.holder;
    this->bytes = std::exchange(aOther.bytes, 0);
  }
  return *this;
}

void MemoryShare::Set(std::size_t aBytes)
{
  if (this->account != nullptr && aBytes != this->bytes) {
    this->account->Change(this->holder, this->bytes, aBytes);
    this->bytes = aBytes;
  }
}

} // namespace caraway
