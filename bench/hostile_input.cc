// Sends malformed and hostile notes and API calls. Each must be rejected with an error code and
// change nothing.
#include "tests/support/hostile_input.h"

#include <cxxopts.hpp>

#include "base/result_code.h"
#include "bench/support/bench_result.h"
#include "tests/support/cluster.h"
#include "tests/support/release_calls.h"

namespace pomelopond::bench {
namespace {

int Main(int argc, char** argv) {
  cxxopts::Options options("bench-hostile-input", "Hostile notes and API calls");
  options.add_options()("count", "requests", cxxopts::value<int>()->default_value("300"))(
      "seed", "random seed of the request generator",
      cxxopts::value<uint32_t>()->default_value("1"));
  const cxxopts::ParseResult args = options.parse(argc, argv);
  support::ClusterOptions cluster_options;
  cluster_options.net = 230;
  cluster_options.hosts_per_rack = 1;
  support::Cluster cluster(cluster_options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  if (!cluster.PutDefaultReleaseInForce()) return 1;
  const int64_t before = support::AdminVersion(cluster.Admin(0), true);
  int numbered = 0;
  int other = 0;
  for (const http::HttpRequest& it :
       support::HostileRequests(args["count"].as<int>(), args["seed"].as<uint32_t>(), "test-key")) {
    const http::HttpResult result =
        support::Send(cluster.Admin(0), it.method, it.path, it.body, it.headers);
    const Result<Json> body = ParseJson(result.response.body);
    const bool good = !result.ec && result.response.status >= 400 && result.response.status < 500 &&
                      body.ok() && body.value.is_object() && body.value.value("code", 0) >= 100;
    (good ? numbered : other) += 1;
    if (good) continue;
    std::printf("%s %s: status %d, %s\n", it.method.c_str(), it.path.c_str(),
                result.response.status, result.ec.message().c_str());
  }
  const int64_t after = support::AdminVersion(cluster.Admin(0), true);
  return Report("hostile-input",
                {{"requests", numbered + other},
                 {"numbered_errors", numbered},
                 {"other", other},
                 {"version_before", static_cast<double>(before)},
                 {"version_after", static_cast<double>(after)}},
                other == 0 && before == after);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
