#include "review/lab/lost.h"

#include <iterator>
#include <set>

#include "review/lab/throttle.h"

namespace pomelopond::lab {
namespace {

constexpr int kProbes = 10;  // ordinary submissions, one a second
constexpr int64_t kProbeIntervalMs = 1000;
constexpr int64_t kFinishMs = 14000;  // finish_s
constexpr int64_t kWindowMs = 3000;
constexpr int kDeadlineMs = 3000;
constexpr int kAttempts = 5;  // the first one and four retries
constexpr int64_t kRetryMs = 500;
constexpr int64_t kCalmLimitMs = 10000;
constexpr int64_t kStartMs = 4000;
constexpr int kReadyLimitMs = 15000;
constexpr int64_t kPollMs = 20;
constexpr const char* kStoreAddress = "127.0.77.1";

std::string ProbeBody() {
  const Json step = {{"replicas", 1}, {"cpu", 1000}, {"mem_mb", 100}, {"estimate_ms", 300}};
  return Json{{"spec", "ms=300 cpu=1000"}, {"steps", {step}}}.dump();
}

}  // namespace

int LostCase::Run(const std::string& folder, const std::function<void(LostCase*)>& trouble) {
  OpenRecord(folder + "/record.txt");
  temporary_ = TemporaryFolder();
  store_port_ = store_->Start(kStoreAddress);
  if (store_port_ == 0 || temporary_.empty()) return 2;
  store_->Put("op/config", ConfigText({queue_}, 1));
  for (int n = 0; n < installation_.executors; ++n) {
    executors_.push_back(new Executor("i-" + std::to_string(n), queue_.service, kStoreAddress,
                                      installation_.executor_cpu));
    executors_.back()->Start(store_);
  }
  int number = installation_.first_number;
  for (const std::string& zone : installation_.zones) {
    machines_.push_back(MakeMachine("edge-" + zone + "-" + std::to_string(number), zone,
                                    "127.0.77." + std::to_string(number)));
    machines_.back().processor_share = installation_.processor_share;
    machines_.back().max_lease_ms = installation_.max_lease_ms;
    number += 1;
  }
  const Throttle throttle(&machines_, installation_.processor_share);
  const int result = Play(trouble);
  EndAll(&machines_);
  RemoveFolder(temporary_);
  return result;
}

int LostCase::Play(const std::function<void(LostCase*)>& trouble) {
  for (Machine& it : machines_) StartDaemon(&it, store_port_, kStoreAddress, temporary_);
  for (const Machine& it : machines_) {
    if (!WaitUntilReady(it, kReadyLimitMs)) return 2;
  }
  SleepMs(kStartMs);
  if (!IsDoneInTime(Submit(1))) return 2;
  trouble(this);
  for (int n = 0; n < kProbes; ++n) {
    probes_.push_back(Submit(100 + n));
    SleepMs(kProbeIntervalMs);
  }
  Record("end of the traffic");
  SleepMs(kFinishMs);
  Record("finish_s has passed; each accepted submission is asked for");
  const int broken = CountLost();
  Record(broken == 0 ? "LOST holds"
                     : "LOST is broken by " + std::to_string(broken) + " of " +
                           std::to_string(kProbes) + " submissions");
  return broken == 0 ? 0 : 1;
}

int LostCase::Post(size_t machine, int id, const std::string& body) {
  const Machine& it = machines_[machine % machines_.size()];
  return ClientCall(it, queue_, "POST", IdOf(id), body, kDeadlineMs).status;
}

std::string LostCase::Submit(int n) {
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const auto machine = static_cast<size_t>(n + attempt) % machines_.size();
    const int status = Post(machine, n, ProbeBody());
    Record("ordinary submission " + IdOf(n) + " at " + machines_[machine].name + ": " +
           std::to_string(status));
    if (status / 100 == 2) return IdOf(n);
    SleepMs(kRetryMs);
  }
  return {};
}

// True when a run of the submission is done, or goes on.
bool LostCase::HasRun(const std::string& id, bool done_only) {
  for (Executor* it : executors_) {
    for (const RunRecord& run : it->Runs()) {
      if (run.task.compare(0, id.size(), id) != 0) continue;
      if (run.how == "done" || (!done_only && run.ended_ms < 0)) return true;
    }
  }
  return false;
}

bool LostCase::IsDoneInTime(const std::string& id) {
  if (id.empty()) return false;
  for (const int64_t until = ElapsedMs() + kCalmLimitMs; ElapsedMs() < until; SleepMs(kPollMs)) {
    if (HasRun(id, true)) return true;
  }
  Record("not run in calm: " + id);
  return false;
}

int LostCase::CountLost() {
  std::set<std::string> idle(probes_.begin(), probes_.end());
  idle.erase("");
  for (const int64_t until = ElapsedMs() + kWindowMs; ElapsedMs() < until; SleepMs(kPollMs)) {
    int64_t in_use = 0;
    for (Executor* it : executors_) in_use += it->CpuInUse();
    if (in_use * 2 >= installation_.executor_cpu * installation_.executors) {
      Record("half of the capacity is in use, so that the rule does not apply");
      return 0;
    }
    for (auto it = idle.begin(); it != idle.end();) {
      it = HasRun(*it, false) ? idle.erase(it) : std::next(it);
    }
  }
  for (const std::string& it : idle) {
    const Response state = ClientCall(machines_.front(), queue_, "GET", it, "", kDeadlineMs);
    Record("submission " + it + ": nothing has run; GET " + std::to_string(state.status) + " " +
           state.body);
  }
  return static_cast<int>(idle.size());
}

}  // namespace pomelopond::lab
