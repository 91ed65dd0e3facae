// The stored progress of one large submission outgrows the largest value of the store.
#include "cases.h"
#include "deployment.h"

namespace pomelopond::review {
namespace {

constexpr int kReplicas = 1000;
constexpr int kTimes = 200;
constexpr int64_t kMinuteMs = 60000;
constexpr int64_t kLargeRunMs = 85000;  // how long the large submission is given at most
constexpr int64_t kStandsStillMs = 6000;
constexpr milliseconds kFinish{14000};
constexpr int kSmallJobs = 10;

// A schedule that is due for its first 200 minutes, as when it is handed in late.
Json MakeLargeJob() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  Json job = MakeJob("work 5 10", kReplicas, 10);
  job["times"] = kTimes;
  job["interval_ms"] = kMinuteMs;
  job["first_ms"] = std::chrono::duration_cast<milliseconds>(now).count() - kTimes * kMinuteMs;
  return job;
}

}  // namespace

int RunRecordSizeCase(bool trouble, Record* record) {
  Journal journal;
  DeploymentOptions options;
  options.executors = 8;
  options.records_runs = false;
  Deployment deployment(options, record, &journal);
  if (!deployment.Start()) return kCannotRun;
  const std::string large = MakeId(100);
  if (trouble && deployment.Submit(0, large, MakeLargeJob()) != 200) return kCannotRun;
  int64_t last_done = 0;
  int64_t last_change = record->NowMs();
  while (trouble && record->NowMs() < kLargeRunMs) {
    std::this_thread::sleep_for(milliseconds(1000));
    int64_t started = 0;
    int64_t done = 0;
    {
      const std::lock_guard<std::mutex> lock(journal.mutex);
      started = journal.started_runs;
      done = journal.done_runs;
    }
    record->Line("runs started " + std::to_string(started) + ", done " + std::to_string(done) +
                 "; transactions refused for the size of a value: " +
                 std::to_string(deployment.store().refused()));
    if (done != last_done) last_change = record->NowMs();
    last_done = done;
    if (record->NowMs() - last_change > kStandsStillMs) break;
  }
  std::vector<std::string> accepted;
  for (int n = 0; n < kSmallJobs; ++n) {
    const std::string id = MakeId(1000 + n);
    const int status = deployment.Submit(n % deployment.daemons(), id, MakeJob("work 100", 2, 100));
    if (status == 200) accepted.push_back(id);
  }
  std::this_thread::sleep_for(kFinish);
  int missing = 0;
  for (const std::string& it : accepted) {
    if (!deployment.Await(it, "completed", milliseconds(100))) missing += 1;
  }
  record->Line("accepted " + std::to_string(accepted.size()) + ", not completed in finish_s " +
               std::to_string(missing));
  if (accepted.empty()) return kCannotRun;
  return missing > 0 ? kBroken : kHeld;
}

}  // namespace pomelopond::review
