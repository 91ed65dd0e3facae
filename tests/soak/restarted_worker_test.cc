// Workers that start again under their ids, carry out a start and are cut off before the owner of
// the pool has heard of the restart.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "review/cluster.h"
#include "review/worker.h"

namespace pomelopond {
namespace {

constexpr int kHosts = 3;
constexpr int kMaxAttempts = 3;
constexpr int kSteadyWorkers = 2;
constexpr int kFirstAddress = 90;
constexpr int64_t kWorkersKnownMs = 4000;
// Longer than the longest lease of a worker, 10 s.
constexpr int64_t kTaskMs = 11000;
// Room for all tasks on the steady workers, so that none waits for a free one.
constexpr int64_t kCpuMilli = 64000;
constexpr int64_t kTasksRunMs = 500;
// From the start of a round to the return of all workers.
constexpr int64_t kReturnMs = 1000;
constexpr int64_t kSubmitIntervalMs = 100;
// A start that comes later may follow a report of the new process.
constexpr int64_t kFirstStartMs = 1500;
constexpr int64_t kCutMs = 9000;
// From a restart to the first registration. A cut doesn't stop the registrations of the stand-in,
// so it is this late.
constexpr int64_t kFirstCheckInMs = kCutMs;
// From the end of a cut to the end of the round; no run lasts from before the cut to then.
constexpr int64_t kAfterCutMs = 2500;
constexpr int64_t kHostDownMs = 1000;

// A worker that is restarted and cut off in each round.
struct FailingWorker {
  std::string id;
  int64_t down_ms = 0;
  int restarts = 1;
  int64_t up_ms = 0;  // between restarts
  int64_t first_check_in_ms = kFirstCheckInMs;
  review::Worker* worker = nullptr;
  int lost_runs = 0;   // tasks that ran there when it crashed
  int early_cuts = 0;  // rounds in which it carried out a start before a report
  int cuts = 0;        // rounds in which it carried out any start and was cut off
};

// When jobs are handed in until all workers are cut off.
enum class Jobs { kFromTheRestarts, kFromTheReturn };

class RestartedWorkerTest : public ::testing::Test {
 protected:
  // The stand-ins' threads run until the process ends, so nothing of them is destroyed.
  RestartedWorkerTest() : cluster_(new review::Cluster(kHosts)) {}
  ~RestartedWorkerTest() override { cluster_->Stop(); }

  review::Worker* AddWorker(const std::string& id);
  void Start(const std::vector<FailingWorker>& failing);
  // Hands in a job with a task for each worker.
  void Submit();
  void PlayRound(Jobs jobs, const std::function<void()>& at_the_cut);
  void RestartOwner();
  void CheckRuns(const std::string& record);

