// Case 13: a submission that was refused with 503 runs. See claim.txt.
#include <atomic>
#include <cstdlib>
#include <thread>

#include "review/lab/daemon.h"
#include "review/lab/executor.h"

namespace pomelopond::lab {
namespace {

constexpr const char* kStoreAddress = "127.0.77.1";
constexpr int64_t kExecutorCpu = 16000;
constexpr int kDeadlineMs = 3000;
constexpr int64_t kHourMs = 3600000;
constexpr int kMostTasksOfStep = 10000;
constexpr int64_t kLateMs = 4000;  // platform_lost, how late: done 1 to 6 s later
constexpr int64_t kRunLimitMs = 8000;
constexpr int kMostAccepted = 200;
constexpr int kRefusedId = 0xabcdef;

// A submission of many short tasks that is due in an hour.
std::string ScheduledBody(int tasks) {
  Json steps = Json::array();
  for (int left = tasks; left > 0; left -= kMostTasksOfStep) {
    steps.push_back({{"replicas", std::min(left, kMostTasksOfStep)}, {"cpu", 100}});
  }
  return Json{{"spec", "ms=300 cpu=100"},
              {"steps", std::move(steps)},
              {"times", 1},
              {"first_ms", WallMs() + kHourMs}}
      .dump();
}

std::string OrdinaryBody() {
  const Json step = {{"replicas", 1}, {"cpu", 1000}, {"mem_mb", 100}, {"estimate_ms", 300}};
  return Json{{"spec", "ms=300 cpu=1000"}, {"steps", {step}}}.dump();
}

class Case {
 public:
  int Run(const std::string& folder) {
    OpenRecord(folder + "/record.txt");
    const std::string temporary = TemporaryFolder();
    const int port = store_->Start(kStoreAddress);
    if (port == 0 || temporary.empty()) return 2;
    store_->Put("op/config", ConfigText({queue_}, 1));
    executor_ = new Executor("i-0", queue_.service, kStoreAddress, kExecutorCpu);
    executor_->Start(store_);
    for (int n = 0; n < 3; ++n) {
      machines_.push_back(
          MakeMachine("edge-" + std::to_string(n), "seeb-a", "127.0.77." + std::to_string(20 + n)));
      StartDaemon(&machines_.back(), port, kStoreAddress, temporary);
    }
    const int result = Play();
    EndAll(&machines_);
    RemoveFolder(temporary);
    return result;
  }

 private:
  int Play() {
    for (const Machine& it : machines_) {
      if (!WaitUntilReady(it, 15000)) return 2;
    }
    SleepMs(3000);
    // Fills the memory for submissions until even small ones are refused.
    for (const int tasks : {50000, 5000, 450, 300}) Fill(tasks);
    SleepMs(1500);
    store_->SetHook([this](const Request& request) { return HoldBack(request); });
    const int status = Post(0, kRefusedId, OrdinaryBody());
    Record("the client's only attempt for " + IdOf(kRefusedId) + ": " + std::to_string(status));
    Record("another client cancels a large submission: " +
           std::to_string(
               ClientCall(machines_[1], queue_, "DELETE", IdOf(1), "", kDeadlineMs).status));
    const bool rejected = status == 429 || status == 503;
    const bool ran = HasRun();
    Record(std::string("the submission was ") + (rejected ? "rejected" : "not rejected") + " and " +
           (ran ? "has run" : "has not run"));
    if (!rejected) return 2;  // the memory is not full
    Record(rejected && ran ? "REFUSED is broken" : "REFUSED holds");
    return rejected && ran ? 1 : 0;
  }

  int Post(size_t machine, int id, const std::string& body) {
    return ClientCall(machines_[machine], queue_, "POST", IdOf(id), body, kDeadlineMs).status;
  }

  void Fill(int tasks) {
    int accepted = 0;
    int status = 200;
    while (status == 200 && accepted < kMostAccepted) {
      status = Post(1, next_id_++, ScheduledBody(tasks));
      accepted += status == 200 ? 1 : 0;
      SleepMs(100);
    }
    Record("scheduled submissions of " + std::to_string(tasks) +
           " tasks accepted: " + std::to_string(accepted) + ", then " + std::to_string(status));
  }

  // The first write of the submission is carried out late and not answered.
  Response HoldBack(const Request& request) {
    const bool creates = PathOf(request) == "/api/kv-txn" &&
                         request.body.find(IdOf(kRefusedId)) != std::string::npos &&
                         request.body.find("pomelopond/job/") != std::string::npos;
    if (!creates || !HasTrouble() || held_.exchange(true)) return {};
    Record("the store does not answer the write of " + IdOf(kRefusedId));
    std::thread([this, request] {
      SleepMs(kLateMs);
      const Response late = store_->Handle(request);
      Record("the store carries the write out late: " + std::to_string(late.status));
    }).detach();
    SleepMs(kLateMs);
    return {-1, {}, {}};
  }

  bool HasRun() {
    for (const int64_t until = ElapsedMs() + kRunLimitMs; ElapsedMs() < until; SleepMs(50)) {
      for (const RunRecord& it : executor_->Runs()) {
        if (it.task.compare(0, 16, IdOf(kRefusedId)) != 0) continue;
        Record("the executor was told to start " + it.task + ", run " + std::to_string(it.run));
        return true;
      }
    }
    return false;
  }

  Store* const store_ = new Store;  // its threads end with the program
  Executor* executor_ = nullptr;
  Queue queue_;
  std::vector<Machine> machines_;
  int next_id_ = 1;
  std::atomic<bool> held_{false};
};

}  // namespace
}  // namespace pomelopond::lab

int main(int argc, char** argv) {
  pomelopond::lab::Case it;
  const int result = it.Run(argc > 1 ? argv[1] : ".");
  std::_Exit(result);
}
