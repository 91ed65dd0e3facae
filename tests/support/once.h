// Non-idempotent requests of a test and the judgement of their outcomes.
#ifndef POMELOPOND_TESTS_SUPPORT_ONCE_H_
#define POMELOPOND_TESTS_SUPPORT_ONCE_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "tests/support/cluster.h"

namespace pomelopond::support {

// A fresh token of the router, or an empty string.
std::string FetchToken(const Endpoint& router, const std::string& service_path);

// The outcomes that callers were given, by request id. Thread-safe.
class OutcomeLog {
 public:
  // `outcome` is the Pomelopond-Outcome header; empty when the caller got no answer.
  void Add(const std::string& id, const std::string& outcome);
  std::map<std::string, std::vector<std::string>> All() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> outcomes_;
};

// Compares outcomes with the target's own count of runs.
struct OutcomeCheck {
  std::vector<std::string> run_twice;
  std::vector<std::string> false_not_run;  // "not-run" was said, but it ran
  std::vector<std::string> false_done;     // "done" was said, but it did not run
  int64_t requests = 0;
  int64_t done = 0;     // requests of which some caller knows that they are done
  int64_t not_run = 0;  // requests of which some caller knows that they were not run
  int64_t unknown = 0;  // all others
};

OutcomeCheck CheckOutcomes(const std::map<std::string, std::vector<std::string>>& outcomes,
                           const Json& runs);

// Sends one request with the token and records its outcome under `id`.
http::HttpResult SendWithToken(const Endpoint& router, const std::string& service_path,
                               const std::string& id, const std::string& token, Duration deadline,
                               OutcomeLog* log, const http::Headers& extra_headers = {});

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_ONCE_H_
