// Settings of pomelopond-entry, the program of the entry hosts.
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
  Endpoint callers;                // address that accepts the requests of callers
  Endpoint readiness;              // address that answers the readiness probes of the load balancer
  uint16_t metrics_port = 0;       // port on the address of `callers`; 0 disables the endpoint
  Endpoint store;                  // address of the metadata store
  std::optional<Endpoint> policy;  // grants permits for the workers of queues that need them
  std::string log_level = "info";
  // Processor time of this host: a share of each of its cores. Cores may be fractional, as one may
  // be faster or slower than usual. A share of 0 means unknown.
  double processor_share = 0;
  double processor_cores = 1;
  double link_mbps = 0;                 // rate of this host's network link, in Mbit/s; 0: unknown
  int64_t memory_mb = 0;                // memory that this process may take, in MiB; 0: unknown
  int64_t max_fds = 0;                  // descriptors that this process may open; 0: unknown
  int64_t store_value_bytes = 1048576;  // largest value that the store holds
  int http_threads = 2;
  // Limits of requests. The configuration in force may set others.
  int64_t max_header_bytes = 16384;
  int64_t max_header_fields = 200;
  int64_t max_body_bytes = 262144;
  Duration header_timeout = std::chrono::seconds(10);  // to send a header
  Duration body_timeout = std::chrono::seconds(60);    // to send a body
  Duration write_timeout = std::chrono::seconds(30);   // to read a response
  Duration idle_timeout = std::chrono::seconds(120);   // between requests
  // Longest lease that workers grant.
  Duration max_lease = std::chrono::seconds(5);
  // Maximum time from SIGTERM to the exit of the process.
  Duration stop_limit = std::chrono::seconds(5);
  // Time for which callers can query a finished job.
  Duration status_time = std::chrono::seconds(120);
  // As owner of the pool, avoid slow workers, rescue their runs, and start copies of speculative
  // tasks.
  bool rescue_slow_runs = false;
  // The owner orders jobs of one priority by value and work, and not by age alone.
  bool order_by_work = false;
  // Jobs that would complete too late to be of use are refused.
  bool admission_control = false;
};

// Adds each error to `errors` with its path in the document. The result is valid only if there are
// no errors.
Settings ReadSettings(const Json& document, FieldErrors* errors);

// Returns the document from which ReadSettings() reads `settings`.
Json ToJson(const Settings& settings);

// Returns the processor time of this host in thousandths of a core, or 0 if it is unknown. Faster
// hosts own the pool by preference.
int64_t ProcessorMilli(const Settings& settings);

// Returns the duration of the leases of runs on workers. It is long enough for runs to survive a
// failover of the owner, but never longer than workers grant.
Duration RunLease(const Settings& settings);

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_SETTINGS_H_
