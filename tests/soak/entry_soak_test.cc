// Soak of pomelopond-entry: several processes, a store and workers that fail, restart and go silent
// in series that overlap, and callers that keep their connections. SOAK_SEED and SOAK_SECONDS
// choose the series and its length.
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "base/endpoint.h"
#include "base/json.h"
#include "base/time.h"
#include "entry/keys.h"
#include "review/cluster.h"
#include "review/worker.h"
#include "tests/soak/random.h"
#include "tests/support/raw_client.h"

namespace pomelopond {
namespace {

constexpr int kHosts = 4;
constexpr int kWorkers = 6;
constexpr int kCallers = 4;
constexpr int kMaxAttempts = 3;
constexpr int kMaxReplicas = 4;
constexpr int64_t kTaskMs = 300;
// The first workers run each task for longer than their longest lease, 10 s.
constexpr int kLongWorkers = 2;
constexpr int64_t kLongTaskMs = 11000;
// They have room for more, as a worker whose room is taken gets no start after a restart.
constexpr int64_t kLongWorkerCpuMilli = 64000;
constexpr int64_t kWorkersKnownMs = 4000;
constexpr Duration kCallTimeout = std::chrono::seconds(3);
// Callers may be told what was true this long before their request.
constexpr Duration kMaxAge = std::chrono::seconds(2);
// Commits are answered this late at most. Hosts give up on them after a second.
constexpr int kLongestCommitMs = 1400;
// A caller that leaves waits this long for an answer.
constexpr Duration kShortPatience = std::chrono::milliseconds(200);
// No task of a job starts later than this after its cancellation was acknowledged.
constexpr int64_t kCancelMs = 3000;
// No task starts in a failure domain later than this after its evacuation was acknowledged.
constexpr int64_t kEvacuateMs = 5000;
// The failure domain of all workers.
constexpr const char* kEvacuationKey = "op/evacuate/seeb-a";
// All jobs have to be completed this long after the last trouble, besides the time of a long task.
constexpr Duration kFinishTime = std::chrono::seconds(30);
constexpr const char* kQueueHost = "nony24.example";

int FromEnvironment(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

struct AcceptedJob {
  int tasks = 0;
  TimePoint accepted_at;
  bool cancelled = false;  // the cancellation has been sent
};

bool IsTaskOf(const review::Run& run, const std::string& job) {
  return run.task.compare(0, job.size(), job) == 0;
}

bool HasBegun(const std::vector<review::Run>& runs, const std::string& job) {
  return std::any_of(runs.begin(), runs.end(),
                     [&job](const review::Run& it) { return IsTaskOf(it, job); });
}

int DoneTasks(const std::vector<review::Run>& runs, const std::string& job) {
  int done = 0;
  for (const review::Run& it : runs) done += IsTaskOf(it, job) && it.how == "done" ? 1 : 0;
  return done;
}

class EntrySoakTest : public ::testing::Test {
 protected:
  // The stand-ins' threads run until the process ends, so nothing of them is destroyed.
  EntrySoakTest() : cluster_(new review::Cluster(kHosts)) {
    for (int n = 0; n < kWorkers; ++n) {
      review::WorkerOptions options;
      options.id = "i-5ea4c10" + std::to_string(n);
      options.address = "127.0.0." + std::to_string(80 + n);
      options.service = review::kService;
      options.task_ms = n < kLongWorkers ? kLongTaskMs : kTaskMs;
      if (n < kLongWorkers) options.cpu_milli = kLongWorkerCpuMilli;
      workers_.push_back(new review::Worker(options, &cluster_->store, &cluster_->ledger));
      workers_.back()->Start();
    }
    queues_[review::kPrefix] = Now();
    // The store calls this once a transaction has taken effect, before it answers.
    cluster_->store.crash_after = [this](const std::vector<std::string>&) {
      review::SleepMs(commit_delay_ms_.load());
      return false;
    };
  }

  ~EntrySoakTest() override { cluster_->Stop(); }

  void Fault(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    cluster_->ledger.Record("BROKEN " + text);
    faults_.push_back(text);
  }

  // Callers.
  void Call(int number);
  void Submit(support::RawClient* client, Random* random, int number);
  void CheckState(support::RawClient* client, const std::string& id);
  void CheckCount(support::RawClient* client);
  void CheckQueue(support::RawClient* client, Random* random);
  void Cancel(support::RawClient* client, const std::string& id);
  void LeaveAndCancel(support::RawClient* left, support::RawClient* client, Random* random,
                      int number);
  std::string AnyJob(Random* random);
  static std::string NewId(Random* random, int number);
  static std::string JobOf(int tasks);
  using Answer = std::optional<http::HttpResponse>;  // none if the call failed
  static Answer Ask(support::RawClient* client, const std::string& method, const std::string& path,
                    const std::string& body = {}, Duration patience = kCallTimeout);

  // Troubles.
  void MakeTrouble(Random* random);
  void StopHost(Random* random, int signal, Duration pause);
  void FailWorker(Random* random);
  void RestartAndCutWorker(Random* random);
  void AddQueue();
  void StopStore(Duration length);
  void SlowStore(int delay_ms, Duration length);
  void Evacuate(Duration length);
  void LapseAndLoseOwner(Random* random);
  void EndTroubles(bool all);
  void After(Duration delay, std::function<void()> work) {
    ends_.emplace(Now() + delay, std::move(work));
  }

  bool AllCompleted();
  // No task of a job that its caller left and cancelled has begun late.
  void CheckLeftJobs();
  void CheckEvacuations();

  review::Cluster* const cluster_;
  std::vector<review::Worker*> workers_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> recent_counts_{0};
  std::multimap<TimePoint, std::function<void()>> ends_;  // of troubles
  std::set<size_t> troubled_hosts_;
  std::set<size_t> troubled_workers_;
  int restart_cuts_ = 0;  // cuts after a restart that a start has brought about
  bool store_troubled_ = false;
  std::atomic<int> commit_delay_ms_{0};  // between the effect of a commit and its answer
  int config_version_ = 1;
  bool evacuated_ = false;
  // When the domain was evacuated and the store was up, in ms.
  std::vector<std::pair<int64_t, int64_t>> evacuations_;

  std::mutex mutex_;  // guards the members below
  std::map<std::string, AcceptedJob> jobs_;
  std::map<std::string, int64_t> left_jobs_;  // when their cancellation was acknowledged, in ms
  std::map<std::string, TimePoint> queues_;   // by prefix: when the configuration was confirmed
  std::vector<std::string> faults_;
};

EntrySoakTest::Answer EntrySoakTest::Ask(support::RawClient* client, const std::string& method,
                                         const std::string& path, const std::string& body,
                                         Duration patience) {
  const std::string request =
      method + " " + path + " HTTP/1.1\r\nHost: " + kQueueHost +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  if (!client->Connect() || !client->Write(request)) {
    client->Close();
    return std::nullopt;
  }
  return client->Read(patience);
}

std::string EntrySoakTest::AnyJob(Random* random) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (jobs_.empty()) return {};
  return std::next(jobs_.begin(), random->Between(0, static_cast<int>(jobs_.size()) - 1))->first;
}

std::string EntrySoakTest::NewId(Random* random, int number) {
  std::string id = std::to_string(number) + std::to_string(random->Between(100000000, 999999999));
  id.resize(16, '0');
  return id;
}

std::string EntrySoakTest::JobOf(int tasks) {
  const Json step = {{"replicas", tasks}, {"cpu", 1000}, {"mem_mb", 100}, {"estimate_ms", kTaskMs}};
  return Json{{"spec", "soak"}, {"steps", Json::array({step})}}.dump();
}

void EntrySoakTest::Submit(support::RawClient* client, Random* random, int number) {
  const std::string id = NewId(random, number);
  const int tasks = random->Between(1, kMaxReplicas);
  const Answer answer = Ask(client, "POST", review::kPrefix + id, JobOf(tasks));
  if (!answer) return;
  if (answer->status == 404) Fault("404 for a queue that exists: " + id);
  if (answer->status != 200) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_[id] = {tasks, Now(), false};
}

void EntrySoakTest::CheckState(support::RawClient* client, const std::string& id) {
  const Answer answer = Ask(client, "GET", review::kPrefix + id);
  if (!answer) return;
  const int status = answer->status;
  if (status == 404 || status == 410) return Fault(std::to_string(status) + " for " + id);
  if (status != 200) return;
  const std::vector<review::Run> runs = cluster_->ledger.Runs();
  const std::string state = Json::parse(answer->body).at("state");
  const std::lock_guard<std::mutex> lock(mutex_);
  const AcceptedJob& job = jobs_.at(id);
  const bool is_false = (state == "running" && !HasBegun(runs, id)) ||
                        (state == "completed" && DoneTasks(runs, id) < job.tasks) ||
                        (state == "cancelled" && !job.cancelled) || state == "failed";
  if (is_false) faults_.push_back(id + " is shown as " + state);
}

void EntrySoakTest::CheckCount(support::RawClient* client) {
  const TimePoint sent = Now();
  std::vector<std::string> accepted;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [id, it] : jobs_) {
      if (!it.cancelled && it.accepted_at < sent - kMaxAge) accepted.push_back(id);
    }
  }
  const Answer answer = Ask(client, "GET", review::kPrefix);
  if (!answer || answer->status != 200) return;
  recent_counts_ += 1;
  const int told = Json::parse(answer->body).at("waiting");
  const std::vector<review::Run> runs = cluster_->ledger.Runs();
  const std::lock_guard<std::mutex> lock(mutex_);
  int waiting = 0;
  for (const std::string& it : accepted) {
    waiting += jobs_.at(it).cancelled || HasBegun(runs, it) ? 0 : 1;
  }
  if (told >= waiting) return;
  faults_.push_back(std::to_string(told) + " jobs are said to wait, " + std::to_string(waiting) +
                    " have waited for over 2 s");
}

