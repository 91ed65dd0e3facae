#include "planning/eviction.h"

#include <gtest/gtest.h>

#include <random>

namespace pomelopond::planning {
namespace {

TimePoint At(double seconds) { return TimePoint{} + Duration(static_cast<int64_t>(seconds * 1e6)); }

InterferenceTable Table(double heavy, double light) {
  return {{{"web", "heavy"}, {heavy, kFullConfidence}},
          {{"web", "light"}, {light, kFullConfidence}}};
}

BatchTask Task(const std::string& id, const std::string& work_class, double cores) {
  BatchTask task;
  task.id = id;
  task.work_class = work_class;
  task.cores = cores;
  return task;
}

SlowdownSample Sample(const BatchLoad& load, double slowdown) {
  return {"web", load, slowdown, std::chrono::minutes(1)};
}

// Guards against estimates that follow the noise instead of the mean, and against attributing the
// slowdown by one class to another class that runs at the same time.
TEST(InterferenceTest, LearnsEachPairFromNoisyMixes) {
  std::mt19937_64 random(7);
  std::normal_distribution<double> noise(0, 0.3);
  std::uniform_int_distribution<int> cores(0, 8);
  InterferenceTable table;
  for (int n = 0; n < 4000; ++n) {
    const BatchLoad load = {{"heavy", cores(random)}, {"light", cores(random)}};
    Learn(&table, Sample(load, load.at("heavy") * 0.10 + load.at("light") * 0.01 + noise(random)));
  }
  EXPECT_NEAR(SlowdownPerCore(table, "web", "heavy"), 0.10, 0.035);
  EXPECT_NEAR(SlowdownPerCore(table, "web", "light"), 0.01, 0.03);
}

// Guards against learning from measurements that still reflect the load before a change.
TEST(InterferenceTest, LaggingMeasurementsTeachNothing) {
  InterferenceTable table;
  SlowdownSample sample = Sample({{"heavy", 4}}, 2);
  sample.unchanged_for = kSettleTime - Duration(1);
  Learn(&table, sample);
  Learn(&table, Sample({}, 2));
  EXPECT_TRUE(table.empty());
}

// Guards against a decision based on one measurement: estimates from few measurements stay close to
// the prior.
TEST(InterferenceTest, FewMeasurementsStayNearThePrior) {
  InterferenceTable table;
  Learn(&table, Sample({{"heavy", 1}}, 5));
  EXPECT_LT(SlowdownPerCore(table, "web", "heavy"), 0.3);
  for (int n = 0; n < 100; ++n) Learn(&table, Sample({{"heavy", 1}}, 0.5));
  EXPECT_NEAR(SlowdownPerCore(table, "web", "heavy"), 0.5, 0.05);
}

struct EvictionTest : testing::Test {
  EvictionTest() : budget(MakeEvictionBudget(settings, At(0))) {}

  Mitigation Decide(double slowdown, const std::vector<BatchTask>& tasks, double seconds) {
    return DecideMitigation(settings, table, "web", slowdown, tasks, At(seconds), &mitigation_state,
                            &budget);
  }

