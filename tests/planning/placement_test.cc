#include "planning/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "tests/planning/make_job.h"

namespace pomelopond::planning {
namespace {

constexpr size_t kAll = 1000000;

PlacementHost Host(const std::string& id, Resources capacity, const std::string& rack = "r") {
  return {id, capacity, true, rack, "fd", false};
}

std::vector<PlacementHost> Hosts(int count, Resources capacity, int per_rack) {
  std::vector<PlacementHost> hosts;
  for (int n = 0; n < count; ++n) {
    hosts.push_back(Host("w" + std::to_string(n), capacity, "r" + std::to_string(n / per_rack)));
  }
  return hosts;
}

struct Shard {
  ShardState state;
  Planner planner;
};

Shard MakeShard(const std::vector<PlacementHost>& hosts, const PlacementSettings& settings = {}) {
  Shard shard;
  shard.planner = MakePlanner(shard.state, hosts, settings);
  return shard;
}

std::vector<Event> Place(Shard* shard, size_t limit = kAll) {
  std::vector<Event> grants = PlaceTasks(shard->state, &shard->planner, limit, TimePoint{});
  for (const Event& it : grants) {
    EXPECT_TRUE(Apply(&shard->state, &shard->planner, it)) << it.task;
  }
  return grants;
}

std::map<std::string, int> CountBy(const Shard& shard, const std::vector<Event>& grants,
                                   const std::function<std::string(const JobSpec&)>& key) {
  std::map<std::string, int> counts;
  for (const Event& it : grants) {
    counts[key(shard.state.jobs.at(shard.state.tasks.at(it.task).job))] += 1;
  }
  return counts;
}

std::string TeamName(const JobSpec& spec) { return spec.team; }

// Guards against a search that skips a host: the index must find the same host as a linear scan.
TEST(RoomIndexTest, FindsTheSameSlotAsAScan) {
  ASSERT_TRUE(rc::check("find as scan", [] {
    const auto amount = rc::gen::inRange<int64_t>(0, 8);
    const size_t count = *rc::gen::inRange<size_t>(1, 40);
    CapacityIndex index;
    std::vector<Resources> capacities;
    for (size_t n = 0; n < count; ++n) {
      capacities.push_back({*amount, *amount, *amount});
      SetSlotCapacity(&index, n, {9, 9, 9});
    }
    for (size_t n = 0; n < count; ++n) SetSlotCapacity(&index, n, capacities[n]);
    const Resources need{*amount, *amount, *amount};
    const size_t from = *rc::gen::inRange<size_t>(0, count);
    size_t expected = from;
    while (expected < count && !Fits(need, capacities[expected])) ++expected;
    // With a small budget the search continues at the slot where it stopped.
    const size_t step = *rc::gen::inRange<size_t>(3, 200);
    CapacitySearch found{from, false, true};
    for (int calls = 0; found.stopped && calls < 1000; ++calls) {
      size_t budget = step;
      found = FindFittingSlot(index, need, found.slot, &budget);
    }
    RC_ASSERT(found.found == (expected < count));
    if (found.found) RC_ASSERT(found.slot == expected);
  }));
}

Event AnyTaskEvent(const ShardState& state, EventType type) {
  const std::string job = "job-" + std::to_string(*rc::gen::inRange(0, 8));
  const std::string id = TaskId(job, *rc::gen::inRange(0, 4));
  const auto it = state.tasks.find(id);
  Event event = TaskEvent(type, id, it == state.tasks.end() ? 1 : it->second.attempt);
  event.host = "w0";
  if (type == EventType::kGrant) event.attempt = -1;  // never the next attempt; has no effect
  return event;
}

// Guards against grants above capacity, quota or headroom, against a planner that diverges from the
// state, and against losing track of grants that were decided but could not be journalled.
TEST(PlacementTest, CapacityQuotaAndTablesHoldForAnyEvents) {
  ASSERT_TRUE(rc::check("planner", [] {
    const auto hosts = Hosts(*rc::gen::inRange(1, 24), {4000, 1000, 1}, 4);
    PlacementSettings settings;
    settings.quotas["a"].limit = {9000, 4000, 2};
    Shard shard = MakeShard(hosts, settings);
    const int count = *rc::gen::inRange(0, 80);
    for (int n = 0; n < count; ++n) {
      const int step = *rc::gen::inRange(0, 12);
      if (step < 4) {
        JobSpec spec = MakeJob(
            "job-" + std::to_string(*rc::gen::inRange(0, 8)), 4,
            {*rc::gen::inRange<int64_t>(1, 5) * 1000, *rc::gen::inRange<int64_t>(0, 5) * 250, 0});
        spec.team = *rc::gen::element<std::string>("a", "b");
        spec.kind = *rc::gen::element(JobKind::kBatch, JobKind::kService);
        spec.rank = *rc::gen::inRange(0, 2);
        Apply(&shard.state, &shard.planner, AcceptEvent(spec));
      } else if (step < 5) {
        Apply(&shard.state, &shard.planner,
              CancelEvent("job-" + std::to_string(*rc::gen::inRange(0, 8))));
      } else if (step < 8) {
        const auto type = static_cast<EventType>(*rc::gen::inRange(2, 7));
        Apply(&shard.state, &shard.planner, AnyTaskEvent(shard.state, type));
      } else if (step < 9) {
        PlacementHost host = hosts[*rc::gen::inRange<size_t>(0, hosts.size())];
        host.usable = *rc::gen::arbitrary<bool>();
        SetHost(&shard.planner, host);
      } else {
        const std::vector<Event> grants =
            PlaceTasks(shard.state, &shard.planner, *rc::gen::inRange(0, 20), TimePoint{});
        // The journal records all of the grants or none.
        if (*rc::gen::inRange(0, 4) == 0) continue;
        for (const Event& it : grants) Apply(&shard.state, &shard.planner, it);
      }
      for (const PlacementHost& it : hosts)
        RC_ASSERT(Fits(GrantedOn(shard.state, it.id), it.capacity));
      Resources used;
      for (const auto& [id, task] : shard.state.tasks) {
        const JobSpec& spec = shard.state.jobs.at(task.job);
        if (OccupiesHost(task.state) && spec.team == "a") used = used + spec.need;
      }
      RC_ASSERT(Fits(used, settings.quotas["a"].limit));
    }
    // Further placement depends only on the state, not on the history of events.
    for (const PlacementHost& it : hosts) SetHost(&shard.planner, it);
    PlaceTasks(shard.state, &shard.planner, 0, TimePoint{});
    Planner fresh = MakePlanner(shard.state, hosts, settings);
    PlaceTasks(shard.state, &fresh, 0, TimePoint{});
    for (size_t n = 0; n < hosts.size(); ++n) {
      RC_ASSERT(shard.planner.hosts[n].granted == fresh.hosts[n].granted);
    }
    RC_ASSERT(shard.planner.granted == fresh.granted);
    RC_ASSERT(shard.planner.granted_non_batch == fresh.granted_non_batch);
    RC_ASSERT(shard.planner.total == fresh.total);
    const auto grants = PlaceTasks(shard.state, &shard.planner, kAll, TimePoint{});
    RC_ASSERT(grants.empty() == PlaceTasks(shard.state, &fresh, kAll, TimePoint{}).empty());
  }));
}

// Guards against searching again for waiting tasks while nothing has changed: with 400,000 waiting
// tasks the searches would take all of a scheduler's time.
TEST(PlacementTest, WaitingTasksAreNotSearchedAgainUntilRoomGrows) {
  Shard shard = MakeShard(Hosts(20, {4000, 1000, 0}, 5));
  for (int n = 0; n < 50; ++n) {
    Apply(&shard.state, &shard.planner,
          AcceptEvent(MakeJob("job-" + std::to_string(n), 40, {1000, 100, 0})));
  }
  EXPECT_EQ(Place(&shard).size(), 80u);
  EXPECT_EQ(WaitReasonOf(shard.planner, "job-49"), WaitReason::kNoCapacity);
  const int64_t searches = shard.planner.searches;
  for (int n = 0; n < 10; ++n) EXPECT_TRUE(Place(&shard).empty());
  Apply(&shard.state, &shard.planner, AcceptEvent(MakeJob("late", 40, {1000, 100, 0})));
  EXPECT_TRUE(Place(&shard).empty());
  EXPECT_EQ(shard.planner.searches, searches);
  Apply(&shard.state, &shard.planner, TaskEvent(EventType::kFinished, "job-0/0", 1));
  EXPECT_EQ(Place(&shard).size(), 1u);
}

// Guards against a job that can never run consuming planning time, and against forgetting such a
// job when a larger host is added.
TEST(PlacementTest, UnschedulableJobWaitsForTheHostList) {
  Shard shard = MakeShard(Hosts(3, {4000, 1000, 0}, 1));
  Apply(&shard.state, &shard.planner, AcceptEvent(MakeJob("large", 1, {8000, 100, 0})));
  Apply(&shard.state, &shard.planner, AcceptEvent(MakeJob("small", 1, {1000, 100, 0})));
  EXPECT_EQ(Place(&shard).size(), 1u);
  EXPECT_EQ(WaitReasonOf(shard.planner, "large"), WaitReason::kNeverFits);
  const int64_t searches = shard.planner.searches;
  Apply(&shard.state, &shard.planner, TaskEvent(EventType::kFinished, "small/0", 1));
  EXPECT_TRUE(Place(&shard).empty());
  EXPECT_EQ(shard.planner.searches, searches);
  SetHost(&shard.planner, Host("big", {16000, 1000, 0}));
  EXPECT_EQ(Place(&shard).size(), 1u);
  EXPECT_EQ(WaitReasonOf(shard.planner, "large"), WaitReason::kNone);
}

// Guards against granting a host's capacity twice, or losing it, when a record is not journalled.
TEST(PlacementTest, GrantsThatAreNotAppliedAreDecidedAgain) {
  Shard shard = MakeShard(Hosts(1, {2000, 1000, 0}, 1));
  Apply(&shard.state, &shard.planner, AcceptEvent(MakeJob("job", 3, {1000, 100, 0})));
  for (int n = 0; n < 3; ++n) {
    EXPECT_EQ(PlaceTasks(shard.state, &shard.planner, kAll, TimePoint{}).size(), 2u);
  }
  EXPECT_EQ(Place(&shard).size(), 2u);
  EXPECT_TRUE(Place(&shard).empty());
}

// Guards against placing tasks of low rank before tasks of high rank.
TEST(PlacementTest, HigherRankGoesFirst) {
  Shard shard = MakeShard(Hosts(1, {2000, 1000, 0}, 1));
  JobSpec urgent = MakeJob("urgent", 1, {1000, 100, 0});
  urgent.rank = 5;
  Apply(&shard.state, &shard.planner, AcceptEvent(MakeJob("job", 5, {1000, 100, 0})));
  Apply(&shard.state, &shard.planner, AcceptEvent(urgent));
  const auto grants = Place(&shard);
  ASSERT_EQ(grants.size(), 2u);
  EXPECT_EQ(grants[0].task, "urgent/0");
}

// Guards against one team taking the whole shard because its jobs arrived first, and against equal
// shares for teams with different weights.
TEST(PlacementTest, TeamsShareByWeight) {
  PlacementSettings settings;
  settings.quotas["a"].weight = 3;
  Shard shard = MakeShard(Hosts(10, {4000, 1000, 0}, 5), settings);
  for (const char* it : {"b", "a"}) {
    JobSpec spec = MakeJob(it, 100, {1000, 100, 0});
    spec.team = it;
    Apply(&shard.state, &shard.planner, AcceptEvent(spec));
  }
  const auto counts = CountBy(shard, Place(&shard), TeamName);
  EXPECT_EQ(counts.at("a"), 30);
  EXPECT_EQ(counts.at("b"), 10);
}

// Guards against a team at its quota delaying other teams, and against a team that stays blocked
// after its use fell or its quota grew.
TEST(PlacementTest, TeamAtItsQuotaWaitsAlone) {
  PlacementSettings settings;
  settings.quotas["a"].limit = {2000, 10000, 0};
  Shard shard = MakeShard(Hosts(2, {4000, 1000, 0}, 1), settings);
  for (const char* it : {"a", "b"}) {
    JobSpec spec = MakeJob(it, 4, {1000, 100, 0});
    spec.team = it;
    Apply(&shard.state, &shard.planner, AcceptEvent(spec));
  }
  auto counts = CountBy(shard, Place(&shard), TeamName);
  EXPECT_EQ(counts.at("a"), 2);
  EXPECT_EQ(counts.at("b"), 4);
  EXPECT_EQ(WaitReasonOf(shard.planner, "a"), WaitReason::kQuota);
  Apply(&shard.state, &shard.planner, TaskEvent(EventType::kFinished, "a/0", 1));
  EXPECT_EQ(Place(&shard).size(), 1u);
  settings.quotas["a"].limit = kUnlimited;
  SetSettings(&shard.planner, settings);
  EXPECT_EQ(Place(&shard).size(), 1u);
}

// Guards against services that fill all racks, so that no capacity is left for them when a rack is
// lost. Batch tasks may use that capacity.
TEST(PlacementTest, ServicesLeaveTheLargestRackFree) {
  Shard shard = MakeShard(Hosts(6, {4000, 1000, 0}, 2));
  JobSpec service = MakeJob("service", 24, {1000, 100, 0});
  service.kind = JobKind::kService;
  Apply(&shard.state, &shard.planner, AcceptEvent(service));
  EXPECT_EQ(Place(&shard).size(), 16u);
  EXPECT_EQ(WaitReasonOf(shard.planner, "service"), WaitReason::kHeadroom);
  Apply(&shard.state, &shard.planner, AcceptEvent(MakeJob("batch", 24, {1000, 100, 0})));
  EXPECT_EQ(Place(&shard).size(), 8u);
  Apply(&shard.state, &shard.planner, TaskEvent(EventType::kFinished, "service/0", 1));
  EXPECT_EQ(Place(&shard).size(), 1u);
}

// Guards against granting the share of the capacity that is kept free.
TEST(PlacementTest, HeadroomShareIsKeptFree) {
  PlacementSettings settings;
  settings.headroom_share = 0.25;
  Shard shard = MakeShard(Hosts(4, {4000, 1000, 0}, 4), settings);
  Apply(&shard.state, &shard.planner, AcceptEvent(MakeJob("batch", 24, {1000, 100, 0})));
  EXPECT_EQ(Place(&shard).size(), 12u);
}

// Guards against placing a task on the host where it failed while other hosts have free capacity,
// and against never placing it again when no other host has.
TEST(PlacementTest, TaskAvoidsTheHostWhereItFailed) {
  Shard shard = MakeShard(Hosts(2, {4000, 1000, 0}, 1));
  Apply(&shard.state, &shard.planner, AcceptEvent(MakeJob("job", 1, {1000, 100, 0})));
  const std::string first = Place(&shard).at(0).host;
  Apply(&shard.state, &shard.planner, TaskEvent(EventType::kFailed, "job/0", 1));
  AvoidHost(&shard.planner, "job/0", first);
  const std::string second = Place(&shard).at(0).host;
  EXPECT_NE(second, first);
  Apply(&shard.state, &shard.planner, TaskEvent(EventType::kFailed, "job/0", 2));
  AvoidHost(&shard.planner, "job/0", second);
  EXPECT_EQ(Place(&shard).size(), 1u);
}

// Guards against giving a faulty worker many tasks to find out whether it is still faulty.
TEST(PlacementTest, ProbedHostGetsOneTask) {
  PlacementHost host = Host("w", {4000, 1000, 0});
  host.probing = true;
  Shard shard = MakeShard({host});
  Apply(&shard.state, &shard.planner, AcceptEvent(MakeJob("job", 4, {1000, 100, 0})));
  EXPECT_EQ(PlaceTasks(shard.state, &shard.planner, kAll, TimePoint{}).size(), 1u);
  EXPECT_EQ(Place(&shard).size(), 1u);
  EXPECT_TRUE(Place(&shard).empty());
  host.probing = false;
  SetHost(&shard.planner, host);
  EXPECT_EQ(Place(&shard).size(), 3u);
}

// Guards against a delayed task that is placed before its delay is over, or never.
TEST(PlacementTest, DelayedTaskWaitsUntilItsTime) {
  Shard shard = MakeShard(Hosts(2, {4000, 1000, 0}, 1));
  Apply(&shard.state, &shard.planner, AcceptEvent(MakeJob("job", 1, {1000, 100, 0})));
  const TimePoint until = TimePoint{} + std::chrono::seconds(10);
  DelayTask(shard.state, &shard.planner, "job/0", until);
  EXPECT_TRUE(Place(&shard).empty());
  EXPECT_EQ(WaitReasonOf(shard.planner, "job"), WaitReason::kBackoff);
  EXPECT_EQ(PlaceTasks(shard.state, &shard.planner, kAll, until).size(), 1u);
}

// Guards against placing all tasks of a service in one rack, whose loss would end the service.
TEST(PlacementTest, TasksOfAServiceSpreadOverRacks) {
  Shard shard = MakeShard(Hosts(12, {32000, 10000, 0}, 3));
  JobSpec service = MakeJob("service", 8, {1000, 100, 0});
  service.kind = JobKind::kService;
  Apply(&shard.state, &shard.planner, AcceptEvent(service));
  std::map<int32_t, int> racks;
  for (const Event& it : Place(&shard)) {
    racks[shard.planner.hosts[shard.planner.host_ids.at(it.host)].rack] += 1;
  }
  EXPECT_EQ(racks.size(), 4u);
  for (const auto& [rack, count] : racks) EXPECT_EQ(count, 2) << rack;
}

}  // namespace
}  // namespace pomelopond::planning
