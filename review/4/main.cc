// Case 4: the store goes down after it has stored a job and before it has answered. The client is
// told that the job was not accepted, and the job runs when the store is back.
#include <algorithm>
#include <atomic>
#include <string>
#include <vector>

#include "../stand_in/cluster.h"
#include "../stand_in/worker.h"

namespace review {
namespace {

constexpr int kHosts = 3;
constexpr int kRounds = 5;
// Jobs before each outage, so that each host has open connections to the store, as in use.
constexpr int kEarlierJobs = 3;
constexpr int64_t kWorkersKnownMs = 4000;
constexpr int64_t kStoreDownMs = 4500;
// The client tries again at another host until its time budget of 3 s is used up.
constexpr int kAttempts = 3;
constexpr int64_t kRetryAfterMs = 1000;
constexpr int64_t kRunsMs = 6000;
constexpr const char* kRecord = "review/4/record.txt";
constexpr const char* kSteps = R"([{"replicas":2,"cpu":1000,"mem_mb":500,"estimate_ms":500}])";

bool IsRejection(int status) { return status == 429 || status == 503 || status == 404; }

// Hands the job in until it is accepted or the time budget is used up. Returns true if all attempts
// were rejected.
bool AreAllRejected(Cluster* cluster, const std::string& id) {
  for (int n = 0; n < kAttempts; ++n) {
    if (n > 0) SleepMs(kRetryAfterMs);
    const EntryHost& host = cluster->hosts[static_cast<size_t>(n) % cluster->hosts.size()];
    if (!IsRejection(cluster->Submit(host, id, kSteps).status)) return false;
  }
  return true;
}

void AddBreach(const Cluster& cluster, const std::string& id, std::vector<std::string>* breaches) {
  for (const Run& it : cluster.ledger.Runs()) {
    if (it.task.compare(0, id.size(), id) != 0) continue;
    breaches->push_back("all attempts to hand " + id + " in were rejected, and " + it.task +
                        " started at " + std::to_string(it.began_ms));
    return;
  }
}

void Play() {
  auto* cluster = new Cluster(kHosts);
  WorkerOptions options;
  options.id = "i-7f3a91c2";
  options.address = "127.0.0.70";
  options.service = kService;
  options.task_ms = 500;
  options.task_cpu_milli = 1000;
  options.task_memory_mb = 500;
  auto* worker = new Worker(options, &cluster->store, &cluster->ledger);
  worker->Start();
  std::atomic<int> round{0};
  const auto id_of = [](int n) { return "5c0e7a21d94b360" + std::to_string(n); };
  cluster->store.crash_after = [&](const std::vector<std::string>& keys) {
    if (!HasTrouble()) return false;
    const std::string key = "pomelopond/job/" + id_of(round.load());
    if (std::find(keys.begin(), keys.end(), key) == keys.end()) return false;
    cluster->ledger.Record("the store has stored " + key + " and goes down without an answer");
    return true;
  };
  if (!cluster->Start(3)) GiveUp(cluster, kRecord, "the hosts are not ready");
  SleepMs(kWorkersKnownMs);
  std::vector<std::string> breaches;
  for (; round.load() < kRounds; round.fetch_add(1)) {
    for (int n = 0; n < kEarlierJobs * kHosts; ++n) {
      const std::string id = "00000000000000" + std::to_string(10 + round.load());
      cluster->Submit(cluster->hosts[static_cast<size_t>(n) % kHosts],
                      id.substr(1) + std::to_string(n), kSteps);
    }
    const int64_t began_ms = cluster->ledger.NowMs();
    const std::string id = id_of(round.load());
    const bool rejected = AreAllRejected(cluster, id);
    SleepMs(std::max<int64_t>(0, began_ms + kStoreDownMs - cluster->ledger.NowMs()));
    if (HasTrouble()) cluster->store.Return();
    cluster->ledger.Record("the store is up");
    SleepMs(kRunsMs);
    if (rejected) AddBreach(*cluster, id, &breaches);
  }
  Finish(cluster, kRecord, breaches);
}

}  // namespace
}  // namespace review

int main() { review::Play(); }
