// A series of owners, with real event loops, over a troubled store and workers that keep their own
// account: what they were told to forget is stored, and nothing runs twice.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "entry/keys.h"
#include "tests/entry/owner_process.h"
#include "tests/entry/shared_workers.h"
#include "tests/entry/troubled_store.h"

namespace pomelopond::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kOwners = 3;
constexpr int kWorkers = 3;
// All jobs have to be finished this long after the last trouble.
constexpr Duration kFinishTime = seconds(20);

int FromEnvironment(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

// Calls that are carried out late refer to all of this, so nothing of it is destroyed.
class OwnerSeries {
 public:
  explicit OwnerSeries(uint64_t seed)
      : random_(seed), store_(seed + 1), workers_(seed + 2, kWorkers, &store_) {
    for (int n = 1; n <= kWorkers; ++n) {
      const std::string id = "w" + std::to_string(n);
      store_.Put(kWorkerPrefix + id, id);
    }
    for (int n = 0; n < kOwners; ++n) Add();
  }

  void Play(Duration length) {
    const TimePoint end = Now() + length;
    TimePoint next_trouble = Now() + seconds(2);
    TimePoint trouble_ends = next_trouble;
    while (Now() < end) {
      std::this_thread::sleep_for(milliseconds(30));
      if (!store_.IsDown() && Between(1, 3) == 1) Submit();
      if (Now() >= trouble_ends) store_.SetTroubles({});
      if (Now() < next_trouble) continue;
      const Duration lasts = milliseconds(Between(200, 1500));
      MakeTrouble();
      trouble_ends = Now() + lasts;
      next_trouble = Now() + milliseconds(Between(100, 1200));
    }
    store_.SetTroubles({});
  }

  void StopAll() {
    for (Process* it : alive_) it->owner->Stop();
  }
  SharedWorkers& workers() { return workers_; }
  bool AllFinished() {
    return std::all_of(jobs_.begin(), jobs_.end(), [this](const std::string& id) {
      if (store_.ValueOf(JobKey(id)).revision == 0) return true;
      const std::string bytes = store_.ValueOf(ProgressKey(id)).value;
      return !bytes.empty() && jobs::IsFinal(jobs::DecodeProgress(bytes).value.state);
    });
  }

 private:
  int Between(int low, int high) { return std::uniform_int_distribution<>(low, high)(random_); }

  void Add() {
    processes_.push_back(std::make_unique<Process>("process-" + std::to_string(processes_.size()),
                                                   &store_, &workers_));
    alive_.push_back(processes_.back().get());
  }

  void Submit() {
    jobs::Job job;
    job.id = "job-" + std::to_string(100000 + jobs_.size());
    job.rules.service = "pool";
    job.rules.max_attempts = 2;
    job.steps.resize(static_cast<size_t>(Between(1, 2)));
    for (jobs::Step& it : job.steps) {
      it.replicas = Between(1, 3);
      it.request = {1000, 100, 0};
    }
    if (job.steps.size() > 1) job.steps[1].after = {0};
    if (Between(1, 5) == 1) job.spec = kFailingSpec;
    store_.Put(JobKey(job.id), jobs::Encode(job));
    jobs_.push_back(job.id);
  }

  void ReplaceOwner(bool kill) {
    const auto owner = std::find_if(alive_.begin(), alive_.end(),
                                    [](const Process* it) { return it->owner->IsOwner(); });
    if (owner == alive_.end()) return;
    Process* process = *owner;
    alive_.erase(owner);
    if (kill) process->Kill();
    if (!kill) process->owner->Stop();
    Add();
  }

  void MakeTrouble() {
    StoreTroubles troubles;
    switch (Between(0, 7)) {
      case 0:
      case 1:
        troubles.down = true;
        store_.SetTroubles(troubles);
        if (Between(0, 1) == 0) store_.EndLeases();
        return;
      case 2:
        troubles.slow_ms = Between(50, 350);
        return store_.SetTroubles(troubles);
      case 3:
        troubles.lost_share = 0.3;
        troubles.late_share = 0.3;
        troubles.slow_ms = Between(3, 100);
        return store_.SetTroubles(troubles);
      case 4:
        return store_.ForgetHistory();
      case 5:
        return store_.EndLeases();
      default:
        return ReplaceOwner(Between(0, 1) == 0);
    }
  }

  std::mt19937_64 random_;
  TroubledStore store_;
  SharedWorkers workers_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<Process*> alive_;
  std::vector<std::string> jobs_;
};

#ifdef __SANITIZE_ADDRESS__
constexpr int kSeeds = 2;
#else
constexpr int kSeeds = 4;
#endif

// Guards against ends that are forgotten before they are stored and tasks that run twice, whatever
// the order in which the store answers, is lost and comes back, and owners follow each other
// (review/6). OWNER_SEED and OWNER_SECONDS choose the series and its length, OWNER_SEEDS the number
// of series that run at the same time.
TEST(OwnerSeriesTest, ForgetsNothingBeforeItIsStored) {
  static auto* const all = new std::vector<OwnerSeries*>;
  const int first = FromEnvironment("OWNER_SEED", 1);
  const int seeds = FromEnvironment("OWNER_SEEDS", kSeeds);
  const seconds length(FromEnvironment("OWNER_SECONDS", 15));
  for (int n = 0; n < seeds; ++n) all->push_back(new OwnerSeries(static_cast<uint64_t>(first + n)));
  std::vector<std::thread> threads;
  for (OwnerSeries* it : *all) threads.emplace_back([it, length] { it->Play(length); });
  for (std::thread& it : threads) it.join();
  const TimePoint finish = Now() + kFinishTime;
  int seed = first;
  for (OwnerSeries* it : *all) {
    const std::string where = "seed " + std::to_string(seed++);
    while (!it->AllFinished() && Now() < finish) std::this_thread::sleep_for(milliseconds(50));
    EXPECT_TRUE(it->AllFinished()) << where;
    it->StopAll();
    for (const std::string& fault : it->workers().Faults()) ADD_FAILURE() << where << ": " << fault;
    EXPECT_GT(it->workers().starts(), 0);
    EXPECT_GT(it->workers().forgotten(), 0U);
  }
}

}  // namespace
}  // namespace pomelopond::entry
