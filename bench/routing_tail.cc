// Measures the tail latency of target choice policies in a discrete-event simulation that calls the
// routers' decision functions.
//
// Each router may have `slots / routers` requests in flight at a target. Service times are
// lognormal; a slow target multiplies them. The load is relative to the service capacity of all
// slots, where slow slots count at their lower rate. Network time is not part of the load but
// occupies a router's slot share, so short services lose more of the share to it. The ideal policy
// is a single queue that knows the speed and the current state of every slot and starts a request
// as soon as a slot is free; only its responses incur network time. All policies see the same
// arrivals and service times.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cxxopts.hpp>
#include <deque>
#include <iostream>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "bench/support/bench_result.h"
#include "bench/support/deployment.h"
#include "routing/target_choice.h"
#include "routing/target_choice_alternatives.h"

namespace pomelopond::bench {
namespace {

using routing::Target;

constexpr double kTargetRatio = 1.3;
constexpr double kTargetLoad = 85;
constexpr double kWarmup = 0.1;  // fraction of requests excluded from the measurement
constexpr Duration kLocalOneWay = std::chrono::microseconds(50);
constexpr size_t kProbePool = 16;
constexpr int kProbesPerRequest = 2;
constexpr Duration kProbeTtl = std::chrono::seconds(1);

enum class Policy {
  kRandom,
  kRoundRobin,
  kTwoChoices,
  kLeastWait,
  kProbing,
  kAnyFree,
  kFreeLeastWait,
  kNoLocality,
  kInUse,
  kIdeal
};

struct NamedPolicy {
  Policy policy;
  const char* name;
};

constexpr NamedPolicy kPolicies[] = {
    {Policy::kRandom, "random"},
    {Policy::kRoundRobin, "round-robin"},
    {Policy::kTwoChoices, "two-choices"},
    {Policy::kLeastWait, "least-wait"},
    {Policy::kProbing, "probing"},
    {Policy::kAnyFree, "any-free"},
    {Policy::kFreeLeastWait, "free-least"},
    {Policy::kNoLocality, "no-near"},
    {Policy::kInUse, "in-use"},
    {Policy::kIdeal, "ideal"},
};

struct Setup {
  int targets = 48;
  int64_t slots = 8;
  int routers = 8;
  int domains = 3;
  Duration one_way{};
  double mean_ms = 50;
  double sigma = 1;
  double slow_share = 0.1;
  double slow_factor = 3;
  Duration slow_change_interval{};
  int64_t requests = 0;
  uint64_t seed = 0;
  double load = 0;  // percentage of the service capacity
};

struct Arrival {
  TimePoint time;
  int router = 0;
  Duration service{};
};

struct Event {
  enum class Kind { kCompletion, kProbe };
  TimePoint time;
  int64_t sequence = 0;
  Kind kind = Kind::kCompletion;
  int router = 0;
  int target = 0;
  Duration latency{};  // kCompletion: time since the request was sent

  friend bool operator>(const Event& a, const Event& b) {
    return std::tie(a.time, a.sequence) > std::tie(b.time, b.sequence);
  }
};

struct ReceivedProbe {
  routing::Probe probe;
  TimePoint time;
};

struct RouterState {
  std::vector<Target> targets;
  std::deque<Arrival> queue;                       // requests of policies with a central queue
  std::vector<std::deque<Arrival>> target_queues;  // requests assigned to a target on arrival
  std::vector<int64_t> sent;  // requests of Target::in_flight that have left the target queue
  std::deque<ReceivedProbe> probes;
  int last_target = -1;
};

int64_t SlowTargets(const Setup& setup) {
  return std::llround(setup.slow_share * static_cast<double>(setup.targets));
}

// Returns whether the target is slow. The set of slow targets changes every `slow_change_interval`.
bool IsSlow(const Setup& setup, int target, TimePoint now) {
  const int64_t slow = SlowTargets(setup);
  const int64_t phase = now.time_since_epoch() / setup.slow_change_interval;
  return (target + setup.targets - phase * slow % setup.targets) % setup.targets < slow;
}

std::vector<Arrival> GenerateArrivals(const Setup& setup) {
  std::mt19937_64 random(setup.seed);
  const double mean_us = setup.mean_ms * 1000;
  std::lognormal_distribution<double> service(std::log(mean_us) - setup.sigma * setup.sigma / 2,
                                              setup.sigma);
  const auto slow = static_cast<double>(SlowTargets(setup));
  const double speed = static_cast<double>(setup.targets) - slow + slow / setup.slow_factor;
  const double rate = setup.load / 100 * speed * static_cast<double>(setup.slots) / mean_us;
  std::exponential_distribution<double> gap(rate);
  std::uniform_int_distribution<int> router(0, setup.routers - 1);
  std::vector<Arrival> arrivals(static_cast<size_t>(setup.requests));
  double now = 0;
  for (Arrival& it : arrivals) {
    now += gap(random);
    it.time = TimePoint(Duration(std::llround(now)));
    it.router = router(random);
    it.service = Duration(std::max<int64_t>(1, std::llround(service(random))));
  }
  return arrivals;
}

class Simulation {
 public:
  Simulation(const Setup& setup, Policy policy)
      : setup_(setup), policy_(policy), random_(setup.seed + 1) {
    running_.resize(static_cast<size_t>(setup.targets));
    target_latency_.resize(static_cast<size_t>(setup.targets));
    // Routers and targets are spread over the domains round-robin, so their numbers determine their
    // domains.
    RouterState state;
    state.target_queues.resize(static_cast<size_t>(setup.targets));
    state.sent.resize(static_cast<size_t>(setup.targets));
    for (int n = 0; n < setup.targets; ++n) {
      Target& it = state.targets.emplace_back();
      it.failure_domain = std::to_string(n % setup.domains);
    }
    for (int router = 0; router < setup.routers; ++router) {
      for (int n = 0; n < setup.targets; ++n) {
        // The routers that get the remainder differ between targets, as in membership::SlotShare.
        const int64_t rank = (router + n) % setup.routers;
        state.targets[static_cast<size_t>(n)].slot_share =
            setup.slots / setup.routers + (rank < setup.slots % setup.routers ? 1 : 0);
      }
      routers_.push_back(state);
    }
  }

