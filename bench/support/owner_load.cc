#include "bench/support/owner_load.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <sstream>
#include <string>
#include <thread>

#include "base/json.h"
#include "review/http.h"
#include "review/store.h"
#include "tests/support/process.h"
#include "tests/support/program_path.h"

namespace pomelopond::bench {
namespace {

using std::chrono::milliseconds;

constexpr const char* kStoreAddress = "127.0.0.71";
constexpr const char* kEntryAddress = "127.0.0.72";
constexpr const char* kWorkerAddress = "127.0.0.73";
constexpr const char* kQueueHost = "bench.example";
constexpr const char* kServingPrefix = "/serving/";
constexpr const char* kBestEffortPrefix = "/best-effort/";
constexpr Duration kReadyLimit = std::chrono::seconds(15);
constexpr Duration kPoll = milliseconds(20);
constexpr int kCallTimeoutMs = 3000;
constexpr int kServingPerWorker = 2;
constexpr int kServingPerJob = 50;
constexpr int kImages = 5;
constexpr int64_t kServingTargetMs = 150;
constexpr int64_t kTaskMs = 1000;
// A job has a step of kFirstTasks and one of kLaterTasks that follows it.
constexpr int kFirstTasks = 5;
constexpr int kLaterTasks = 15;

// What the system tells of the process so far, summed over its threads.
struct Usage {
  double processor_us = 0;
  double context_switches = 0;
  double peak_memory_mb = 0;
};

// Returns the number after `name` in a file of /proc with a line for each member.
double MemberOf(const std::filesystem::path& path, const std::string& name) {
  std::ifstream in(path);
  for (std::string line; std::getline(in, line);) {
    if (line.compare(0, name.size(), name) == 0) return std::atof(line.c_str() + name.size());
  }
  return 0;
}

Usage ReadUsage(pid_t pid) {
  const std::filesystem::path process = "/proc/" + std::to_string(pid);
  Usage out;
  out.peak_memory_mb = MemberOf(process / "status", "VmHWM:") / 1024;
  for (const auto& it : std::filesystem::directory_iterator(process / "task")) {
    double nanoseconds = 0;
    std::ifstream(it.path() / "schedstat") >> nanoseconds;
    out.processor_us += nanoseconds / 1000;
    out.context_switches += MemberOf(it.path() / "status", "voluntary_ctxt_switches:");
  }
  return out;
}

bool WaitUntil(Duration limit, const std::function<bool()>& condition) {
  const TimePoint until = Now() + limit;
  while (!condition()) {
    if (Now() >= until) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

Json Queue(const std::string& name, const std::string& prefix, int priority) {
  return {{"name", name},       {"host", kQueueHost},
          {"prefix", prefix},   {"type", "non_idempotent"},
          {"timeout_ms", 3000}, {"target_duration_ms", 4 * kTaskMs},
          {"service", "bench"}, {"priority", priority},
          {"max_attempts", 4},  {"stretch", 1.5}};
}

std::string Config() {
  return Json{
      {"version", 1},
      {"routes", {Queue("serving", kServingPrefix, 0), Queue("tasks", kBestEffortPrefix, 1)}},
      {"services", {{{"name", "bench"}, {"enforces_capacity", true}}}},
      {"limits", Json::object()}}
      .dump();
}

Json ServingJob(int n, int replicas) {
  const Json step = {{"replicas", replicas},
                     {"cpu", 4000},
                     {"mem_mb", 100},
                     {"perpetual", true},
                     {"image", "serving-" + std::to_string(n % kImages)},
                     {"target_ms", kServingTargetMs}};
  return {{"spec", RunSpec(0, kServingTargetMs)}, {"steps", {step}}};
}

Json BestEffortJob(int n) {
  Json first = {{"replicas", kFirstTasks},
                {"cpu", 1000},
                {"mem_mb", 100},
                {"estimate_ms", kTaskMs},
                {"fills", true},
                {"checkpoint", true},
                {"image", "filling-" + std::to_string(n % kImages)}};
  Json later = first;
  later["replicas"] = kLaterTasks;
  later["after"] = {0};
  return {{"spec", RunSpec(kTaskMs, 0)}, {"steps", {std::move(first), std::move(later)}}};
}

// One entry process with its stand-ins.
class Deployment {
 public:
  explicit Deployment(int workers);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts the process and waits until it owns the pool.
  bool Start();
  bool Submit(const std::string& prefix, int n, const Json& job) const;
  const WorkerPool& workers() const { return workers_; }
  pid_t pid() const { return process_.pid(); }

 private:
  WorkerPool workers_;
  // Its threads end with the program, so it is never deleted.
  review::Store* const store_ = new review::Store(kStoreAddress);
  std::string folder_ = "/tmp/pomelopond-owner-XXXXXX";
  std::string callers_;
  std::string readiness_;
  support::Process process_;
};

Deployment::Deployment(int workers) : workers_(workers, kWorkerAddress) {
  if (mkdtemp(folder_.data()) == nullptr) std::abort();
}

Deployment::~Deployment() {
  process_.Kill();
  store_->GoDown();
  std::filesystem::remove_all(folder_);
}

bool Deployment::Start() {
  store_->Start();
  store_->Put("op/config", Config());
  for (const auto& [id, value] : workers_.Entries()) store_->Put("servers/" + id, value);
  callers_ = std::string(kEntryAddress) + ":" + std::to_string(review::FreePort(kEntryAddress));
  readiness_ = std::string(kEntryAddress) + ":" + std::to_string(review::FreePort(kEntryAddress));
  const Json settings = {
      {"max_lease_ms", 10000},  {"stop_limit_s", 6},          {"status_time_s", 120},
      {"processor_share", 0.5}, {"processor_cores", 1},       {"host", "owner"},
      {"failure_domain", "a"},  {"callers", callers_},        {"readiness", readiness_},
      {"metrics_port", 0},      {"store", store_->Endpoint()}};
  const std::string path = folder_ + "/settings.json";
  std::ofstream(path) << settings.dump(2) << "\n";
  process_ = support::Process({support::ProgramPath("pomelopond-entry"), "--settings", path},
                              folder_ + "/log");
  return WaitUntil(kReadyLimit, [this] {
    return !store_->ValueOf("pomelopond/term").empty() &&
           review::Call(readiness_, "GET", "/api/ready", "", "", kCallTimeoutMs).status == 200;
  });
}

bool Deployment::Submit(const std::string& prefix, int n, const Json& job) const {
  std::ostringstream id;
  id << std::hex << std::setfill('0') << std::setw(16) << n + 1;
  return review::Call(callers_, "POST", prefix + id.str(), kQueueHost, job.dump(), kCallTimeoutMs)
             .status == 200;
}

bool StartServing(const Deployment& deployment, int workers) {
  const int tasks = workers * kServingPerWorker;
  for (int n = 0; n * kServingPerJob < tasks; ++n) {
    const int replicas = std::min(kServingPerJob, tasks - n * kServingPerJob);
    if (!deployment.Submit(kServingPrefix, n, ServingJob(n, replicas))) return false;
  }
  return WaitUntil(kReadyLimit, [&] { return deployment.workers().Counts().starts >= tasks; });
}

// Submits best-effort jobs at a steady rate until it is told to stop.
void SubmitSteadily(const Deployment& deployment, int starts_per_second,
                    const std::atomic<bool>& stopping) {
  const Duration interval(int64_t{1000000} * (kFirstTasks + kLaterTasks) / starts_per_second);
  TimePoint next = Now();
  for (int n = 0; !stopping.load(); ++n) {
    deployment.Submit(kBestEffortPrefix, n, BestEffortJob(n));
    next += interval;
    std::this_thread::sleep_for(next - Now());
  }
}

OwnerCost MeasureWindow(const Deployment& deployment, const OwnerLoad& load) {
  const WorkerCounts counts = deployment.workers().Counts();
  const Usage usage = ReadUsage(deployment.pid());
  const TimePoint begin = Now();
  std::this_thread::sleep_for(load.window);
  const Usage usage_after = ReadUsage(deployment.pid());
  const WorkerCounts after = deployment.workers().Counts();
  const auto starts = static_cast<double>(after.starts - counts.starts);
  OwnerCost cost;
  cost.starts_per_second = starts * 1e6 / static_cast<double>((Now() - begin).count());
  cost.ends_per_start = static_cast<double>(after.ends - counts.ends) / starts;
  cost.processor_us = (usage_after.processor_us - usage.processor_us) / starts;
  cost.context_switches = (usage_after.context_switches - usage.context_switches) / starts;
  cost.bytes = static_cast<double>(after.bytes - counts.bytes) / starts;
  for (size_t k = 0; k < kWorkerPaths; ++k) {
    cost.calls[k] = static_cast<double>(after.calls[k] - counts.calls[k]) / starts;
  }
  cost.peak_memory_mb = usage_after.peak_memory_mb;
  return cost;
}

}  // namespace

std::optional<OwnerCost> MeasureOwnerCost(const OwnerLoad& load) {
  Deployment deployment(load.workers);
  if (!deployment.Start()) {
    std::fprintf(stderr, "pomelopond-entry is not ready or does not own the pool\n");
    return std::nullopt;
  }
  if (!StartServing(deployment, load.workers)) {
    std::fprintf(stderr, "%lld of %d serving tasks have started\n",
                 static_cast<long long>(deployment.workers().Counts().starts),
                 load.workers * kServingPerWorker);
    return std::nullopt;
  }
  std::atomic<bool> stopping{false};
  std::thread caller([&] { SubmitSteadily(deployment, load.starts_per_second, stopping); });
  std::this_thread::sleep_for(load.settle);
  const OwnerCost cost = MeasureWindow(deployment, load);
  stopping.store(true);
  caller.join();
  if (!(cost.starts_per_second > 0)) return std::nullopt;
  return cost;
}

}  // namespace pomelopond::bench