void EntrySoakTest::CheckQueue(support::RawClient* client, Random* random) {
  std::pair<std::string, TimePoint> queue;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int n = random->Between(0, static_cast<int>(queues_.size()) - 1);
    queue = *std::next(queues_.begin(), n);
  }
  const TimePoint sent = Now();
  const Answer answer = Ask(client, "GET", queue.first);
  if (!answer || answer->status != 404 || sent < queue.second + kMaxAge) return;
  Fault("404 for " + queue.first + ", which was added over 2 s before");
}

void EntrySoakTest::Cancel(support::RawClient* client, const std::string& id) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    jobs_.at(id).cancelled = true;
  }
  Ask(client, "DELETE", review::kPrefix + id);
}

// A caller that gets no answer for a while leaves and cancels the job at another host. The first
// host, which may be frozen, carries out the request later.
void EntrySoakTest::LeaveAndCancel(support::RawClient* left, support::RawClient* client,
                                   Random* random, int number) {
  const std::string id = NewId(random, number);
  const std::string path = review::kPrefix + id;
  Ask(left, "POST", path, JobOf(random->Between(1, kMaxReplicas)), kShortPatience);
  left->Close();
  const Answer answer = Ask(client, "DELETE", path);
  if (!answer || (answer->status != 200 && answer->status != 410)) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  left_jobs_[id] = cluster_->ledger.NowMs();
}

