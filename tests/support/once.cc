#include "tests/support/once.h"

#include <algorithm>

namespace pomelopond::support {
namespace {

// How much longer than its deadline a caller waits, so that the router's answer can reach it.
constexpr Duration kAnswerMargin = std::chrono::seconds(10);

bool Contains(const std::vector<std::string>& outcomes, const std::string& outcome) {
  return std::find(outcomes.begin(), outcomes.end(), outcome) != outcomes.end();
}

}  // namespace

std::string FetchToken(const Endpoint& router, const std::string& service_path) {
  const http::HttpResult result = Send(router, "POST", service_path);
  return result.ec ? "" : http::HeaderOf(result.response.headers, http::kTokenHeader);
}

void OutcomeLog::Add(const std::string& id, const std::string& outcome) {
  const std::lock_guard<std::mutex> lock(mutex_);
  outcomes_[id].push_back(outcome);
}

std::map<std::string, std::vector<std::string>> OutcomeLog::All() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return outcomes_;
}

OutcomeCheck CheckOutcomes(const std::map<std::string, std::vector<std::string>>& outcomes,
                           const Json& runs) {
  OutcomeCheck check;
  for (const auto& [id, list] : outcomes) {
    const int64_t n = runs.value(id, int64_t{0});
    const bool done = Contains(list, "done");
    const bool not_run = Contains(list, "not-run");
    if (n > 1) check.run_twice.push_back(id);
    if (not_run && n > 0) check.false_not_run.push_back(id);
    if (done && n == 0) check.false_done.push_back(id);
    check.requests += 1;
    check.done += done ? 1 : 0;
    check.not_run += not_run ? 1 : 0;
    check.unknown += done || not_run ? 0 : 1;
  }
  return check;
}

http::HttpResult SendWithToken(const Endpoint& router, const std::string& service_path,
                               const std::string& id, const std::string& token, Duration deadline,
                               OutcomeLog* log, const http::Headers& extra_headers) {
  http::Headers headers = extra_headers;
  headers["X-Request-Id"] = id;
  headers[http::kIdempotencyKeyHeader] = token;
  headers[http::kTimeoutHeader] =
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(deadline).count());
  http::HttpResult result =
      Send(router, "POST", service_path, id, headers, deadline + kAnswerMargin);
  log->Add(id, result.ec ? "" : http::HeaderOf(result.response.headers, http::kOutcomeHeader));
  return result;
}

}  // namespace pomelopond::support
