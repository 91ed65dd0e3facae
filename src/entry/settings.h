// Settings of the entry program.
#ifndef POMELOPOND_ENTRY_SETTINGS_H_
#define POMELOPOND_ENTRY_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/endpoint.h"
#include "base/json_reader.h"
#include "base/time.h"

namespace pomelopond::entry {

struct Settings {
  std::string host;
  std::string failure_domain;
  Endpoint callers;           // takes callers' requests
  Endpoint readiness;         // asked by the load balancer
  uint16_t metrics_port = 0;  // on the address of `callers`; 0: none
  Endpoint store;
  std::optional<Endpoint> policy;  // names the workers of queues that need permits
  std::string log_level = "info";
  int http_threads = 2;
  int64_t max_body_bytes = 262144;
  // The longest lease that workers grant.
  Duration max_lease = std::chrono::seconds(5);
  // From SIGTERM to the end of the process.
  Duration stop_limit = std::chrono::seconds(5);
  // How long callers may ask for a finished job.
  Duration status_time = std::chrono::seconds(120);
};

// Reports each error with its path; the result is meaningful only without errors.
Settings ReadSettings(const Json& document, FieldErrors* errors);

// The settings document that ReadSettings reads as `settings`.
Json ToJson(const Settings& settings);

// Leases on workers for these settings: long enough to survive a change of the owner, and never
// longer than workers grant.
Duration RunLease(const Settings& settings);

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_SETTINGS_H_