void EntrySoakTest::CheckLeftJobs() {
  for (const review::Run& it : cluster_->ledger.Runs()) {
    const auto left = left_jobs_.find(it.task.substr(0, it.task.find('.')));
    if (left == left_jobs_.end() || it.began_ms <= left->second + kCancelMs) continue;
    ADD_FAILURE() << it.task << " began at " << it.began_ms << " ms, cancelled at " << left->second;
  }
}

void EntrySoakTest::Call(int number) {
  Random random(static_cast<uint64_t>(number) * 1000 +
                static_cast<uint64_t>(FromEnvironment("SOAK_SEED", 1)));
  std::vector<std::unique_ptr<support::RawClient>> clients;
  for (const review::EntryHost& it : cluster_->hosts) {
    clients.push_back(std::make_unique<support::RawClient>(ParseEndpoint(it.Callers()).value));
  }
  while (!stopping_.load()) {
    support::RawClient* client = clients[static_cast<size_t>(random.Between(0, kHosts - 1))].get();
    const int draw = random.Between(1, 100);
    const std::string job = AnyJob(&random);
    if (draw <= 36 || job.empty()) {
      Submit(client, &random, number);
    } else if (draw <= 40) {
      support::RawClient* other = clients[static_cast<size_t>(random.Between(0, kHosts - 1))].get();
      LeaveAndCancel(other, client, &random, number);
    } else if (draw <= 65) {
      CheckState(client, job);
    } else if (draw <= 85) {
      CheckCount(client);
    } else if (draw <= 95) {
      CheckQueue(client, &random);
    } else {
      Cancel(client, job);
    }
    std::this_thread::sleep_for(random.MsBetween(20, 60));
  }
}

