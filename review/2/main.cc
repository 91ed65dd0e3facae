// Case 2: the owner of the pool is killed while a worker has more ends to list than one report
// holds.
#include <csignal>
#include <string>
#include <vector>

#include "../cluster.h"
#include "../worker.h"

namespace review {
namespace {

constexpr int kHosts = 3;
constexpr int kTasks = 1600;
// More than the 500 ends of one report.
constexpr int kRunningAtKill = 1500;
constexpr int64_t kTaskMs = 1500;
constexpr int64_t kWorkersKnownMs = 4000;
constexpr int64_t kStartMs = 20000;
// A killed process is started again after this time.
constexpr int64_t kDownMs = 3500;
constexpr int64_t kEndMs = 40000;
constexpr const char* kRecord = "review/2/record.txt";
constexpr const char* kJob = "5c0e7a21d94b36f8";

WorkerOptions OptionsOf(const std::string& id, const std::string& address) {
  WorkerOptions options;
  options.id = id;
  options.address = address;
  options.service = kService;
  options.cpu_milli = 24000;
  options.memory_mb = 96000;
  options.task_ms = kTaskMs;
  options.task_cpu_milli = 15;
  options.task_memory_mb = 48;
  return options;
}

void Play() {
  auto* cluster = new Cluster(kHosts);
  auto* worker =
      new Worker(OptionsOf("i-7f3a91c2", "127.0.0.70"), &cluster->store, &cluster->ledger);
  worker->Start();
  if (!cluster->Start(3)) GiveUp(cluster, kRecord, "the hosts are not ready");
  SleepMs(kWorkersKnownMs);
  const Answer answer = cluster->Submit(cluster->hosts[0], kJob,
                                        R"([{"replicas":)" + std::to_string(kTasks) +
                                            R"(,"cpu":15,"mem_mb":48,"estimate_ms":1500}])");
  if (answer.status != 200) GiveUp(cluster, kRecord, "the job was not accepted");
  if (!WaitUntil(kStartMs, [&] { return worker->RunningTasks() >= kRunningAtKill; })) {
    GiveUp(cluster, kRecord, "too few tasks run at one time");
  }
  EntryHost* owner = cluster->Owner();
  if (HasTrouble()) {
    cluster->ledger.Record("SIGKILL to " + owner->Name() + ", which wrote to the store last");
    owner->Kill();
  }
  const int64_t killed_ms = cluster->ledger.NowMs();
  bool down = HasTrouble();
  EntryHost& other = owner == &cluster->hosts[0] ? cluster->hosts[1] : cluster->hosts[0];
  WaitUntil(kEndMs, [&] {
    SleepMs(500);
    if (down && cluster->ledger.NowMs() >= killed_ms + kDownMs) {
      down = false;
      cluster->ledger.Record(owner->Name() + " starts again");
      owner->Start();
    }
    return cluster->StateOf(other, kJob).body.find("completed") != std::string::npos;
  });
  SleepMs(1000);
  Finish(cluster, kRecord, cluster->ledger.Twice());
}

}  // namespace
}  // namespace review

int main() { review::Play(); }
