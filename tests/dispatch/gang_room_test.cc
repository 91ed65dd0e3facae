#include "dispatch/gang_room.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "dispatch/choose_worker.h"
#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr int kPools = 300;

// A pool of workers that are partly in use, and a gang that may fit it.
class RandomPool {
 public:
  explicit RandomPool(unsigned seed) : random_(seed) {
    step.gang = true;
    step.replicas = Draw(1, 40);
    step.request = {Draw(0, 6) * int64_t{500}, Draw(0, 4) * int64_t{1000}, 0};
    step.max_per_worker = Draw(0, 1) * Draw(1, 4);
    if (Draw(0, 3) == 0) step.preferred_rack = "rack-1";
    state.tasks.resize(static_cast<size_t>(step.replicas));
    request.service = "pool";
    request.step = &step;
    request.state = &state;
    request.colocation = &model_;
    for (int n = Draw(1, 12); n > 0; --n) AddWorker("w" + std::to_string(n));
  }

  // Adds members to the workers that `next` returns until it returns null. Returns their ids.
  template <class F>
  std::vector<std::string> Place(F next) {
    std::vector<std::string> out;
    std::vector<std::pair<WorkerState*, RunId>> added;
    for (int n = 0; n < step.replicas; ++n) {
      WorkerState* worker = next();
      if (worker == nullptr) break;
      const RunId id{{"0000000000000001", 0, 0, n}, 1};
      AddRun(worker, id, step, 0, kNow);
      Reindex(&index, worker);
      AddLocation(&state, &state.tasks[static_cast<size_t>(n)], {1, worker->info.id});
      added.emplace_back(worker, id);
      out.push_back(worker->info.id);
    }
    for (const auto& [worker, id] : added) {
      RemoveRun(worker, id);
      Reindex(&index, worker);
      RemoveLocation(&state, &state.tasks[static_cast<size_t>(id.task.index)],
                     {1, worker->info.id});
    }
    return out;
  }

  jobs::Step step;
  StepState state;
  PlacementRequest request;
  WorkerIndex index;

 private:
  int Draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }

  void AddWorker(const std::string& id) {
    WorkerState& worker = workers_[id];
    worker.info = MakeWorker(id, Draw(1, 4) * int64_t{4000});
    worker.info.rack = "rack-" + std::to_string(Draw(0, 2));
    worker.registered = true;
    worker.recorded = true;
    worker.contacted = Draw(0, 9) > 0;
    if (Draw(0, 9) == 0) worker.suspect_until = kNow + std::chrono::seconds(1);
    jobs::Step other = MakeStep(1, Draw(0, 8) * int64_t{500});
    other.best_effort = Draw(0, 3) == 0;
    AddRun(&worker, {{"0000000000000002", 0, 0, next_run_++}, 1}, other, 0, kNow);
    Reindex(&index, &worker);
  }

  std::mt19937 random_;
  ColocationModel model_;
  std::map<std::string, WorkerState> workers_;
  int next_run_ = 0;
};

// Guards against members that go to other workers than a choice from all workers for each of them
// would give.
TEST(GangRoomTest, MembersGoWhereSingleChoicesPutThem) {
  for (unsigned seed = 0; seed < kPools; ++seed) {
    RandomPool it(seed);
    const std::vector<std::string> one_by_one =
        it.Place([&] { return ChooseWorker(it.index, it.request, kNow); });
    MemberPlaces places(it.index, it.request, kNow);
    EXPECT_EQ(it.Place([&] { return places.Next(); }), one_by_one) << "seed " << seed;
  }
}

// Guards against a gang that never starts because its room is underrated, and against the cost of
// placing members in vain.
TEST(GangRoomTest, BoundTellsWhetherAllMembersFindRoom) {
  int held = 0;
  for (unsigned seed = 0; seed < kPools; ++seed) {
    RandomPool it(seed);
    const size_t placed = it.Place([&] { return ChooseWorker(it.index, it.request, kNow); }).size();
    const bool fits = placed == static_cast<size_t>(it.step.replicas);
    EXPECT_EQ(MayHoldGang(it.index, it.request, it.step.replicas, kNow), fits) << "seed " << seed;
    held += fits ? 1 : 0;
  }
  EXPECT_GT(held, kPools / 10);
  EXPECT_LT(held, kPools * 9 / 10);
}

}  // namespace
}  // namespace pomelopond::dispatch
