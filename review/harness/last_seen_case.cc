// An executor that starts again while the store is slow is told to forget an end that it has not
// listed.
#include "cases.h"
#include "deployment.h"

namespace pomelopond::review {
namespace {

constexpr milliseconds kSlowAnswer{240};  // platform_slow, x = 60 of 4 ms
constexpr milliseconds kNormalAnswer{4};
constexpr milliseconds kSlowFor{4500};
constexpr milliseconds kCalm{3000};
constexpr int kRounds = 8;
constexpr milliseconds kRestartInterval{700};
constexpr milliseconds kRestartTime{100};
constexpr milliseconds kSubmitInterval{45};
constexpr int64_t kFinishMs = 14000;

// A client that submits short jobs until it ends.
class ShortJobs {
 public:
  explicit ShortJobs(Deployment* deployment)
      : deployment_(deployment), thread_([this] { Run(); }) {}
  ~ShortJobs() {
    stopped_.store(true);
    thread_.join();
  }
  ShortJobs(const ShortJobs&) = delete;
  ShortJobs& operator=(const ShortJobs&) = delete;

 private:
  void Run() {
    for (int n = 0; !stopped_.load(); ++n) {
      deployment_->SendAndForget(n % deployment_->daemons(), MakeId(10000 + n),
                                 MakeJob("work 40 100", 2, 100));
      std::this_thread::sleep_for(kSubmitInterval);
    }
  }

  Deployment* const deployment_;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

}  // namespace

int RunLastSeenCase(bool trouble, Record* record) {
  Journal journal;
  DeploymentOptions options;
  options.executors = 8;
  Deployment deployment(options, record, &journal);
  if (!deployment.Start()) return kCannotRun;
  {
    const ShortJobs jobs(&deployment);
    int next = 0;
    for (int n = 0; n < kRounds; ++n) {
      std::this_thread::sleep_for(kCalm);
      const auto until = Clock::now() + kSlowFor;
      if (!trouble) {
        std::this_thread::sleep_until(until);
        continue;
      }
      record->Line("store is slow");
      deployment.store().SetDelay(kSlowAnswer);
      while (Clock::now() + kRestartInterval < until) {
        std::this_thread::sleep_for(kRestartInterval);
        deployment.StopExecutor(next);
        std::this_thread::sleep_for(kRestartTime);
        deployment.StartExecutor(next);
        next = (next + 1) % deployment.executors();
      }
      std::this_thread::sleep_until(until);
      deployment.store().SetDelay(kNormalAnswer);
      record->Line("store is fast");
    }
  }
  std::this_thread::sleep_for(milliseconds(kFinishMs));
  const std::lock_guard<std::mutex> lock(journal.mutex);
  for (const auto& [task, at] : journal.repeated_after) {
    record->Line("task " + task + " was started again at " + std::to_string(at) +
                 " ms, after note of its end was taken at " + std::to_string(journal.noted[task]) +
                 " ms");
  }
  record->Line(std::to_string(journal.starts.size()) + " tasks, " +
               std::to_string(journal.repeated_after.size()) + " started after a noted end");
  return journal.repeated_after.empty() ? kHeld : kBroken;
}

}  // namespace pomelopond::review
