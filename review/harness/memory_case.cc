// Accepted scheduled submissions take more memory than a daemon may have.
#include "cases.h"
#include "deployment.h"

namespace pomelopond::review {
namespace {

// limits.memory_mb: the platform kills a process that exceeds it.
constexpr int64_t kMemoryBytes = int64_t{260} * 1024 * 1024;
constexpr milliseconds kRestartDelay{500};
constexpr milliseconds kWatchStep{20};
constexpr int kSchedules = 8;
constexpr int kTimes = 43200;  // each minute for thirty days
constexpr int kTasks = 4;
constexpr milliseconds kSettle{4000};
constexpr int64_t kFinishMs = 14000;
constexpr int64_t kMinuteMs = 60000;

// The platform: kills a process over its limit and starts it again.
class MemoryLimit {
 public:
  MemoryLimit(Deployment* deployment, Record* record)
      : deployment_(deployment), record_(record), thread_([this] { Run(); }) {}
  ~MemoryLimit() {
    stopped_.store(true);
    thread_.join();
  }
  MemoryLimit(const MemoryLimit&) = delete;
  MemoryLimit& operator=(const MemoryLimit&) = delete;

  int kills() const { return kills_.load(); }
  int64_t peak() const { return peak_.load(); }

 private:
  void Run() {
    while (!stopped_.load()) {
      std::this_thread::sleep_for(kWatchStep);
      for (int n = 0; n < deployment_->daemons(); ++n) Check(n);
    }
  }

  void Check(int n) {
    const int64_t bytes = deployment_->ResidentBytes(n);
    if (bytes > peak_.load()) peak_.store(bytes);
    if (bytes <= kMemoryBytes) return;
    record_->Line("daemon edge-" + std::to_string(n + 1) + " has " + std::to_string(bytes >> 20) +
                  " MB, over memory_mb = 260: killed");
    deployment_->KillDaemon(n);
    kills_ += 1;
    std::this_thread::sleep_for(kRestartDelay);
    deployment_->StartDaemon(n);
  }

  Deployment* const deployment_;
  Record* const record_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> kills_{0};
  std::atomic<int64_t> peak_{0};
  std::thread thread_;
};

Json MakeSchedule() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  Json job = MakeJob("work 20", kTasks, 100);
  job["times"] = kTimes;
  job["interval_ms"] = kMinuteMs;
  job["first_ms"] = std::chrono::duration_cast<milliseconds>(now).count() + kMinuteMs * 10;
  return job;
}

}  // namespace

int RunMemoryCase(bool trouble, Record* record) {
  Journal journal;
  Deployment deployment({}, record, &journal);
  if (!deployment.Start()) return kCannotRun;
  const MemoryLimit limit(&deployment, record);
  for (int n = 0; trouble && n < kSchedules; ++n) {
    deployment.Submit(n % deployment.daemons(), MakeId(100 + n), MakeSchedule());
  }
  std::this_thread::sleep_for(kSettle);
  // Ordinary work that is accepted now has to be done.
  std::vector<std::string> accepted;
  for (int n = 0; n < 40; ++n) {
    const std::string id = MakeId(1000 + n);
    const int status = deployment.Submit(n % deployment.daemons(), id, MakeJob("work 100", 2, 100));
    if (status == 200) accepted.push_back(id);
    std::this_thread::sleep_for(milliseconds(250));
  }
  const int64_t until = record->NowMs() + kFinishMs;
  int missing = 0;
  for (const std::string& it : accepted) {
    const int64_t left = std::max<int64_t>(100, until - record->NowMs());
    if (!deployment.Await(it, "completed", milliseconds(left))) missing += 1;
  }
  record->Line("accepted " + std::to_string(accepted.size()) + ", not completed in finish_s " +
               std::to_string(missing) + ", processes killed over memory_mb " +
               std::to_string(limit.kills()) + ", peak MB " + std::to_string(limit.peak() >> 20));
  if (accepted.empty()) return trouble && limit.kills() > 0 ? kBroken : kCannotRun;
  return missing > 0 ? kBroken : kHeld;
}

}  // namespace pomelopond::review
