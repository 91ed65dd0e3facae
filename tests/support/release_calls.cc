#include "tests/support/release_calls.h"

#include <thread>

namespace pomelopond::support {
namespace {

// Time between two reads of a version that must agree.
constexpr Duration kStableInterval = std::chrono::milliseconds(300);
const http::Headers kAuthorization = {{"Authorization", "Bearer test-key"}};

int64_t IntMember(const Endpoint& endpoint, const std::string& path, const char* name) {
  const http::HttpResult result = Send(endpoint, "GET", path, {}, kAuthorization);
  const Result<Json> document = ParseJson(result.response.body);
  if (result.ec || !document.ok() || !document.value.is_object()) return -1;
  return document.value.value(name, int64_t{-1});
}

}  // namespace

Json AddService(int64_t base, const std::string& name) {
  return {
      {"base", base}, {"author", "test"}, {"add", {{"services", {{name, {{"team", "team"}}}}}}}};
}

http::HttpResult PostNote(const Endpoint& admin, const Json& note, bool rebase) {
  return Send(admin, "POST", rebase ? "/v1/release?rebase=1" : "/v1/release", note.dump(),
              kAuthorization);
}

int64_t AdminVersion(const Endpoint& admin, bool wait_until_stable) {
  int64_t version = IntMember(admin, "/v1/release", "version");
  while (wait_until_stable) {
    std::this_thread::sleep_for(kStableInterval);
    const int64_t again = IntMember(admin, "/v1/release", "version");
    if (again == version) break;
    version = again;
  }
  return version;
}

int64_t RouterVersion(const Endpoint& router) { return IntMember(router, "/readyz", "release"); }

int64_t SchedulerVersion(const Endpoint& scheduler) {
  return IntMember(scheduler, "/readyz", "release");
}

}  // namespace pomelopond::support
