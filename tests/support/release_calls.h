// Provides release calls for tests and benchmarks.
#ifndef POMELOPOND_TESTS_SUPPORT_RELEASE_CALLS_H_
#define POMELOPOND_TESTS_SUPPORT_RELEASE_CALLS_H_

#include <string>

#include "tests/support/cluster.h"

namespace pomelopond::support {

// Returns a release note against version `base` that adds one service.
Json AddService(int64_t base, const std::string& name);

// Sends a release note to an admin. With `rebase` the admin may rebase it to the release in force.
http::HttpResult PostNote(const Endpoint& admin, const Json& note, bool rebase);

// Returns the release version that an admin holds, or -1 if the request failed. With
// `wait_until_stable` it reads until two successive reads agree.
int64_t AdminVersion(const Endpoint& admin, bool wait_until_stable);

// Returns the release version that a router holds, or -1 if the request failed.
int64_t RouterVersion(const Endpoint& router);

// Returns the release version that a scheduler holds, or -1 if the request failed.
int64_t SchedulerVersion(const Endpoint& scheduler);

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_RELEASE_CALLS_H_