  // Returns the response times in microseconds of the requests after the warm-up.
  std::vector<double> Run(const std::vector<Arrival>& arrivals) {
    const auto warmup = static_cast<size_t>(kWarmup * static_cast<double>(arrivals.size()));
    warmup_end_ = arrivals[warmup].time;
    size_t next = 0;
    while (next < arrivals.size() || !events_.empty()) {
      if (events_.empty() ||
          (next < arrivals.size() && arrivals[next].time <= events_.top().time)) {
        now_ = arrivals[next].time;
        OnArrival(arrivals[next++]);
        continue;
      }
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      if (event.kind == Event::Kind::kProbe) {
        OnProbe(event);
      } else {
        OnCompletion(event);
      }
    }
    return std::move(latencies_us_);
  }

 private:
  bool UsesCentralQueue() const {
    return policy_ == Policy::kAnyFree || policy_ == Policy::kFreeLeastWait ||
           policy_ == Policy::kNoLocality || policy_ == Policy::kInUse;
  }

  double Draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  Duration OneWay(int router, int target) const {
    return router % setup_.domains == target % setup_.domains ? kLocalOneWay : setup_.one_way;
  }

  void Push(Event event) {
    event.sequence = sequence_++;
    events_.push(event);
  }

  void OnArrival(const Arrival& arrival) {
    RouterState& state = routers_[static_cast<size_t>(arrival.router)];
    if (policy_ == Policy::kIdeal) {
      ideal_queue_.push_back(arrival);
      return DispatchIdeal();
    }
    if (UsesCentralQueue()) {
      state.queue.push_back(arrival);
      return Dispatch(arrival.router);
    }
    const int target = AssignTarget(arrival.router);
    const auto n = static_cast<size_t>(target);
    state.targets[n].in_flight += 1;
    if (state.sent[n] < state.targets[n].slot_share) {
      Send(arrival, target);
    } else {
      state.target_queues[n].push_back(arrival);
    }
  }

  int AssignTarget(int router) {
    RouterState& state = routers_[static_cast<size_t>(router)];
    switch (policy_) {
      case Policy::kRoundRobin:
        return state.last_target = routing::ChooseRoundRobin(state.targets, state.last_target);
      case Policy::kTwoChoices:
        return routing::ChoosePowerOfTwo(state.targets, Draw(), Draw());
      case Policy::kLeastWait:
        return routing::ChooseLeastWait(state.targets, Draw());
      case Policy::kProbing:
        return AssignTargetByProbe(router);
      default:
        return routing::ChooseRandom(state.targets, Draw());
    }
  }

  int AssignTargetByProbe(int router) {
    RouterState& state = routers_[static_cast<size_t>(router)];
    for (int n = 0; n < kProbesPerRequest; ++n) {
      const int target = routing::ChooseRandom(state.targets, Draw());
      Push({now_ + 2 * OneWay(router, target), 0, Event::Kind::kProbe, router, target, {}});
    }
    while (!state.probes.empty() && now_ - state.probes.front().time > kProbeTtl) {
      state.probes.pop_front();
    }
    std::vector<routing::Probe> probes;
    for (const ReceivedProbe& it : state.probes) probes.push_back(it.probe);
    const int n = routing::ChooseProbed(state.targets, probes, setup_.slots);
    if (n < 0) return routing::ChooseRandom(state.targets, Draw());
    state.probes.erase(state.probes.begin() + n);
    return probes[static_cast<size_t>(n)].target;
  }