  review::Cluster* const cluster_;
  std::vector<FailingWorker> failing_;
  int workers_ = 0;
  int jobs_ = 0;
};

review::Worker* RestartedWorkerTest::AddWorker(const std::string& id) {
  review::WorkerOptions options;
  options.id = id;
  options.address = "127.0.0." + std::to_string(kFirstAddress + workers_);
  options.service = review::kService;
  options.cpu_milli = kCpuMilli;
  options.task_ms = kTaskMs;
  workers_ += 1;
  auto* worker = new review::Worker(options, &cluster_->store, &cluster_->ledger);
  worker->Start();
  return worker;
}

void RestartedWorkerTest::Start(const std::vector<FailingWorker>& failing) {
  failing_ = failing;
  for (FailingWorker& it : failing_) it.worker = AddWorker(it.id);
  for (int n = 0; n < kSteadyWorkers; ++n) AddWorker("i-steady" + std::to_string(n));
  ASSERT_TRUE(cluster_->Start(kMaxAttempts));
  review::SleepMs(kWorkersKnownMs);
}

void RestartedWorkerTest::Submit() {
  jobs_ += 1;
  const std::string id = std::to_string(1000000000000000 + jobs_);
  const std::string steps = R"([{"replicas":)" + std::to_string(workers_) +
                            R"(,"cpu":1000,"mem_mb":100,"estimate_ms":11000}])";
  EXPECT_EQ(cluster_->Submit(cluster_->hosts[0], id, steps).status, 200);
}

// Restarts the worker so that it is back `kReturnMs` later.
void Restart(FailingWorker* failing) {
  const int64_t down_ms = failing->restarts * failing->down_ms;
  review::SleepMs(kReturnMs - down_ms - (failing->restarts - 1) * failing->up_ms);
  for (int n = 1; n <= failing->restarts; ++n) {
    failing->lost_runs += failing->worker->RunningTasks();
    failing->worker->Crash();
    review::SleepMs(failing->down_ms);
    if (n == failing->restarts) failing->worker->CutAtNextStart();
    failing->worker->StartAgain(std::chrono::milliseconds(failing->first_check_in_ms));
    if (n < failing->restarts) review::SleepMs(failing->up_ms);
  }
}

// Returns true if a start was carried out in time.
bool AwaitStart(review::Worker* worker) {
  return review::WaitUntil(kFirstStartMs, [worker] { return worker->RunningTasks() > 0; });
}

void RestartedWorkerTest::PlayRound(Jobs jobs, const std::function<void()>& at_the_cut) {
  Submit();
  review::SleepMs(kTasksRunMs);
  std::atomic<size_t> awaited{failing_.size()};
  std::vector<std::thread> threads;
  for (FailingWorker& it : failing_) {
    threads.emplace_back([&it, &awaited] {
      Restart(&it);
      const bool in_time = AwaitStart(it.worker);
      awaited -= 1;
      review::SleepMs(kCutMs);
      const bool cut = it.worker->EndCut();
      it.early_cuts += in_time && cut ? 1 : 0;
      it.cuts += cut ? 1 : 0;
    });
  }
  if (jobs == Jobs::kFromTheReturn) review::SleepMs(kReturnMs);
  while (awaited > 0) {
    Submit();
    review::SleepMs(kSubmitIntervalMs);
  }
  at_the_cut();
  for (std::thread& it : threads) it.join();
  review::SleepMs(kAfterCutMs);
}

void RestartedWorkerTest::RestartOwner() {
  review::EntryHost* owner = cluster_->Owner();
  ASSERT_NE(owner, nullptr);
  cluster_->ledger.Record("the owner is killed: " + owner->Name());
  owner->Kill();
  review::SleepMs(kHostDownMs);
  owner->Start();
}

void RestartedWorkerTest::CheckRuns(const std::string& record) {
  cluster_->ledger.Write(record);
  for (const FailingWorker& it : failing_) {
    EXPECT_GT(it.lost_runs, 0) << it.id << " never crashed beside running tasks";
    // One that registers before the end of the cut is known by then and gets tasks.
    if (it.first_check_in_ms < kFirstCheckInMs) {
      EXPECT_GT(it.cuts, 0) << it.id << " was never cut off";
    }
    std::cout << it.id << ": " << it.lost_runs << " runs lost, cut off in " << it.cuts
              << " rounds, before a report in " << it.early_cuts << "\n";
  }
  for (const std::string& it : cluster_->ledger.Twice()) ADD_FAILURE() << it;
}

// Guards against a second run of a task beside the first, which the owner takes for lapsed: its
// lease ends at a time on the clock of the worker's earlier process.
TEST_F(RestartedWorkerTest, RunsOfAWorkerThatIsCutOffAreNotStartedElsewhere) {
  const FailingWorker slow{"i-back-after-500ms", 500};
  const FailingWorker quick{"i-back-after-100ms", 100};
  const FailingWorker twice{"i-back-twice", 300, 2, 200};
  const FailingWorker registers{"i-registers-while-cut-off", 500, 1, 0, 3000};
  ASSERT_NO_FATAL_FAILURE(Start({slow, quick, twice, registers}));
  PlayRound(Jobs::kFromTheReturn, [] {});
  PlayRound(Jobs::kFromTheRestarts, [] {});
  CheckRuns("restarted-worker.txt");
}

// Guards against the same of a next owner, which knows the lease from the stored bounds alone.
TEST_F(RestartedWorkerTest, RunsOfAWorkerThatIsCutOffAreNotStartedElsewhereByTheNextOwner) {
  const FailingWorker slow{"i-back-after-500ms", 500};
  const FailingWorker quick{"i-back-after-100ms", 100};
  ASSERT_NO_FATAL_FAILURE(Start({slow, quick}));
  PlayRound(Jobs::kFromTheReturn, [this] { RestartOwner(); });
  CheckRuns("restarted-worker-next-owner.txt");
}

}  // namespace
}  // namespace pomelopond
