// Memory that the connections of one process hold, as one sum.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace caraway {

// What memory is held for, in the order in which it gives way.
enum class Holder : std::uint8_t
{
  kReading, // requests that are being read, without their bodies, and what was read ahead
  kRequest, // heads of requests that have no answer yet
  kBody,    // bodies of requests
  kAnswer,  // answers that callers do not read
  kFilter,  // state of the encryption of connections
};

constexpr std::size_t kHolderCount = 5;
constexpr std::size_t kUsualRequestBytes = 4096; // of a head or of a body

std::string_view ToString(Holder aHolder);

// Limits in bytes.
struct MemoryLimits
{
  std::size_t reading = 0;     // above it, the largest give way
  std::size_t requests = 0;    // of kRequest
  std::size_t bodies = 0;      // above it, bodies wait
  std::size_t smallBodies = 0; // above it, bodies that don't wait are refused
  std::size_t answer = 0;      // of one caller that reads too slowly
  std::size_t answers = 0;     // of all these
  std::size_t total = 0;       // of all holders
  std::size_t reserve = 0;     // for requests of the usual size only, whatever the others hold
};

// aProcessBytes: memory of the process; 0 if unknown, then that of the smallest VM. A larger
// process has the limits of the smallest VM.
MemoryLimits LimitsFor(std::size_t aProcessBytes);
// As LimitsFor, but all limits except that of one answer grow with the process.
MemoryLimits ProportionalLimits(std::size_t aProcessBytes);

class MemoryAccount
{
public:
  explicit MemoryAccount(std::size_t aProcessBytes = 0)
    : MemoryAccount(LimitsFor(aProcessBytes))
  {
  }
  explicit MemoryAccount(const MemoryLimits& aLimits)
    : limits(aLimits)
  {
  }

  const MemoryLimits& Limits() const { return this->limits; }
  std::size_t Held() const { return this->total; }
  std::size_t Held(Holder aHolder) const
  {
    return this->held.at(static_cast<std::size_t>(aHolder));
  }
  // Whether a request with a head of aBytes may be added.
  bool HasRoomFor(std::size_t aBytes) const;
  void Change(Holder aHolder, std::size_t aOld, std::size_t aNew);
  // Gives memory back to the system after much of it was freed.
  void Trim();

private:
  MemoryLimits limits;
  std::array<std::size_t, kHolderCount> held{};
  std::size_t total = 0;
  std::size_t peak = 0; // of total, since the last Trim that gave something back
};

// The part of one holder; ends with the object.
class MemoryShare
{
public:
  MemoryShare() = default;
  MemoryShare(std::shared_ptr<MemoryAccount> aAccount, Holder aHolder, std::size_t aBytes = 0);
  ~MemoryShare() { this->Set(0); }
  MemoryShare(MemoryShare&& aOther) noexcept;
  MemoryShare& operator=(MemoryShare&& aOther) noexcept;

  void Set(std::size_t aBytes);
  std::size_t Bytes() const { return this->bytes; }

private:
  std::shared_ptr<MemoryAccount> account;
  Holder holder = Holder::kReading;
  std::size_t bytes = 0;
};

} // namespace caraway