  EvictionSettings settings;
  InterferenceTable table = Table(0.1, 0.01);
  MitigationState mitigation_state;
  EvictionBudget budget;
};

// Guards against action on a single noisy measurement.
TEST_F(EvictionTest, OneHighMeasurementDoesNothing) {
  const std::vector<BatchTask> tasks = {Task("a", "heavy", 4)};
  EXPECT_EQ(Decide(3, tasks, 0).action, MitigationAction::kNone);
  EXPECT_EQ(Decide(0.1, tasks, 1).action, MitigationAction::kNone);
  EXPECT_EQ(Decide(3, tasks, 2).action, MitigationAction::kNone);
  EXPECT_EQ(Decide(3, tasks, 3).action, MitigationAction::kNone);
}

// Guards against evicting a task that could be throttled, and against throttling a task that does
// not interfere.
TEST_F(EvictionTest, ThrottlesTheWorstBeforeItEvicts) {
  std::vector<BatchTask> tasks = {Task("light", "light", 4), Task("heavy", "heavy", 4)};
  Decide(1, tasks, 0);
  Decide(1, tasks, 1);
  const Mitigation first = Decide(1, tasks, 2);
  EXPECT_EQ(first.action, MitigationAction::kThrottle);
  EXPECT_EQ(first.task, "heavy");
  // No further action is taken before the first one can have had its effect.
  for (int n = 3; n < 22; ++n) EXPECT_EQ(Decide(1, tasks, n).action, MitigationAction::kNone);
  tasks[0].throttled = tasks[1].throttled = true;
  const Mitigation second = Decide(1, tasks, 23);
  EXPECT_EQ(second.action, MitigationAction::kEvict);
  EXPECT_EQ(second.task, "heavy");
}

// Guards against many evictions during a period of noisy measurements: the budget covers all hosts
// of a shard.
TEST_F(EvictionTest, BudgetBoundsEvictions) {
  BatchTask task = Task("heavy", "heavy", 4);
  task.throttled = true;
  int evictions = 0;
  std::vector<MitigationState> hosts(50);
  for (int second = 0; second < 600; ++second) {
    for (MitigationState& it : hosts) {
      const Mitigation mitigation =
          DecideMitigation(settings, table, "web", 2, {task}, At(second), &it, &budget);
      evictions += mitigation.action == MitigationAction::kEvict ? 1 : 0;
    }
  }
  EXPECT_LE(evictions, settings.eviction_burst + 10 * settings.evictions_per_minute);
  EXPECT_GE(evictions, 10 * settings.evictions_per_minute);
}

// Guards against throttling and unthrottling in turn while the latency lies between the watermarks.
TEST_F(EvictionTest, BetweenTheMarksNothingIsReleased) {
  BatchTask task = Task("light", "light", 4);
  task.throttled = true;
  for (int n = 0; n < 100; ++n) EXPECT_EQ(Decide(0.35, {task}, n).action, MitigationAction::kNone);
  EXPECT_EQ(Decide(0.05, {task}, 200).action, MitigationAction::kUnthrottle);
  // Unthrottling this task would raise the latency above the low watermark at once.
  BatchTask heavy = Task("heavy", "heavy", 4);
  heavy.throttled = true;
  EXPECT_EQ(Decide(0.05, {heavy}, 300).action, MitigationAction::kNone);
}

// Guards against evicting a task that loses hours of work when a recently started one reduces the
// slowdown as much.
TEST_F(EvictionTest, VictimLosesLeastWorkPerRelief) {
  std::vector<BatchTask> tasks = {Task("old", "heavy", 4), Task("fresh", "heavy", 4),
                                  Task("harmless", "light", 0.1)};
  tasks[0].work_since_checkpoint = std::chrono::hours(2);
  tasks[1].work_since_checkpoint = std::chrono::minutes(1);
  EXPECT_EQ(ChooseVictim(table, "web", tasks), 1);
  tasks[1].rank = 5;
  EXPECT_EQ(ChooseVictim(table, "web", tasks), 0);
  EXPECT_EQ(ChooseVictim(table, "web", {tasks[2]}), -1);
}

// Guards against objective weights that have no effect.
TEST_F(EvictionTest, EvictionWeightAddsPatience) {
  BatchTask task = Task("heavy", "heavy", 4);
  task.throttled = true;
  settings.weights.evictions = 3;
  int first = 0;
  while (Decide(2, {task}, first).action != MitigationAction::kEvict) ++first;
  EXPECT_EQ(first, 8);
  EXPECT_GT(BatchPenalty(table, {"web"}, "heavy", 4, {3, 1, 1}),
            BatchPenalty(table, {"web"}, "heavy", 4, {1, 1, 1}));
}

}  // namespace
}  // namespace pomelopond::planning
