// Case 1: a worker is cut off, with resets, while the answer to a start is on its way. The start is
// taken for one that was never sent, and the task is started once more elsewhere.
#include <string>
#include <vector>

#include "../cluster.h"
#include "../worker.h"

namespace review {
namespace {

constexpr int kHosts = 3;
constexpr int kRounds = 6;
constexpr int kWorkers = 3;
constexpr int64_t kTaskMs = 1500;
constexpr int64_t kWorkersKnownMs = 4000;
constexpr int64_t kCutMs = 1000;
constexpr int64_t kRoundMs = 8000;
constexpr const char* kRecord = "review/1/record.txt";
constexpr const char* kSteps = R"([{"replicas":6,"cpu":1000,"mem_mb":500,"estimate_ms":1500}])";

void Play() {
  auto* cluster = new Cluster(kHosts);
  std::vector<Worker*> workers;
  for (int n = 0; n < kWorkers; ++n) {
    WorkerOptions options;
    options.id = "i-7f3a91c" + std::to_string(n);
    options.address = "127.0.0." + std::to_string(70 + n);
    options.service = kService;
    options.task_ms = kTaskMs;
    options.task_cpu_milli = 1000;
    options.task_memory_mb = 500;
    workers.push_back(new Worker(options, &cluster->store, &cluster->ledger));
    workers.back()->Start();
  }
  if (!cluster->Start(3)) GiveUp(cluster, kRecord, "the hosts are not ready");
  SleepMs(kWorkersKnownMs);
  // A job before the first cut, so that the owner has open connections to the workers, as in use.
  cluster->Submit(cluster->hosts[0], "5c0e7a21d94b36ff", kSteps);
  SleepMs(kRoundMs / 2);
  for (int round = 0; round < kRounds; ++round) {
    const int64_t began_ms = cluster->ledger.NowMs();
    Worker* worker = workers[static_cast<size_t>(round) % kWorkers];
    if (HasTrouble()) worker->CutAtNextStart();
    const std::string id = "5c0e7a21d94b36f" + std::to_string(round);
    const Answer answer = cluster->Submit(cluster->hosts[0], id, kSteps);
    if (answer.status != 200) GiveUp(cluster, kRecord, "a job was not accepted");
    SleepMs(kCutMs);
    if (HasTrouble() && !worker->EndCut()) GiveUp(cluster, kRecord, "a worker got no start");
    SleepMs(began_ms + kRoundMs - cluster->ledger.NowMs());
    cluster->StateOf(cluster->hosts[0], id);
  }
  Finish(cluster, kRecord, cluster->ledger.Twice());
}

}  // namespace
}  // namespace review

int main() { review::Play(); }
