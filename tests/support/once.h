// Provides non-idempotent requests and the check of their reported outcomes against the runs.
#ifndef POMELOPOND_TESTS_SUPPORT_ONCE_H_
#define POMELOPOND_TESTS_SUPPORT_ONCE_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "tests/support/cluster.h"

namespace pomelopond::support {

// Returns a new idempotency token of the router, or an empty string if the request failed.
std::string FetchToken(const Endpoint& router, const std::string& service_path);

// Records the outcomes that were reported to callers, by request ID. Thread-safe.
class OutcomeLog {
 public:
  // `outcome` is the value of the Pomelopond-Outcome header; empty if the caller got no answer.
  void Add(const std::string& id, const std::string& outcome);
  std::map<std::string, std::vector<std::string>> All() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> outcomes_;
};

// The result of comparing the reported outcomes with the target's own count of runs.
struct OutcomeCheck {
  std::vector<std::string> run_twice;      // IDs of requests that were run more than once
  std::vector<std::string> false_not_run;  // IDs of requests reported as "not-run" that were run
  std::vector<std::string> false_done;     // IDs of requests reported as "done" that were not run
  int64_t requests = 0;                    // number of requests
  int64_t done = 0;                        // requests reported as "done" at least once
  int64_t not_run = 0;                     // requests reported as "not-run" at least once
  int64_t unknown = 0;                     // requests reported as neither
};

// `runs` holds the number of runs by request ID, as in the answer of GET /counts.
OutcomeCheck CheckOutcomes(const std::map<std::string, std::vector<std::string>>& outcomes,
                           const Json& runs);

// Sends one request with `token` as its idempotency key and records its outcome under `id`.
http::HttpResult SendWithToken(const Endpoint& router, const std::string& service_path,
                               const std::string& id, const std::string& token, Duration deadline,
                               OutcomeLog* log, const http::Headers& extra_headers = {});

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_ONCE_H_
