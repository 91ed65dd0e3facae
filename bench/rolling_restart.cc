// Measures R8: all routers are restarted one after the other under load. Callers follow /readyz as
// the platform's balancer does and use kept-alive connections that repeat nothing by themselves.
// Target: no request is cut.
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

constexpr Duration kReadyPoll = std::chrono::milliseconds(500);  // of the balancer
constexpr Duration kCallTimeout = std::chrono::seconds(30);
constexpr Duration kExitLimit = std::chrono::seconds(60);
constexpr int kBuyShare = 5;  // one request in this many is not idempotent

struct Options {
  int rounds = 0;
  int callers = 0;
  int64_t service_ms = 0;
  int64_t pace_ms = 0;
};

struct Load {
  explicit Load(int routers) : ready(static_cast<size_t>(routers)) {}

  std::vector<std::atomic<bool>> ready;
  std::atomic<bool> over{false};
  std::atomic<int64_t> whole{0};    // answered 200
  std::atomic<int64_t> cut{0};      // sent, and no whole answer
  std::atomic<int64_t> refused{0};  // answered with an error or no connection
};

// Chooses the next ready router as a balancer does.
size_t NextReady(const Load& load, size_t from) {
  for (size_t n = 1; n <= load.ready.size(); ++n) {
    const size_t it = (from + n) % load.ready.size();
    if (load.ready[it].load()) return it;
  }
  return (from + 1) % load.ready.size();
}

std::optional<http::HttpResponse> Count(RawClient* client, const http::HttpRequest& request,
                                        int expected, Load* load) {
  if (!client->Connect()) {
    load->refused.fetch_add(1);
    return std::nullopt;
  }
  std::optional<http::HttpResponse> response = client->Call(request, kCallTimeout);
  if (!response) {
    load->cut.fetch_add(1);
  } else if (response->status == expected) {
    load->whole.fetch_add(1);
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
  for (size_t n = 0; !load->over.load(); ++n) {
    router = NextReady(*load, router);
    http::HttpRequest request;
    request.method = "POST";
    request.body = "order";
    request.path = "/v1/services/svc/quote";
    if (n % kBuyShare == 0) {
      request.path = "/v1/services/svc/buy";
      const auto offer = Count(clients[router].get(), request, 428, load);
      if (!offer) continue;
      const std::string token = http::HeaderOf(offer->headers, http::kTokenHeader);
      if (token.empty()) continue;
      request.headers[http::kIdempotencyKeyHeader] = token;
      // The balancer may send the second request elsewhere.
      router = NextReady(*load, router);
    }
    Count(clients[router].get(), request, 200, load);
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
    while (!load.over.load()) {
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
  load.over.store(true);
  for (std::thread& it : callers) it.join();
  balancer.join();
  return Report("rolling-restart",
                {{"restarts", static_cast<double>(restarts)},
                 {"whole", static_cast<double>(load.whole.load())},
                 {"cut", static_cast<double>(load.cut.load())},
                 {"refused", static_cast<double>(load.refused.load())},
                 {"bad_exits", static_cast<double>(bad_exits)}},
                load.cut.load() == 0 && bad_exits == 0 && load.whole.load() > 0);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) {
  cxxopts::Options flags("rolling-restart", "Restarts routers under load");
  flags.add_options()("seed", "accepted for uniformity; nothing is drawn",
                      cxxopts::value<uint64_t>()->default_value("1"))(
      "rounds", "restarts of each router", cxxopts::value<int>()->default_value("3"))(
      "callers", "callers", cxxopts::value<int>()->default_value("24"))(
      "service-ms", "service time", cxxopts::value<int64_t>()->default_value("20"))(
      "pace-ms", "pause of a caller", cxxopts::value<int64_t>()->default_value("2"));
  const cxxopts::ParseResult args = flags.parse(argc, argv);
  pomelopond::bench::Options options;
  options.rounds = args["rounds"].as<int>();
  options.callers = args["callers"].as<int>();
  options.service_ms = args["service-ms"].as<int64_t>();
  options.pace_ms = args["pace-ms"].as<int64_t>();
  return pomelopond::bench::Run(options);
}
