// Measures R6 and R5: sends non-idempotent requests, some of them in duplicate, while routers are
// killed and paused and responses are lost at pseudorandom points that the seed determines. Target:
// no request runs twice, and no request that ran is answered "not run". The targets' own execution
// counts decide.
#include <signal.h>

#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <random>
#include <thread>

#include "bench/support/bench_result.h"
#include "tests/support/cluster.h"
#include "tests/support/once.h"

namespace pomelopond::bench {
namespace {

using support::Cluster;
using support::OutcomeLog;

constexpr const char* kBuy = "/v1/services/svc/buy";
constexpr Duration kDeadline = std::chrono::seconds(1);
constexpr Duration kTokenTimeout = std::chrono::milliseconds(400);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
// Exceeds every request deadline.
constexpr Duration kRouterPause = std::chrono::milliseconds(1500);
constexpr Duration kRetryPause = std::chrono::milliseconds(10);
constexpr int64_t kFaultyAnswers = 10;  // responses of each fault kind per fault point

struct Options {
  int64_t requests = 0;
  int threads = 0;
  int64_t fault_every = 0;  // number of requests between two faults
  uint64_t seed = 0;
  Duration limit{};
};

struct Load {
  std::atomic<int64_t> next{0};
  std::atomic<int64_t> sends{0};     // requests sent, including duplicates
  std::atomic<bool> stopped{false};  // set when the time limit has passed
  OutcomeLog log;
};

// The client of one thread. Retries by the HTTP library only add duplicates, which the measurement
// tolerates.
struct Caller {
  Caller(const Cluster& cluster, Load* the_load) : load(the_load) {
    for (int n = 0; n < cluster.entry_hosts(); ++n) {
      routers.push_back(std::make_unique<http::HttpClient>(cluster.Router(n)));
    }
  }

  std::string Token(std::mt19937_64* random) {
    while (!load->stopped.load()) {
      http::HttpRequest request;
      request.method = "POST";
      request.path = kBuy;
      const http::HttpResult result =
          routers[(*random)() % routers.size()]->Call(request, kTokenTimeout);
      const std::string token = http::HeaderOf(result.response.headers, http::kTokenHeader);
      if (!result.ec && !token.empty()) return token;
      std::this_thread::sleep_for(kRetryPause);
    }
    return {};
  }

  void Send(size_t router, const std::string& id, const std::string& token) {
    http::HttpRequest request;
    request.method = "POST";
    request.path = kBuy;
    request.headers = {{"X-Request-Id", id},
                       {http::kIdempotencyKeyHeader, token},
                       {http::kTimeoutHeader, std::to_string(kDeadline.count() / 1000)}};
    load->sends.fetch_add(1);
    const http::HttpResult result = routers[router]->Call(std::move(request), kCallTimeout);
    const std::string outcome =
        result.ec ? "" : http::HeaderOf(result.response.headers, http::kOutcomeHeader);
    load->log.Add(id, outcome);
    // This outcome is rare, so each occurrence is printed with its error code.
    if (outcome == "not-run") std::cout << id << " " << result.response.body + "\n";
  }

  // Sends request `n`: 10% of the requests have a concurrent duplicate, 5% are repeated afterwards.
  void RunRequest(int64_t n, std::mt19937_64* random) {
    const std::string id = "r" + std::to_string(n);
    const std::string token = Token(random);
    if (token.empty()) return;
    const size_t first = (*random)() % routers.size();
    const size_t second = (*random)() % routers.size();
    const uint64_t draw = (*random)() % 100;
    if (draw < 10) {
      std::thread duplicate([this, second, &id, &token] { Send(second, id, token); });
      Send(first, id, token);
      duplicate.join();
    } else {
      Send(first, id, token);
    }
    if (draw >= 95) Send(second, id, token);
  }

