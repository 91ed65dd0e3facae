// Case 4: owners lose power one after the other. Their connections stay open at the workers, until
// a worker takes no new one and no owner can reach it.
#include <algorithm>
#include <csignal>
#include <set>
#include <string>
#include <vector>

#include "../cluster.h"
#include "../worker.h"

namespace review {
namespace {

constexpr int kHosts = 8;
constexpr int kWorkers = 6;
constexpr int kLosses = 12;
constexpr int64_t kWorkersKnownMs = 4000;
constexpr int64_t kLossIntervalMs = 5000;
constexpr int64_t kDownMs = 3500;
constexpr int64_t kJobIntervalMs = 500;
constexpr int64_t kCalmMs = 7000;
constexpr int64_t kFinishMs = 14000;  // `finish_s`
constexpr int64_t kIdleMs = 3000;
constexpr const char* kRecord = "review/4/record.txt";
constexpr const char* kLastJob = "0b5d44e87f3a91c2";
constexpr const char* kSteps = R"([{"replicas":36,"cpu":1000,"mem_mb":500,"estimate_ms":600}])";

std::vector<Worker*> StartWorkers(Cluster* cluster) {
  std::vector<Worker*> workers;
  for (int n = 0; n < kWorkers; ++n) {
    WorkerOptions options;
    options.id = "i-7f3a91c" + std::to_string(n);
    options.address = "127.0.0." + std::to_string(70 + n);
    options.service = kService;
    options.task_ms = 600;
    options.task_cpu_milli = 1000;
    options.task_memory_mb = 500;
    workers.push_back(new Worker(options, &cluster->store, &cluster->ledger));
    workers.back()->Start();
  }
  return workers;
}

void RecordConnections(Cluster* cluster, const std::vector<Worker*>& workers) {
  std::string text = "connections at the workers:";
  for (const Worker* it : workers) text += " " + std::to_string(it->Connections());
  cluster->ledger.Record(text);
}

// Hosts that have not lost power.
class LiveHosts {
 public:
  explicit LiveHosts(Cluster* cluster) : cluster_(cluster) {}

  const EntryHost& Any() const {
    for (const EntryHost& it : cluster_->hosts) {
      if (lost_.count(it.Name()) == 0) return it;
    }
    return cluster_->hosts.back();
  }
  // Stops the owner for good, which leaves its connections open without an answer.
  void LoseOwner() {
    EntryHost* owner = cluster_->Owner();
    if (owner == nullptr || !lost_.insert(owner->Name()).second) return;
    cluster_->ledger.Record(owner->Name() + ", the owner, loses power");
    owner->Signal(SIGSTOP);
  }

 private:
  Cluster* const cluster_;
  std::set<std::string> lost_;
};

// Hands jobs in at a steady rate until `until_ms`.
void SubmitUntil(Cluster* cluster, const LiveHosts& hosts, int64_t until_ms, int* jobs) {
  while (cluster->ledger.NowMs() < until_ms) {
    *jobs += 1;
    cluster->Submit(hosts.Any(), "5c0e7a21d94b" + std::to_string(1000 + *jobs), kSteps);
    SleepMs(kJobIntervalMs);
  }
}

// True when nothing of the last job runs for 3 s, with under half of the workers' room in use.
bool StaysIdle(const Cluster& cluster, const std::vector<Worker*>& workers) {
  const int64_t until_ms = cluster.ledger.NowMs() + kIdleMs;
  while (cluster.ledger.NowMs() < until_ms) {
    int running = 0;
    for (Worker* it : workers) running += it->RunningTasks();
    if (running >= kWorkers * 16 / 2) return false;
    const std::vector<Run> runs = cluster.ledger.Runs();
    const std::string job = kLastJob;
    const bool began = std::any_of(runs.begin(), runs.end(), [&job](const Run& it) {
      return it.task.compare(0, job.size(), job) == 0;
    });
    if (began) return false;
    SleepMs(100);
  }
  return true;
}

void Play() {
  auto* cluster = new Cluster(kHosts);
  const std::vector<Worker*> workers = StartWorkers(cluster);
  if (!cluster->Start(3)) GiveUp(cluster, kRecord, "the hosts are not ready");
  SleepMs(kWorkersKnownMs);
  LiveHosts live(cluster);
  int jobs = 0;
  for (int n = 0; n < kLosses; ++n) {
    const int64_t began_ms = cluster->ledger.NowMs();
    if (HasTrouble()) live.LoseOwner();
    SubmitUntil(cluster, live, began_ms + kDownMs, &jobs);
    if (HasTrouble()) cluster->AddHost();
    SubmitUntil(cluster, live, began_ms + kLossIntervalMs, &jobs);
    RecordConnections(cluster, workers);
  }
  SleepMs(kCalmMs);
  if (cluster->Submit(live.Any(), kLastJob, kSteps).status != 200) {
    GiveUp(cluster, kRecord, "the last job was not accepted");
  }
  SleepMs(kFinishMs);
  RecordConnections(cluster, workers);
  std::vector<std::string> breaches;
  if (StaysIdle(*cluster, workers)) {
    breaches.push_back("nothing of " + std::string(kLastJob) +
                       " has run, accepted 14 s before, with under half of the capacity in use");
  }
  cluster->StateOf(live.Any(), kLastJob);
  Finish(cluster, kRecord, breaches);
}

}  // namespace
}  // namespace review

int main() { review::Play(); }