// Stops or pauses a host, and lets it go on after `pause`.
void EntrySoakTest::StopHost(Random* random, int signal, Duration pause) {
  const bool owner_first = random->Between(0, 1) == 0;
  const review::EntryHost* owner = owner_first ? cluster_->Owner() : nullptr;
  size_t n = static_cast<size_t>(random->Between(0, kHosts - 1));
  if (owner != nullptr) n = static_cast<size_t>(owner - cluster_->hosts.data());
  if (!troubled_hosts_.insert(n).second) return;
  review::EntryHost* host = &cluster_->hosts[n];
  host->Signal(signal);
  After(pause, [this, n, host, signal] {
    if (signal == SIGSTOP) {
      host->Signal(SIGCONT);
    } else {
      host->Kill();
      host->Start();
    }
    troubled_hosts_.erase(n);
  });
}

void EntrySoakTest::FailWorker(Random* random) {
  const size_t n = static_cast<size_t>(random->Between(0, kWorkers - 1));
  if (!troubled_workers_.insert(n).second) return;
  review::Worker* worker = workers_[n];
  const bool crash = random->Between(0, 1) == 0;
  if (crash) worker->Crash();
  if (!crash) worker->CutAtNextStart();
  After(random->MsBetween(500, 4000), [this, n, worker, crash] {
    if (crash) worker->StartAgain(std::chrono::milliseconds(200));
    if (!crash) worker->EndCut();
    troubled_workers_.erase(n);
  });
}

// A worker with long tasks starts again and is cut off at the next start that it carries out. It
// registers soon, or only after the time of the cut.
void EntrySoakTest::RestartAndCutWorker(Random* random) {
  const size_t n = static_cast<size_t>(random->Between(0, kLongWorkers - 1));
  if (!troubled_workers_.insert(n).second) return;
  review::Worker* worker = workers_[n];
  worker->Crash();
  const Duration down = random->MsBetween(50, 1000);
  const int cut_ms = random->Between(3000, 10000);
  const int check_in_ms = random->Between(0, 1) == 0 ? random->Between(25, 400) : cut_ms;
  After(down, [worker, check_in_ms] {
    worker->CutAtNextStart();
    worker->StartAgain(std::chrono::milliseconds(check_in_ms));
  });
  After(down + std::chrono::milliseconds(cut_ms), [this, n, worker] {
    restart_cuts_ += worker->EndCut() ? 1 : 0;
    troubled_workers_.erase(n);
  });
}

void EntrySoakTest::AddQueue() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> prefixes;
  for (const auto& [prefix, added_at] : queues_) prefixes.push_back(prefix);
  prefixes.push_back("/added" + std::to_string(config_version_) + "/");
  config_version_ += 1;
  cluster_->store.Put("op/config", review::Config(config_version_, kMaxAttempts, prefixes));
  queues_[prefixes.back()] = Now();
}

void EntrySoakTest::StopStore(Duration length) {
  if (store_troubled_) return;
  store_troubled_ = true;
  cluster_->store.GoDown();
  if (evacuated_) evacuations_.back().second = cluster_->ledger.NowMs();
  After(length, [this] {
    cluster_->store.Return();
    if (evacuated_) evacuations_.emplace_back(cluster_->ledger.NowMs(), INT64_MAX);
    store_troubled_ = false;
  });
}

void EntrySoakTest::SlowStore(int delay_ms, Duration length) {
  commit_delay_ms_.store(delay_ms);
  After(length, [this] { commit_delay_ms_.store(0); });
}

void EntrySoakTest::Evacuate(Duration length) {
  if (evacuated_ || store_troubled_) return;
  evacuated_ = true;
  cluster_->store.Put(kEvacuationKey, "{}");
  evacuations_.emplace_back(cluster_->ledger.NowMs(), INT64_MAX);
  After(length, [this] {
    evacuated_ = false;
    evacuations_.back().second = std::min(evacuations_.back().second, cluster_->ledger.NowMs());
    cluster_->store.Remove(kEvacuationKey);
  });
}

void EntrySoakTest::CheckEvacuations() {
  for (const review::Run& it : cluster_->ledger.Runs()) {
    for (const auto& [from, to] : evacuations_) {
      if (it.began_ms <= from + kEvacuateMs || it.began_ms >= to) continue;
      ADD_FAILURE() << it.task << " began at " << it.began_ms << " ms, evacuated at " << from;
    }
  }
}

