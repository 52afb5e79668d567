// Cold endpoints: their limits from the configuration, and log lines.
#include "gateway/gateway.h"
#include "runtime/log.h"

namespace caraway::gateway {

using std::chrono::milliseconds;

void Gateway::SetColdLimits()
{
  for (auto& [id, info] : this->endpoints) {
    const direct::ServiceSpec* service =
      this->config == nullptr ? nullptr : this->config->FindService(info.service);
    info.coldLimits = {};
    if (service != nullptr && service->coldRate > 0) {
      info.coldLimits = { service->coldTime, service->coldRate,
                          service->coldRate * this->settings.coldOverage +
                            this->settings.coldSlack };
    }
  }
}

void Gateway::OnColdPhase(const direct::EndpointInfo& aEndpoint, Duration aRemaining,
                          std::string_view aSource)
{
  LogEvent(LogLevel::kInfo, "endpoint_cold",
           { { "endpoint", aEndpoint.id },
             { "born_ms", std::to_string(aEndpoint.bornMs) },
             { "phase", aRemaining > Duration::zero() ? "cold" : "warm" },
             { "remaining_ms", std::to_string(aRemaining / milliseconds(1)) },
             { "source", std::string(aSource) },
             { "registered_ms", std::to_string(aEndpoint.coldRemaining / milliseconds(1)) } });
}

} // namespace caraway::gateway
