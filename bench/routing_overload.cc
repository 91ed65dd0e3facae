// Measures admission under overload in a discrete-event simulation of the routers' decision
// functions.
//
// Several callers together offer twice the capacity; some of them offer less than their fair share,
// which is the capacity divided by the number of callers. Requests have a deadline. Some attempts
// fail fast before anything runs, and more of them fail in the middle fifth of the run. Every
// request goes through the same admission, queue, target choice, retry budget and ejection as in
// the router.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "bench/support/bench_result.h"
#include "bench/support/deployment.h"
#include "routing/admission.h"
#include "routing/ejection.h"
#include "routing/fair_queue.h"
#include "routing/retry_budget.h"
#include "routing/target_choice.h"

namespace pomelopond::bench {
namespace {

using routing::Target;

constexpr double kTargetGoodput = 0.95;
constexpr double kTargetRetries = 0.1;
constexpr size_t kMaxQueue = 1000;  // same limit as in the router
constexpr Duration kLocalOneWay = std::chrono::microseconds(50);
constexpr Duration kFailureTime = std::chrono::milliseconds(1);
constexpr Duration kTick = std::chrono::milliseconds(200);
constexpr int kMaxAttempts = 3;
constexpr double kSlowFactor = 3;
constexpr int kSlowTargets = 5;  // about 10% of the 48 targets

// The offered load of each caller as a multiple of the capacity. The fair share is 1/6.
constexpr double kDemands[] = {1.1, 0.4, 0.2, 0.12, 0.1, 0.08};
constexpr size_t kCallers = sizeof(kDemands) / sizeof(kDemands[0]);

struct Setup {
  int targets = 48;
  int64_t slots = 8;
  int routers = 8;
  int domains = 3;
  Duration one_way{};
  double mean_ms = 0;
  double sigma = 0;
  double failure_rate = 0;         // fraction of attempts that fail
  double middle_failure_rate = 0;  // the same in the middle fifth of the run
  Duration deadline{};
  Duration length{};
  uint64_t seed = 0;
};

struct Call {
  size_t caller = 0;
  TimePoint time;
  TimePoint deadline;
  int attempts = 0;
  Duration service{};
};
using CallPtr = std::shared_ptr<Call>;

struct Event {
  enum class Kind { kArrival, kAnswer, kTick };
  TimePoint time;
  int64_t sequence = 0;
  Kind kind = Kind::kArrival;
  int router = 0;
  size_t target = 0;
  size_t caller = 0;
  CallPtr call;
  Duration latency{};
  bool failed = false;

  friend bool operator>(const Event& a, const Event& b) {
    return std::tie(a.time, a.sequence) > std::tie(b.time, b.sequence);
  }
};

struct RouterState {
  std::vector<Target> targets;
  routing::FairQueue<CallPtr> queue{kMaxQueue};
  routing::RetryBudget retries;
  routing::OperationLatency latency;
};

struct CallerCounts {
  int64_t offered = 0;
  int64_t good = 0;
  int64_t late = 0;
  int64_t failed = 0;
  int64_t refused = 0;
};

struct Counts {
  std::vector<CallerCounts> callers = std::vector<CallerCounts>(kCallers);
  int64_t retries = 0;
  int64_t ejections = 0;
};

class Simulation {
 public:
  explicit Simulation(const Setup& setup) : setup_(setup), random_(setup.seed) {
    for (int router = 0; router < setup.routers; ++router) {
      RouterState& state = routers_.emplace_back();
      for (int n = 0; n < setup.targets; ++n) {
        Target& it = state.targets.emplace_back();
        it.failure_domain = std::to_string(n % setup.domains);
        const int64_t rank = (router + n) % setup.routers;
        it.slot_share = setup.slots / setup.routers + (rank < setup.slots % setup.routers ? 1 : 0);
      }
    }
  }

  // Returns the requests per second that all slots can serve. Slow targets count at their lower
  // rate.
  double Capacity() const {
    const double speed = setup_.targets - kSlowTargets + kSlowTargets / kSlowFactor;
    return speed * static_cast<double>(setup_.slots) * 1000 / setup_.mean_ms;
  }

  Counts Run() {
    for (size_t n = 0; n < kCallers; ++n) PushArrival(n);
    Push({TimePoint(kTick), 0, Event::Kind::kTick, 0, 0, 0, nullptr, {}, false});
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      switch (event.kind) {
        case Event::Kind::kArrival:
          OnArrival(event);
          break;
        case Event::Kind::kAnswer:
          OnAnswer(event);
          break;
        case Event::Kind::kTick:
          OnTick();
          break;
      }
    }
    return counts_;
  }

 private:
  double Draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  TimePoint EndTime() const { return TimePoint(setup_.length); }