  // The simulation reads the target's state when the probe response arrives, so probes are fresher
  // than in a real deployment.
  void OnProbe(const Event& event) {
    RouterState& state = routers_[static_cast<size_t>(event.router)];
    const auto n = static_cast<size_t>(event.target);
    state.probes.push_back({{event.target, running_[n], target_latency_[n].latency}, now_});
    if (state.probes.size() > kProbePool) state.probes.pop_front();
  }

  Duration ServiceTime(const Arrival& arrival, int target) const {
    if (!IsSlow(setup_, target, now_)) return arrival.service;
    return Duration(
        std::llround(static_cast<double>(arrival.service.count()) * setup_.slow_factor));
  }

  void Record(const Arrival& arrival, TimePoint answered) {
    if (arrival.time < warmup_end_) return;
    latencies_us_.push_back(static_cast<double>((answered - arrival.time).count()));
  }

  void Send(const Arrival& arrival, int target) {
    const auto n = static_cast<size_t>(target);
    RouterState& state = routers_[static_cast<size_t>(arrival.router)];
    state.sent[n] += 1;
    state.targets[n].last_sent = now_;
    running_[n] += 1;
    const Duration latency = ServiceTime(arrival, target) + 2 * OneWay(arrival.router, target);
    Push({now_ + latency, 0, Event::Kind::kCompletion, arrival.router, target, latency});
    Record(arrival, now_ + latency);
  }

  int ChooseFree(int router) {
    RouterState& state = routers_[static_cast<size_t>(router)];
    if (policy_ == Policy::kAnyFree) return routing::ChooseAnyFree(state.targets, Draw());
    if (policy_ == Policy::kFreeLeastWait) {
      return routing::ChooseFreeLeastWait(state.targets, Draw());
    }
    // kNoLocality is the production policy without its preference for the local domain.
    const std::string near =
        policy_ == Policy::kNoLocality ? "" : std::to_string(router % setup_.domains);
    return routing::ChooseTarget(state.targets, near, static_cast<int64_t>(state.queue.size()),
                                 now_, Draw());
  }

  void Dispatch(int router) {
    RouterState& state = routers_[static_cast<size_t>(router)];
    while (!state.queue.empty()) {
      const int n = ChooseFree(router);
      if (n < 0) return;
      state.targets[static_cast<size_t>(n)].in_flight += 1;
      Send(state.queue.front(), n);
      state.queue.pop_front();
    }
  }

  // Uses the free slot with the least expected response time. A slow slot is used only if waiting
  // for a normal slot would take longer.
  void DispatchIdeal() {
    while (!ideal_queue_.empty()) {
      const Arrival& head = ideal_queue_.front();
      int best = -1;
      Duration best_time{};
      int64_t normal_slots = 0;
      for (int n = 0; n < setup_.targets; ++n) {
        const bool slow = IsSlow(setup_, n, now_);
        if (!slow) normal_slots += setup_.slots;
        if (running_[static_cast<size_t>(n)] >= setup_.slots) continue;
        const double mean = setup_.mean_ms * 1000 * (slow ? setup_.slow_factor : 1);
        const Duration time = Duration(std::llround(mean)) + 2 * OneWay(head.router, n);
        if (best >= 0 && time >= best_time) continue;
        best = n;
        best_time = time;
      }
      if (best < 0) return;
      const double wait =
          setup_.mean_ms * 1000 *
          (1 + static_cast<double>(ideal_queue_.size()) / static_cast<double>(normal_slots));
      if (IsSlow(setup_, best, now_) && wait < static_cast<double>(best_time.count())) return;
      running_[static_cast<size_t>(best)] += 1;
      const Duration service = ServiceTime(head, best);
      Push({now_ + service, 0, Event::Kind::kCompletion, head.router, best, service});
      Record(head, now_ + service + 2 * OneWay(head.router, best));
      ideal_queue_.pop_front();
    }
  }

  void OnCompletion(const Event& event) {
    const auto n = static_cast<size_t>(event.target);
    running_[n] -= 1;
    if (policy_ == Policy::kIdeal) return DispatchIdeal();
    RouterState& state = routers_[static_cast<size_t>(event.router)];
    Target& target = state.targets[n];
    state.sent[n] -= 1;
    target.in_flight -= 1;
    routing::RecordLatency(&target, event.latency, now_);
    routing::RecordLatency(&target_latency_[n], event.latency, now_);
    if (UsesCentralQueue()) return Dispatch(event.router);
    if (state.target_queues[n].empty()) return;
    Send(state.target_queues[n].front(), event.target);
    state.target_queues[n].pop_front();
  }

