// Measures R7: the time from the first sign that a target leaves to the last request that it takes,
// under load through all routers. Target: at most 2 s for each kind of sign.
#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

#include "bench/support/bench_result.h"
#include "tests/support/cluster.h"
#include "tests/support/raw_client.h"

namespace pomelopond::bench {
namespace {

using support::Cluster;

constexpr Duration kBound = std::chrono::seconds(2);
constexpr Duration kWatch = std::chrono::seconds(8);  // after the sign
constexpr Duration kPoll = std::chrono::milliseconds(10);
constexpr Duration kCallTimeout = std::chrono::seconds(30);

struct Load {
  std::atomic<bool> over{false};
  std::atomic<int64_t> whole{0};
  std::atomic<int64_t> failed{0};
};

void Call(const Cluster& cluster, int number, Load* load) {
  support::RawClient client(cluster.Router(number % cluster.entry_hosts()));
  http::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/services/svc/quote";
  while (!load->over.load()) {
    const auto response = client.Call(request, kCallTimeout);
    const bool whole = response && response->status == 200;
    (whole ? load->whole : load->failed).fetch_add(1);
  }
}

// Requests that reached the target, also those that it refused; -1 when it did not say.
int64_t ArrivedAt(const Cluster& cluster, const Endpoint& target) {
  const Json counts = support::Get(cluster.Targets().front(), "/counts");
  if (counts.is_null()) return -1;
  return counts["arrived_by_target"].value(ToString(target), int64_t{0});
}

// The time of the last request that the target took, counted from now.
Duration LastArrival(const Cluster& cluster, const Endpoint& target) {
  const TimePoint sign = Now();
  Duration last{};
  int64_t seen = -1;
  for (TimePoint now = Now(); now - sign < kWatch; now = Now()) {
    const int64_t n = ArrivedAt(cluster, target);
    if (n > seen && seen >= 0) last = Now() - sign;
    if (n >= 0) seen = n;
    std::this_thread::sleep_for(kPoll);
  }
  return last;
}

double Milliseconds(Duration value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

int Run(int callers) {
  support::ClusterOptions options;
  options.net = 212;
  options.service_ms = 5;
  Cluster cluster(options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  if (!cluster.PutDefaultReleaseInForce()) return 1;
  Load load;
  std::vector<std::thread> threads;
  for (int n = 0; n < callers; ++n) {
    threads.emplace_back([&cluster, &load, n] { Call(cluster, n, &load); });
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const std::vector<Endpoint> targets = cluster.Targets();
  // The list keeps saying "live" of the first two targets, as one that lags does.
  support::SetFault(targets.front(),
                    {{"service_ms", 5}, {"leaving", true}, {"only", ToString(targets[0])}});
  const Duration own_word = LastArrival(cluster, targets[0]);
  support::SetFault(
      targets.front(),
      {{"service_ms", 5}, {"leaving", true}, {"refuse", true}, {"only", ToString(targets[1])}});
  const Duration refusal = LastArrival(cluster, targets[1]);
  support::SetFault(targets.front(), {{"service_ms", 5}});
  const auto host = cluster.hosts().hosts.find("worker-3");
  support::Send(cluster.host_list(), "POST", "/v1/hosts/state",
                Json({{"host", host->first}, {"state", "leaving"}}).dump());
  const Duration listed = LastArrival(cluster, host->second.targets.front().endpoint);
  load.over.store(true);
  for (std::thread& it : threads) it.join();
  const bool holds = own_word <= kBound && refusal <= kBound && listed <= kBound;
  return Report("leaving",
                {{"own_word_ms", Milliseconds(own_word)},
                 {"refusal_with_word_ms", Milliseconds(refusal)},
                 {"host_list_ms", Milliseconds(listed)},
                 {"whole", static_cast<double>(load.whole.load())},
                 {"failed", static_cast<double>(load.failed.load())}},
                holds && load.whole.load() > 0);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) {
  cxxopts::Options flags("leaving", "Time until a leaving target gets nothing new");
  flags.add_options()("seed", "accepted for uniformity; nothing is drawn",
                      cxxopts::value<uint64_t>()->default_value("1"))(
      "callers", "callers", cxxopts::value<int>()->default_value("24"));
  const cxxopts::ParseResult args = flags.parse(argc, argv);
  return pomelopond::bench::Run(args["callers"].as<int>());
}
