// Measures R7: the time from the first signal that a target is leaving to the last request that it
// receives, under load through all routers. Target: at most 2 s for each kind of signal.
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

constexpr Duration kMaxLastArrival = std::chrono::seconds(2);
constexpr Duration kObservationTime = std::chrono::seconds(8);  // after the signal
constexpr Duration kPoll = std::chrono::milliseconds(10);
constexpr Duration kCallTimeout = std::chrono::seconds(30);

struct Load {
  std::atomic<bool> stopped{false};
  std::atomic<int64_t> completed{0};
  std::atomic<int64_t> failed{0};
};

void Call(const Cluster& cluster, int number, Load* load) {
  support::RawClient client(cluster.Router(number % cluster.entry_hosts()));
  http::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/services/svc/quote";
  while (!load->stopped.load()) {
    const auto response = client.Call(request, kCallTimeout);
    const bool completed = response && response->status == 200;
    (completed ? load->completed : load->failed).fetch_add(1);
  }
}

// Returns the number of requests that reached the target, including those that it refused, or -1 if
// the count could not be read.
int64_t ArrivedAt(const Cluster& cluster, const Endpoint& target) {
  const Json counts = support::Get(cluster.Targets().front(), "/counts");
  if (counts.is_null()) return -1;
  return counts["arrived_by_target"].value(ToString(target), int64_t{0});
}

// Observes the target for `kObservationTime` and returns the time from the call to the last request
// that the target received.
Duration LastArrival(const Cluster& cluster, const Endpoint& target) {
  const TimePoint signaled_at = Now();
  Duration last{};
  int64_t seen = -1;
  for (TimePoint now = Now(); now - signaled_at < kObservationTime; now = Now()) {
    const int64_t n = ArrivedAt(cluster, target);
    if (n > seen && seen >= 0) last = Now() - signaled_at;
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
  // The host list still reports the first two targets as "live", as a lagging list does.
  support::SetFault(targets.front(),
                    {{"service_ms", 5}, {"leaving", true}, {"only", ToString(targets[0])}});
  const Duration self_reported = LastArrival(cluster, targets[0]);
  support::SetFault(
      targets.front(),
      {{"service_ms", 5}, {"leaving", true}, {"refuse", true}, {"only", ToString(targets[1])}});
  const Duration refusal = LastArrival(cluster, targets[1]);
  support::SetFault(targets.front(), {{"service_ms", 5}});
  const auto host = cluster.hosts().hosts.find("worker-3");
  support::Send(cluster.host_list(), "POST", "/v1/hosts/state",
                Json({{"host", host->first}, {"state", "leaving"}}).dump());
  const Duration host_list_state = LastArrival(cluster, host->second.targets.front().endpoint);
  load.stopped.store(true);
  for (std::thread& it : threads) it.join();
  const bool holds = self_reported <= kMaxLastArrival && refusal <= kMaxLastArrival &&
                     host_list_state <= kMaxLastArrival;
  return Report("leaving",
                {{"own_word_ms", Milliseconds(self_reported)},
                 {"refusal_with_word_ms", Milliseconds(refusal)},
                 {"host_list_ms", Milliseconds(host_list_state)},
                 {"whole", static_cast<double>(load.completed.load())},
                 {"failed", static_cast<double>(load.failed.load())}},
                holds && load.completed.load() > 0);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) {
  cxxopts::Options flags("leaving", "Time until a leaving target receives no new requests");
  flags.add_options()("seed", "accepted by every benchmark; unused, as nothing is random",
                      cxxopts::value<uint64_t>()->default_value("1"))(
      "callers", "callers", cxxopts::value<int>()->default_value("24"));
  const cxxopts::ParseResult args = flags.parse(argc, argv);
  return pomelopond::bench::Run(args["callers"].as<int>());
}
