// Two operators concurrently submit notes on the same base version while the store occasionally
// loses a response. Exactly one note of each pair must be accepted.
#include <atomic>
#include <cxxopts.hpp>
#include <random>
#include <thread>

#include "bench/support/bench_result.h"
#include "tests/support/cluster.h"
#include "tests/support/release_calls.h"

namespace pomelopond::bench {
namespace {

int Main(int argc, char** argv) {
  cxxopts::Options options("bench-release-race", "Concurrent release notes on the same base");
  options.add_options()("races", "number", cxxopts::value<int>()->default_value("1000"))(
      "lost-percent", "percentage of races in which the store loses a response",
      cxxopts::value<int>()->default_value("20"))("seed", "random seed of the faults",
                                                  cxxopts::value<uint32_t>()->default_value("1"));
  const cxxopts::ParseResult args = options.parse(argc, argv);
  support::ClusterOptions cluster_options;
  cluster_options.net = 231;
  cluster_options.entry_hosts = 2;
  cluster_options.hosts_per_rack = 1;
  support::Cluster cluster(cluster_options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  if (!cluster.PutDefaultReleaseInForce()) return 1;
  std::mt19937 random(args["seed"].as<uint32_t>());
  int exactly_one = 0;
  int64_t version = 1;
  for (int race = 0; race < args["races"].as<int>(); ++race) {
    const bool lose = static_cast<int>(random() % 100) < args["lost-percent"].as<int>();
    if (lose) support::SetFault(cluster.store(), {{"lose_answers", 1}});
    std::atomic<int> accepted{0};
    const auto post = [&](int host) {
      const std::string name = "svc-" + std::to_string(race) + "-" + std::to_string(host);
      const http::HttpResult result =
          support::PostNote(cluster.Admin(host), support::AddService(version, name), false);
      accepted += result.response.status == 200 ? 1 : 0;
    };
    std::thread other([&post] { post(1); });
    post(0);
    other.join();
    exactly_one += accepted.load() == 1 ? 1 : 0;
    version += accepted.load();
  }
  // Every accepted note must be present, and no version may be lost or assigned twice.
  const int64_t found = support::AdminVersion(cluster.Admin(0), true);
  const int races = args["races"].as<int>();
  return Report("release-race",
                {{"races", races},
                 {"exactly_one_accepted", exactly_one},
                 {"version_expected", static_cast<double>(version)},
                 {"version_found", static_cast<double>(found)}},
                exactly_one == races && found == version);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
