// Measures R8: restarts all routers one after the other under load. Callers choose routers by
// /readyz, as the platform's load balancer does, and use keep-alive connections without automatic
// retries. Target: no request that was sent lacks a complete response.
#include <signal.h>

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
using support::RawClient;

constexpr Duration kReadyPoll = std::chrono::milliseconds(500);  // of the load balancer
constexpr Duration kCallTimeout = std::chrono::seconds(30);
constexpr Duration kExitLimit = std::chrono::seconds(60);
constexpr int kBuyInterval = 5;  // one request in this many is non-idempotent

struct Options {
  int rounds = 0;
  int callers = 0;
  int64_t service_ms = 0;
  int64_t pace_ms = 0;
};

struct Load {
  explicit Load(int routers) : ready(static_cast<size_t>(routers)) {}

  std::vector<std::atomic<bool>> ready;
  std::atomic<bool> stopped{false};
  std::atomic<int64_t> completed{0};   // responses with the expected status
  std::atomic<int64_t> incomplete{0};  // requests sent without a complete response
  std::atomic<int64_t> refused{0};     // unexpected statuses and failed connections
};

// Returns the next ready router in round-robin order, as a load balancer does.
size_t NextReady(const Load& load, size_t from) {
  for (size_t n = 1; n <= load.ready.size(); ++n) {
    const size_t it = (from + n) % load.ready.size();
    if (load.ready[it].load()) return it;
  }
  return (from + 1) % load.ready.size();
}

std::optional<http::HttpResponse> CallAndCount(RawClient* client, const http::HttpRequest& request,
                                               int expected, Load* load) {
  if (!client->Connect()) {
    load->refused.fetch_add(1);
    return std::nullopt;
  }
  std::optional<http::HttpResponse> response = client->Call(request, kCallTimeout);
  if (!response) {
    load->incomplete.fetch_add(1);
  } else if (response->status == expected) {
    load->completed.fetch_add(1);
  } else {
    load->refused.fetch_add(1);
  }
  return response;
}

void Call(const Cluster& cluster, size_t number, const Options& options, Load* load) {
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int n = 0; n < cluster.entry_hosts(); ++n) {
    clients.push_back(std::make_unique<RawClient>(cluster.Router(n)));
  }
  size_t router = number;
  for (size_t n = 0; !load->stopped.load(); ++n) {
    router = NextReady(*load, router);
    http::HttpRequest request;
    request.method = "POST";
    request.body = "order";
    request.path = "/v1/services/svc/quote";
    if (n % kBuyInterval == 0) {
      request.path = "/v1/services/svc/buy";
      const auto token_response = CallAndCount(clients[router].get(), request, 428, load);
      if (!token_response) continue;
      const std::string token = http::HeaderOf(token_response->headers, http::kTokenHeader);
      if (token.empty()) continue;
      request.headers[http::kIdempotencyKeyHeader] = token;
      // The load balancer may send the second request to another router.
      router = NextReady(*load, router);
    }
    CallAndCount(clients[router].get(), request, 200, load);
    std::this_thread::sleep_for(std::chrono::milliseconds(options.pace_ms));
  }
}

int Run(const Options& options) {
  support::ClusterOptions cluster_options;
  cluster_options.net = 211;
  cluster_options.service_ms = options.service_ms;
  Cluster cluster(cluster_options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  if (!cluster.PutDefaultReleaseInForce()) return 1;
  Load load(cluster.entry_hosts());
  for (auto& it : load.ready) it.store(true);
  std::thread balancer([&cluster, &load] {
    while (!load.stopped.load()) {
      for (int n = 0; n < cluster.entry_hosts(); ++n) {
        const http::HttpResult result =
            support::Send(cluster.Router(n), "GET", "/readyz", {}, {}, std::chrono::seconds(1));
        load.ready[static_cast<size_t>(n)].store(!result.ec && result.response.status == 200);
      }
      std::this_thread::sleep_for(kReadyPoll);
    }
  });
  std::vector<std::thread> callers;
  for (int n = 0; n < options.callers; ++n) {
    callers.emplace_back(
        [&cluster, &load, &options, n] { Call(cluster, static_cast<size_t>(n), options, &load); });
  }
  int64_t restarts = 0;
  int64_t bad_exits = 0;
  for (int round = 0; round < options.rounds; ++round) {
    for (int n = 0; n < cluster.entry_hosts(); ++n) {
      std::this_thread::sleep_for(std::chrono::seconds(1));
      support::Process& router = cluster.ProgramOf("router", n);
      router.Signal(SIGTERM);
      if (router.Wait(kExitLimit) != 0) bad_exits += 1;
      cluster.StartProgram("router", n);
      support::WaitUntil([&load, n] { return load.ready[static_cast<size_t>(n)].load(); });
      restarts += 1;
    }
  }
  load.stopped.store(true);
  for (std::thread& it : callers) it.join();
  balancer.join();
  return Report("rolling-restart",
                {{"restarts", static_cast<double>(restarts)},
                 {"whole", static_cast<double>(load.completed.load())},
                 {"cut", static_cast<double>(load.incomplete.load())},
                 {"refused", static_cast<double>(load.refused.load())},
                 {"bad_exits", static_cast<double>(bad_exits)}},
                load.incomplete.load() == 0 && bad_exits == 0 && load.completed.load() > 0);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) {
  cxxopts::Options flags("rolling-restart", "Rolling restart of all routers under load");
  flags.add_options()("seed", "accepted by every benchmark; unused, as nothing is random",
                      cxxopts::value<uint64_t>()->default_value("1"))(
      "rounds", "restarts of each router", cxxopts::value<int>()->default_value("3"))(
      "callers", "callers", cxxopts::value<int>()->default_value("24"))(
      "service-ms", "service time", cxxopts::value<int64_t>()->default_value("20"))(
      "pace-ms", "pause of each caller between requests",
      cxxopts::value<int64_t>()->default_value("2"));
  const cxxopts::ParseResult args = flags.parse(argc, argv);
  pomelopond::bench::Options options;
  options.rounds = args["rounds"].as<int>();
  options.callers = args["callers"].as<int>();
  options.service_ms = args["service-ms"].as<int64_t>();
  options.pace_ms = args["pace-ms"].as<int64_t>();
  return pomelopond::bench::Run(options);
}