  const Setup setup_;
  const Policy policy_;
  std::mt19937_64 random_;
  TimePoint now_{};
  TimePoint warmup_end_{};
  int64_t sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<RouterState> routers_;
  std::vector<int64_t> running_;        // running requests, by target
  std::vector<Target> target_latency_;  // latency that each target reports in probes
  std::deque<Arrival> ideal_queue_;
  std::vector<double> latencies_us_;
};

double QuantileMs(std::vector<double>* times, double q) {
  const auto n = static_cast<std::ptrdiff_t>(q * static_cast<double>(times->size() - 1));
  std::nth_element(times->begin(), times->begin() + n, times->end());
  return (*times)[static_cast<size_t>(n)] / 1000;
}

// Prints one row per load and policy. Returns the p99 of the production policy divided by that of
// the ideal at 85% load.
double RunDeployment(const Deployment& deployment, Setup setup, const std::vector<double>& loads) {
  setup.domains = deployment.domains;
  setup.one_way = deployment.one_way;
  double ratio = 0;
  for (const double load : loads) {
    setup.load = load;
    const std::vector<Arrival> arrivals = GenerateArrivals(setup);
    double in_use = 0;
    for (const NamedPolicy& it : kPolicies) {
      std::vector<double> times = Simulation(setup, it.policy).Run(arrivals);
      const double p50 = QuantileMs(&times, 0.5);
      const double p99 = QuantileMs(&times, 0.99);
      const double p999 = QuantileMs(&times, 0.999);
      std::printf("%-8s load=%2.0f%% %-12s p50=%8.1f ms p99=%8.1f ms p99.9=%8.1f ms\n",
                  deployment.name, load, it.name, p50, p99, p999);
      if (it.policy == Policy::kInUse) in_use = p99;
      if (it.policy != Policy::kIdeal) continue;
      std::printf("%-8s load=%2.0f%% in-use/ideal p99=%.3f\n", deployment.name, load, in_use / p99);
      if (load == kTargetLoad) ratio = in_use / p99;
    }
  }
  return ratio;
}

int Main(int argc, char** argv) {
  const Setup defaults;
  cxxopts::Options options("bench-routing-tail", "Tail latency of target choices (simulation)");
  options.add_options()("help", "print this text")("seed", "random seed",
                                                   cxxopts::value<uint64_t>()->default_value("1"))(
      "requests", "requests per run", cxxopts::value<int64_t>()->default_value("400000"))(
      "targets", "targets", cxxopts::value<int>()->default_value("48"))(
      "slots", "slots per target", cxxopts::value<int64_t>()->default_value("8"))(
      "routers", "routers", cxxopts::value<int>()->default_value("8"))(
      "mean-ms", "mean service time", cxxopts::value<double>()->default_value("50"))(
      "sigma", "sigma of the lognormal service time", cxxopts::value<double>()->default_value("1"))(
      "slow-share", "fraction of slow targets", cxxopts::value<double>()->default_value("0.1"))(
      "slow-factor", "service time of slow targets relative to the others",
      cxxopts::value<double>()->default_value("3"))(
      "slow-change-s", "interval after which other targets become slow, in seconds",
      cxxopts::value<int64_t>()->default_value("20"))(
      "loads", "loads in percent of the capacity",
      cxxopts::value<std::vector<double>>()->default_value("50,70,85,95"));
  const cxxopts::ParseResult args = options.parse(argc, argv);
  if (args.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  Setup setup = defaults;
  setup.seed = args["seed"].as<uint64_t>();
  setup.requests = args["requests"].as<int64_t>();
  setup.targets = args["targets"].as<int>();
  setup.slots = args["slots"].as<int64_t>();
  setup.routers = args["routers"].as<int>();
  setup.mean_ms = args["mean-ms"].as<double>();
  setup.sigma = args["sigma"].as<double>();
  setup.slow_share = args["slow-share"].as<double>();
  setup.slow_factor = args["slow-factor"].as<double>();
  setup.slow_change_interval = std::chrono::seconds(args["slow-change-s"].as<int64_t>());
  const auto loads = args["loads"].as<std::vector<double>>();
  Figures figures;
  bool held = true;
  for (const Deployment& it : kDeployments) {
    const double ratio = RunDeployment(it, setup, loads);
    figures.emplace_back(std::string(it.name) + "_p99_ratio_85", ratio);
    held = held && ratio > 0 && ratio <= kTargetRatio;
  }
  return Report("routing-tail", figures, held);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
