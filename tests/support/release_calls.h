// Calls about releases, for tests and benchmarks.
#ifndef POMELOPOND_TESTS_SUPPORT_RELEASE_CALLS_H_
#define POMELOPOND_TESTS_SUPPORT_RELEASE_CALLS_H_

#include <string>

#include "tests/support/cluster.h"

namespace pomelopond::support {

// A note that adds one service.
Json AddService(int64_t base, const std::string& name);

http::HttpResult PostNote(const Endpoint& admin, const Json& note, bool rebase);

// The version that an admin holds, or -1. With `settle` it waits until two reads agree.
int64_t AdminVersion(const Endpoint& admin, bool wait_until_stable);

// The version that a router holds, or -1.
int64_t RouterVersion(const Endpoint& router);

// The version that a scheduler holds, or -1.
int64_t SchedulerVersion(const Endpoint& scheduler);

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_RELEASE_CALLS_H_
