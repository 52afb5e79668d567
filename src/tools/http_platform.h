// Platform and Fleet over HTTP. Each call runs a GLib main loop until the responses have arrived.
#pragma once

#include "runtime/address.h"
#include "tools/platform.h"

namespace caraway {

class SystemWaiter final : public Waiter
{
public:
  Now Read() const override { return this->clock.Read(); }
  void Sleep(Duration aTime) override;

private:
  SystemClock clock;
};

class HttpPlatform final : public Platform
{
public:
  explicit HttpPlatform(const Address& aAddress);

  AppendAnswer Append(const std::vector<std::string>& aRecords) override;
  ReadAnswer Read(LogOffset aFrom, Duration aWait) override;
  VmAnswer ListVms() override;

private:
  LogClient client;
};

// Addresses of the admin listeners: by VM name, otherwise a common port on the VM's address.
struct AdminAddresses
{
  std::map<std::string, Address> named;
  std::uint16_t port = 0;

  Address AddressOf(const Vm& aVm) const;
};

class HttpFleet final : public Fleet
{
public:
  HttpFleet(AdminAddresses aAddresses, Duration aTimeout);

  std::map<std::string, NodeAnswer> Get(const std::vector<Vm>& aVms,
                                        const std::string& aPath) override;

private:
  AdminAddresses addresses;
  Duration timeout;
  HttpSession session;
};

} // namespace caraway
