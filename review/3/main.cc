// Case 3: a worker crashes silently and soon starts again under its id. Tasks that the new life
// accepts before the owner has heard of the restart are started once more elsewhere.
#include <string>
#include <vector>

#include "../cluster.h"
#include "../worker.h"

namespace review {
namespace {

constexpr int kHosts = 3;
constexpr int kRounds = 5;
constexpr int64_t kTaskMs = 3000;
constexpr int64_t kWorkersKnownMs = 4000;
constexpr int64_t kDownMs = 500;
// The first check-in after the restart comes within one check-in interval of 1,500 ms.
constexpr std::chrono::milliseconds kFirstCheckIn{1000};
constexpr int64_t kSubmitAfterMs = 100;
constexpr int64_t kRoundMs = 9000;
constexpr const char* kRecord = "review/3/record.txt";
constexpr const char* kSteps = R"([{"replicas":8,"cpu":1000,"mem_mb":500,"estimate_ms":3000}])";

Worker* NewWorker(Cluster* cluster, const std::string& id, const std::string& address) {
  WorkerOptions options;
  options.id = id;
  options.address = address;
  options.service = kService;
  options.task_ms = kTaskMs;
  options.task_cpu_milli = 1000;
  options.task_memory_mb = 500;
  return new Worker(options, &cluster->store, &cluster->ledger);
}

void Play() {
  auto* cluster = new Cluster(kHosts);
  Worker* first = NewWorker(cluster, "i-7f3a91c2", "127.0.0.70");
  Worker* second = NewWorker(cluster, "i-0b5d44e8", "127.0.0.71");
  first->Start();
  second->Start();
  if (!cluster->Start(3)) GiveUp(cluster, kRecord, "the hosts are not ready");
  SleepMs(kWorkersKnownMs);
  for (int round = 0; round < kRounds; ++round) {
    const int64_t began_ms = cluster->ledger.NowMs();
    const std::string id = "5c0e7a21d94b36f" + std::to_string(round);
    if (HasTrouble()) first->Crash();
    SleepMs(kDownMs);
    if (HasTrouble()) first->StartAgain(kFirstCheckIn);
    SleepMs(kSubmitAfterMs);
    const Answer answer = cluster->Submit(cluster->hosts[0], id, kSteps);
    if (answer.status != 200) GiveUp(cluster, kRecord, "a job was not accepted");
    SleepMs(began_ms + kRoundMs - cluster->ledger.NowMs());
    cluster->StateOf(cluster->hosts[0], id);
  }
  Finish(cluster, kRecord, cluster->ledger.Twice());
}

}  // namespace
}  // namespace review

int main() { review::Play(); }
