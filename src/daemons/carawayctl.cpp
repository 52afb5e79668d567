// carawayctl: command line tool for operators.
#include "tools/ctl.h"
#include "tools/http_platform.h"
#include "tools/record_file.h"

#include <iostream>
#include <random>

namespace {

using namespace caraway;

constexpr Duration kNodeTimeout = std::chrono::seconds(3); // for one call to an admin listener

// Reads the file of admin addresses and prints every error in it; false if there is one.
bool ReadNodes(const std::string& aFile, AdminAddresses& aAddresses)
{
  if (aFile.empty()) {
    return true;
  }
  const auto text = ReadTextFile(aFile);
  const auto json = nlohmann::json::parse(text.value_or(""), nullptr, false);
  if (!json.is_object()) {
    std::cerr << aFile << ": /: must be a JSON object of names and addresses\n";
    return false;
  }
  bool isValid = true;
  for (const auto& [name, value] : json.items()) {
    const auto address = value.is_string() ? ParseAddress(value.get<std::string>()) : std::nullopt;
    if (address) {
      aAddresses.named[name] = *address;
    } else {
      std::cerr << aFile << ": /" << name << ": must be ip:port\n";
      isValid = false;
    }
  }
  return isValid;
}

} // namespace

int main(int aCount, char** aValues)
{
  const std::vector<std::string> arguments(aValues + 1, aValues + aCount);
  int code = kExitOk;
  const auto options = ReadCtlOptions(arguments, CARAWAY_VERSION, std::cout, std::cerr, code);
  if (!options) {
    return code;
  }
  AdminAddresses addresses;
  addresses.port = options->adminPort;
  if (!ReadNodes(options->nodes, addresses)) {
    return kExitUsage;
  }
  const auto address = ParseAddress(options->platform);
  if (!options->platform.empty() && !address) {
    std::cerr << "carawayctl: --platform must be ip:port\n";
    return kExitUsage;
  }
  std::random_device device;
  Random random((std::uint64_t{ device() } << 32) | device());
  SystemWaiter waiter;
  HttpPlatform platform(address.value_or(Address{ "127.0.0.1", 1 }));
  HttpFleet fleet(addresses, kNodeTimeout);
  CommandContext context{ platform,  fleet,     waiter,        random,
                          std::cout, std::cerr, options->json, options->timeout };
  return RunCommand(*options, context);
}