// An outage in which the owner's lease ends, with a slow store and a lost owner behind it.
void EntrySoakTest::LapseAndLoseOwner(Random* random) {
  const Duration outage = random->MsBetween(200, 2500);
  StopStore(outage);
  const int delay_ms = random->Between(50, 600);
  After(outage, [this, delay_ms] {
    cluster_->store.Remove(entry::kOwnerKey);
    SlowStore(delay_ms, std::chrono::seconds(3));
  });
  const bool killed = random->Between(0, 1) == 0;
  After(outage + random->MsBetween(0, 2500), [this, random, killed] {
    StopHost(random, killed ? SIGKILL : SIGTERM, std::chrono::seconds(1));
  });
}

void EntrySoakTest::MakeTrouble(Random* random) {
  switch (random->Between(0, 16)) {
    case 0:
    case 1:
      return StopHost(random, SIGSTOP, random->MsBetween(500, 6000));
    case 2:
      return StopHost(random, SIGKILL, random->MsBetween(300, 3000));
    case 3:
      return StopHost(random, SIGTERM, random->MsBetween(1000, 3000));
    case 4:
      return cluster_->hosts[static_cast<size_t>(random->Between(0, kHosts - 1))].Signal(SIGHUP);
    case 5:
      return StopStore(random->MsBetween(200, 3000));
    case 6:
      return cluster_->store.SilenceOpenConnections();
    case 7:
      return AddQueue();
    case 8:
      return SlowStore(random->Between(50, kLongestCommitMs), random->MsBetween(1000, 5000));
    case 9:
      return LapseAndLoseOwner(random);
    case 10:
      return Evacuate(random->MsBetween(2000, 9000));
    case 11:
    case 12:
    case 13:
    case 14:
      return RestartAndCutWorker(random);
    default:
      return FailWorker(random);
  }
}

void EntrySoakTest::EndTroubles(bool all) {
  while (!ends_.empty() && (all || ends_.begin()->first <= Now())) {
    const std::function<void()> end = ends_.begin()->second;
    ends_.erase(ends_.begin());
    end();
  }
}

bool EntrySoakTest::AllCompleted() {
  const std::vector<review::Run> runs = cluster_->ledger.Runs();
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::all_of(jobs_.begin(), jobs_.end(), [&runs](const auto& entry) {
    const auto& [id, it] = entry;
    return it.cancelled || DoneTasks(runs, id) >= it.tasks;
  });
}

// Guards against an answer that is not true, a task that runs twice and a job that is lost.
TEST_F(EntrySoakTest, CallersAreToldWhatIsTrue) {
  ASSERT_TRUE(cluster_->Start(kMaxAttempts));
  review::SleepMs(kWorkersKnownMs);
  Random random(static_cast<uint64_t>(FromEnvironment("SOAK_SEED", 1)));
  std::vector<std::thread> callers;
  for (int n = 1; n <= kCallers; ++n) callers.emplace_back([this, n] { Call(n); });
  const TimePoint until = Now() + std::chrono::seconds(FromEnvironment("SOAK_SECONDS", 40));
  TimePoint next = Now();
  while (Now() < until) {
    EndTroubles(false);
    if (Now() >= next) {
      MakeTrouble(&random);
      next = Now() + random.MsBetween(200, 1500);
    }
    review::SleepMs(20);
  }
  EndTroubles(true);
  stopping_.store(true);
  for (std::thread& it : callers) it.join();
  const TimePoint finish = Now() + kFinishTime + std::chrono::milliseconds(kLongTaskMs);
  while (!AllCompleted() && Now() < finish) review::SleepMs(100);
  EXPECT_TRUE(AllCompleted()) << "jobs are lost";
  for (const std::string& it : faults_) ADD_FAILURE() << it;
  for (const std::string& it : cluster_->ledger.Twice()) ADD_FAILURE() << it;
  CheckLeftJobs();
  CheckEvacuations();
  EXPECT_GT(jobs_.size(), 0U);
  EXPECT_GT(left_jobs_.size(), 0U);
  EXPECT_GT(recent_counts_.load(), 0);
  std::cout << jobs_.size() << " jobs, " << recent_counts_.load() << " counts, "
            << evacuations_.size() << " evacuations, " << restart_cuts_ << " cuts after restarts\n";
  cluster_->ledger.Write("record-" + std::to_string(FromEnvironment("SOAK_SEED", 1)) + ".txt");
}

}  // namespace
}  // namespace pomelopond