  Load* load;
  std::vector<std::unique_ptr<http::HttpClient>> routers;
};

struct FaultCounts {
  int64_t kills = 0;
  int64_t pauses = 0;
  int64_t faulty_answers = 0;
};

// Injects one fault after every `fault_every` requests started.
FaultCounts InjectFaults(Cluster* cluster, const Options& options, Load* load) {
  std::mt19937_64 random(options.seed);
  FaultCounts counts;
  for (int64_t point = options.fault_every; point < options.requests;) {
    if (load->stopped.load() || load->next.load() >= options.requests) break;
    if (load->next.load() < point) {
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    point += options.fault_every;
    const int host = static_cast<int>(random() % static_cast<uint64_t>(cluster->entry_hosts()));
    support::Process& router = cluster->ProgramOf("router", host);
    switch (random() % 3) {
      case 0:
        router.Kill();
        cluster->StartProgram("router", host);
        counts.kills += 1;
        break;
      case 1:
        router.Signal(SIGSTOP);
        std::this_thread::sleep_for(kRouterPause);
        router.Signal(SIGCONT);
        counts.pauses += 1;
        break;
      default:
        support::SetFault(cluster->Targets().front(), {{"lose_answers", kFaultyAnswers},
                                                       {"close_answers", kFaultyAnswers},
                                                       {"cut_answers", kFaultyAnswers},
                                                       {"garble_answers", kFaultyAnswers}});
        counts.faulty_answers += 4 * kFaultyAnswers;
    }
  }
  return counts;
}

int Run(const Options& options) {
  support::ClusterOptions cluster_options;
  cluster_options.net = 210;
  cluster_options.service_ms = 0;
  Cluster cluster(cluster_options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  if (!cluster.PutDefaultReleaseInForce()) return 1;
  Load load;
  const TimePoint start = Now();
  std::vector<std::thread> threads;
  for (int it = 0; it < options.threads; ++it) {
    threads.emplace_back([&cluster, &load, &options, start] {
      Caller caller(cluster, &load);
      for (;;) {
        const int64_t n = load.next.fetch_add(1);
        if (n >= options.requests) return;
        if (Now() - start > options.limit) load.stopped.store(true);
        if (load.stopped.load()) return;
        // The random numbers of a request depend only on its number, not on the thread that sends
        // it.
        std::mt19937_64 random(options.seed * 1000003 + static_cast<uint64_t>(n));
        caller.RunRequest(n, &random);
      }
    });
  }
  const FaultCounts faults = InjectFaults(&cluster, options, &load);
  for (std::thread& it : threads) it.join();
  const double seconds = std::chrono::duration<double>(Now() - start).count();
  std::this_thread::sleep_for(2 * kDeadline);  // lets requests in flight finish before the count
  const Json counts = support::Get(cluster.Targets().front(), "/counts");
  if (counts.is_null()) return 1;
  const support::OutcomeCheck verdict = support::CheckOutcomes(load.log.All(), counts["runs"]);
  for (const std::string& it : verdict.run_twice) std::cout << "run twice: " << it << "\n";
  for (const std::string& it : verdict.false_not_run) std::cout << "false not-run: " << it << "\n";
  for (const std::string& it : verdict.false_done) std::cout << "false done: " << it << "\n";
  const bool holds = verdict.run_twice.empty() && verdict.false_not_run.empty() &&
                     verdict.false_done.empty() && verdict.requests == options.requests;
  return Report("at-most-once",
                {{"requests", static_cast<double>(verdict.requests)},
                 {"sends", static_cast<double>(load.sends.load())},
                 {"kills", static_cast<double>(faults.kills)},
                 {"pauses", static_cast<double>(faults.pauses)},
                 {"faulty_answers", static_cast<double>(faults.faulty_answers)},
                 {"run_twice", static_cast<double>(verdict.run_twice.size())},
                 {"false_not_run", static_cast<double>(verdict.false_not_run.size())},
                 {"false_done", static_cast<double>(verdict.false_done.size())},
                 {"done", static_cast<double>(verdict.done)},
                 {"not_run", static_cast<double>(verdict.not_run)},
                 {"unknown_share",
                  static_cast<double>(verdict.unknown) / static_cast<double>(verdict.requests)},
                 {"seconds", seconds}},
                holds);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) {
  cxxopts::Options flags("at-most-once",
                         "At-most-once execution of non-idempotent requests under failures");
  flags.add_options()("seed", "random seed of the requests and fault points",
                      cxxopts::value<uint64_t>()->default_value("1"))(
      "requests", "requests", cxxopts::value<int64_t>()->default_value("100000"))(
      "threads", "callers", cxxopts::value<int>()->default_value("24"))(
      "fault-every", "requests between faults", cxxopts::value<int64_t>()->default_value("2000"))(
      "limit-s", "time limit", cxxopts::value<int64_t>()->default_value("600"));
  const cxxopts::ParseResult args = flags.parse(argc, argv);
  pomelopond::bench::Options options;
  options.seed = args["seed"].as<uint64_t>();
  options.requests = args["requests"].as<int64_t>();
  options.threads = args["threads"].as<int>();
  options.fault_every = args["fault-every"].as<int64_t>();
  options.limit = std::chrono::seconds(args["limit-s"].as<int64_t>());
  return pomelopond::bench::Run(options);
}