  // The first tenth of the run is a warm-up that fills the queues and trains the estimates, so it
  // is excluded from the measurement.
  bool Measured(const Call& call) const { return call.time >= TimePoint(setup_.length / 10); }

  CallerCounts& CountsOf(const Call& call) {
    return Measured(call) ? counts_.callers[call.caller] : warmup_counts_;
  }

  void Push(Event event) {
    event.sequence = sequence_++;
    events_.push(std::move(event));
  }

  void PushArrival(size_t caller) {
    std::exponential_distribution<double> gap(kDemands[caller] * Capacity() / 1e6);
    Event event;
    event.time = now_ + Duration(std::llround(gap(random_)));
    event.caller = caller;
    event.router = std::uniform_int_distribution<int>(0, setup_.routers - 1)(random_);
    if (event.time < EndTime()) Push(event);
  }

  routing::QueueFlow FlowOf(const Call& call) const {
    return {"caller-" + std::to_string(call.caller), 0, 1};
  }

  void OnArrival(const Event& event) {
    PushArrival(event.caller);
    const double mean_us = setup_.mean_ms * 1000;
    std::lognormal_distribution<double> service(std::log(mean_us) - setup_.sigma * setup_.sigma / 2,
                                                setup_.sigma);
    const auto call = std::make_shared<Call>();
    call->caller = event.caller;
    call->time = now_;
    call->deadline = now_ + setup_.deadline;
    call->service = Duration(std::max<int64_t>(1, std::llround(service(random_))));
    CountsOf(*call).offered += 1;
    RouterState& state = routers_[static_cast<size_t>(event.router)];
    routing::QueueEstimate estimate;
    estimate.requests = state.queue.CountAhead(FlowOf(*call));
    estimate.latency = state.latency.mean;
    estimate.caller_wait = state.queue.EstimateCallerWait(FlowOf(*call));
    for (const Target& it : state.targets) {
      if (it.health.state == routing::HealthState::kHealthy) estimate.slots += it.slot_share;
    }
    if (!routing::AdmitToQueue(state.latency, estimate, call->deadline, now_)) {
      CountsOf(*call).refused += 1;
      return;
    }
    routing::AddRequest(&state.retries);
    Enqueue(event.router, call);
  }

  void Enqueue(int router, const CallPtr& call) {
    RouterState& state = routers_[static_cast<size_t>(router)];
    const auto displaced = state.queue.Push(FlowOf(*call), call);
    if (displaced) CountsOf(**displaced).refused += 1;
    Dispatch(router);
  }

  void Dispatch(int router) {
    RouterState& state = routers_[static_cast<size_t>(router)];
    const std::string near = std::to_string(router % setup_.domains);
    while (state.queue.size() > 0) {
      if (!routing::AdmitToTarget(state.latency, state.queue.Front()->deadline, now_)) {
        CountsOf(*state.queue.DiscardFront()).refused += 1;
        continue;
      }
      const int n = routing::ChooseTarget(state.targets, near,
                                          static_cast<int64_t>(state.queue.size()), now_, Draw());
      if (n < 0) return;
      Send(router, static_cast<size_t>(n), state.queue.Pop(now_));
    }
  }

  double FailureProbability() const {
    const bool middle =
        now_ >= TimePoint(setup_.length * 2 / 5) && now_ < TimePoint(setup_.length * 3 / 5);
    return middle ? setup_.middle_failure_rate : setup_.failure_rate;
  }

  void Send(int router, size_t target, const CallPtr& call) {
    RouterState& state = routers_[static_cast<size_t>(router)];
    state.targets[target].in_flight += 1;
    state.targets[target].last_sent = now_;
    state.latency.last_sent = now_;
    call->attempts += 1;
    const bool near = router % setup_.domains == static_cast<int>(target) % setup_.domains;
    Event event;
    event.kind = Event::Kind::kAnswer;
    event.router = router;
    event.target = target;
    event.call = call;
    event.failed = Draw() < FailureProbability();
    const double factor = target < kSlowTargets ? kSlowFactor : 1;
    const Duration service =
        event.failed ? kFailureTime
                     : Duration(std::llround(static_cast<double>(call->service.count()) * factor));
    event.latency = service + 2 * (near ? kLocalOneWay : setup_.one_way);
    event.time = now_ + event.latency;
    Push(std::move(event));
  }

  void OnAnswer(const Event& event) {
    RouterState& state = routers_[static_cast<size_t>(event.router)];
    Target& target = state.targets[event.target];
    Call& call = *event.call;
    target.in_flight -= 1;
    routing::RecordResult(&target, event.failed, now_);
    if (!event.failed) {
      routing::RecordLatency(&target, event.latency, now_);
      routing::RecordLatencySample(&state.latency, event.latency);
      // The router gives up at the deadline, but the slot of the target stays occupied until the
      // request completes.
      (now_ <= call.deadline ? CountsOf(call).good : CountsOf(call).late) += 1;
    } else if (call.attempts < kMaxAttempts && now_ < call.deadline &&
               routing::TryAcquireRetry(&state.retries)) {
      if (Measured(call)) counts_.retries += 1;
      return Enqueue(event.router, event.call);
    } else {
      CountsOf(call).failed += 1;
    }
    Dispatch(event.router);
  }

  void OnTick() {
    for (int n = 0; n < setup_.routers; ++n) {
      RouterState& state = routers_[static_cast<size_t>(n)];
      counts_.ejections += routing::UpdateEjection(&state.targets, now_);
      Dispatch(n);
    }
    Event event;
    event.kind = Event::Kind::kTick;
    event.time = now_ + kTick;
    if (event.time < EndTime()) Push(event);
  }

  const Setup setup_;
  std::mt19937_64 random_;
  TimePoint now_{};
  int64_t sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<RouterState> routers_;
  Counts counts_;
  CallerCounts warmup_counts_;
};

// Prints one row per caller and appends the figures of one deployment. Returns true if all targets
// are met.
bool RunDeployment(const Deployment& deployment, Setup setup, Figures* figures) {
  setup.domains = deployment.domains;
  setup.one_way = deployment.one_way;
  Simulation simulation(setup);
  const Counts counts = simulation.Run();
  const double seconds = std::chrono::duration<double>(setup.length * 9 / 10).count();
  const double capacity = simulation.Capacity() * seconds;
  double offered = 0;
  double good = 0;
  int64_t below_refused = 0;
  for (size_t n = 0; n < kCallers; ++n) {
    const CallerCounts& it = counts.callers[n];
    const bool below = kDemands[n] < 1.0 / static_cast<double>(kCallers);
    std::printf(
        "%-8s caller-%zu demand=%.2f%s offered=%lld good=%lld late=%lld failed=%lld refused=%lld\n",
        deployment.name, n, kDemands[n], below ? " (below share)" : "",
        static_cast<long long>(it.offered), static_cast<long long>(it.good),
        static_cast<long long>(it.late), static_cast<long long>(it.failed),
        static_cast<long long>(it.refused));
    offered += static_cast<double>(it.offered);
    good += static_cast<double>(it.good);
    if (below) below_refused += it.refused;
  }
  const double goodput = good / capacity;
  const double retries = static_cast<double>(counts.retries) / offered;
  const std::string name = deployment.name;
  figures->emplace_back(name + "_offered", offered / capacity);
  figures->emplace_back(name + "_goodput", goodput);
  figures->emplace_back(name + "_retries", retries);
  figures->emplace_back(name + "_refused_below_share", static_cast<double>(below_refused));
  figures->emplace_back(name + "_ejections", static_cast<double>(counts.ejections));
  return goodput >= kTargetGoodput && retries <= kTargetRetries && below_refused == 0;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("bench-routing-overload", "Admission under overload (simulation)");
  options.add_options()("help", "print this text")("seed", "random seed",
                                                   cxxopts::value<uint64_t>()->default_value("1"))(
      "seconds", "simulated time", cxxopts::value<int64_t>()->default_value("60"))(
      "mean-ms", "mean service time", cxxopts::value<double>()->default_value("50"))(
      "sigma", "sigma of the lognormal service time", cxxopts::value<double>()->default_value("1"))(
      "deadline-ms", "deadline of each request", cxxopts::value<int64_t>()->default_value("1000"))(
      "failures", "fraction of attempts that fail",
      cxxopts::value<double>()->default_value("0.02"))(
      "middle-failures", "fraction of attempts that fail in the middle fifth of the run",
      cxxopts::value<double>()->default_value("0.3"));
  const cxxopts::ParseResult args = options.parse(argc, argv);
  if (args.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  Setup setup;
  setup.seed = args["seed"].as<uint64_t>();
  setup.length = std::chrono::seconds(args["seconds"].as<int64_t>());
  setup.mean_ms = args["mean-ms"].as<double>();
  setup.sigma = args["sigma"].as<double>();
  setup.deadline = std::chrono::milliseconds(args["deadline-ms"].as<int64_t>());
  setup.failure_rate = args["failures"].as<double>();
  setup.middle_failure_rate = args["middle-failures"].as<double>();
  Figures figures;
  bool held = true;
  for (const Deployment& it : kDeployments) held = RunDeployment(it, setup, &figures) && held;
  return Report("routing-overload", figures, held);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
