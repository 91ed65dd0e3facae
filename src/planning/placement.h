// Placement: chooses a host for each pending task of a shard.
#ifndef POMELOPOND_PLANNING_PLACEMENT_H_
#define POMELOPOND_PLANNING_PLACEMENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "planning/capacity_index.h"
#include "planning/event.h"
#include "planning/shard_state.h"

namespace pomelopond::planning {

// A worker host as the planner sees it.
struct PlacementHost {
  std::string id;
  Resources capacity;
  bool usable = false;  // live, not draining, and has answered the owner in its current epoch
  std::string rack;
  std::string failure_domain;
  bool probing = false;  // on probation: gets one task, whose outcome decides its health

  friend bool operator==(const PlacementHost& a, const PlacementHost& b) {
    return std::tie(a.id, a.capacity, a.usable, a.rack, a.failure_domain, a.probing) ==
           std::tie(b.id, b.capacity, b.usable, b.rack, b.failure_domain, b.probing);
  }
};

inline constexpr Resources kUnlimited{INT64_MAX, INT64_MAX, INT64_MAX};

// Quota and weight of a team in one shard.
struct TeamQuota {
  Resources limit = kUnlimited;  // upper bound of the resources granted to the team
  double weight = 1;             // fair share relative to other teams; above 0

  friend bool operator==(const TeamQuota& a, const TeamQuota& b) {
    return a.limit == b.limit && a.weight == b.weight;
  }
};

struct PlacementSettings {
  // By team; teams without an entry have the defaults of TeamQuota.
  std::map<std::string, TeamQuota> quotas;
  // Share of the capacity of usable hosts that is kept free of grants.
  double headroom_share = 0;
  // Whether services and watches leave the capacity of the largest rack free, so that the other
  // racks can take them over when a rack is lost. Batch tasks may use that capacity, since they can
  // be evicted.
  bool keep_rack_free = true;
};

// Why the pending tasks of a job are not placed.
enum class WaitReason {
  kNone,        // not held back; waits for its turn
  kNeverFits,   // larger than every host of the list
  kNoCapacity,  // fits on no host with its current free capacity
  kHeadroom,    // would use capacity that is kept free
  kQuota,       // the team has reached its quota
  kBackoff,     // its tasks failed and wait for the end of their backoff
};

const char* WaitReasonName(WaitReason reason);

// In-memory tables from which placement is decided. They are built from the state at a takeover and
// kept up to date by Apply. The work per decision depends neither on the number of hosts nor on the
// number of waiting tasks: waiting jobs are grouped by rank, team and shape, and a shape that fits
// on no host is blocked, that is, not searched for again until free capacity grows or the host list
// changes. A group is ready if it has waiting jobs and is not blocked.
struct Planner {
  struct Host {
    PlacementHost info;
    Resources granted;           // resources of tasks on the host, with reservations included
    int32_t rack = 0;            // index of the rack, from `Planner::racks`
    int32_t failure_domain = 0;  // index of the failure domain, from `Planner::domains`
    bool probe_placed = false;   // the host is on probation and has got its probe task
    double penalty = 0;  // added to the utilization when hosts are compared; 1 is a full host
  };
  struct Team {
    std::string name;
    TeamQuota quota;
    Resources used;
    // Used part of the shard's capacity in its scarcest dimension, divided by the team's weight.
    double share = 0;
    // The ready queue: groups with waiting jobs that are not blocked, by rank. Within a rank,
    // ordered by the arrival of their oldest job.
    std::map<int64_t, std::set<std::pair<int64_t, int32_t>>> ready_groups;
    std::vector<int32_t> at_quota;  // groups blocked until the team's use falls
  };
  // An equivalence class of tasks: those with the same needs share one search.
  struct Shape {
    Resources need;
    bool batch = true;
    WaitReason block_reason = WaitReason::kNone;
    // Groups that were blocked because the shape was, by rank. When the shape is unblocked, the
    // groups are unblocked a few at a time.
    std::map<int64_t, std::deque<int32_t>, std::greater<>> blocked_groups;
    size_t search_from = 0;         // the slot at which a search that used up its budget continues
    int64_t search_gain_count = 0;  // value of `gain_count` when that search began
  };
  // Waiting jobs of the same rank, team and shape.
  struct Group {
    int64_t rank = 0;
    int32_t team = 0;
    int32_t shape = 0;
    std::map<int64_t, std::string> jobs;  // identifiers of jobs, by arrival
    WaitReason block_reason = WaitReason::kNone;
    int64_t ready_key = -1;  // key in Team::ready_groups, or -1 if the group is not there
  };
  struct Job {
    int32_t group = 0;
    int64_t arrival = 0;
    std::vector<int32_t> waiting;  // indices of pending tasks; the last one is placed next
    int32_t delayed = 0;           // number of tasks in backoff
    // Number of placed tasks of a service or watch, by rack and by failure domain.
    std::map<int32_t, int32_t> racks;
    std::map<int32_t, int32_t> domains;
  };
  // The host of a task whose grant is not applied yet.
  struct Reservation {
    int32_t host = 0;
    std::string job;
    int32_t index = 0;
  };

  PlacementSettings settings;
  std::vector<Host> hosts;
  std::unordered_map<std::string, int32_t> host_ids;
  std::map<std::string, int32_t> racks;
  std::map<std::string, int32_t> domains;
  std::vector<Resources> rack_capacity;  // total capacity of the usable hosts of each rack
  // Maximum of the racks' capacities in each dimension.
  Resources largest_rack;
  bool has_racks = false;       // whether more than one rack has usable hosts
  CapacityIndex free_capacity;  // free capacity of usable hosts
  CapacityIndex host_capacity;  // capacity of all hosts of the list
  Resources total;              // capacity of usable hosts
  Resources granted;            // resources granted on all hosts
  Resources granted_non_batch;  // resources granted to services and watches
  std::vector<Team> teams;
  std::unordered_map<std::string, int32_t> team_ids;
  std::vector<Shape> shapes;
  std::map<std::tuple<int64_t, int64_t, int64_t, bool>, int32_t> shape_ids;
  // Shapes that fit on no host now, ordered by the processor capacity that they need, so that
  // UpdateBlockedShapes only examines shapes that need no more processor than was freed.
  std::set<std::pair<int64_t, int32_t>> blocked_shapes;
  std::vector<int32_t> headroom_shapes;       // blocked until any resources are freed
  std::vector<int32_t> unschedulable_shapes;  // blocked until the host list changes
  std::vector<int32_t> retry_shapes;          // blocked; their search continues in the next call
  std::vector<Group> groups;
  std::map<std::tuple<int64_t, int32_t, int32_t>, int32_t> group_ids;
  // Jobs with waiting or delayed tasks, and services and watches with placed tasks.
  std::unordered_map<std::string, Job> jobs;
  // Teams with ready groups by rank, ordered by their share, lowest first.
  std::map<int64_t, std::set<std::pair<double, int32_t>>, std::greater<>> team_order;
  // Grants that were decided and are not applied yet, by task.
  std::unordered_map<std::string, Reservation> reserved;
  // Tasks in backoff as job and index, by the end of their delay.
  std::multimap<TimePoint, std::pair<std::string, int32_t>> delayed;
  // Hosts on which a task failed, by task. The task is placed there again only when it fits on no
  // other host.
  std::unordered_map<std::string, std::vector<int32_t>> avoided;
  // Maximum free capacity, in each dimension, of hosts that gained some since
  // UpdateBlockedShapes last ran.
  Resources max_gained;
  int64_t gain_count = 0;       // number of such gains
  int64_t next_arrival = 0;     // arrival number of the next job
  size_t sample_cursor = 0;     // slot at which the next sampling of hosts begins
  bool totals_changed = false;  // shares and the largest rack must be recomputed
  int64_t searches = 0;         // number of searches for a host, for tests and metrics
};

// Builds the tables from a state. Hosts that hold granted tasks but are not in the list are not
// usable.
Planner MakePlanner(const ShardState& state, const std::vector<PlacementHost>& hosts,
                    const PlacementSettings& settings);

// Adds or changes a host. The caller sets hosts that left the list to unusable.
void SetHost(Planner* planner, const PlacementHost& info);

// Sets the penalty that is added to a host's utilization when hosts are compared; 1 is as bad as a
// full host.
void SetPenalty(Planner* planner, const std::string& host, double penalty);

void SetSettings(Planner* planner, const PlacementSettings& settings);

// Applies an event to the state and updates the planner to match.
bool Apply(ShardState* state, Planner* planner, const Event& event);

// Returns grants for at most `limit` waiting tasks: those of the highest rank first, then those of
// the team with the lowest share relative to its weight, then in the order of arrival. Grants are
// reserved until they are applied; reservations that are not applied by the next call are
// cancelled. Never grants more than a host's capacity.
std::vector<Event> PlaceTasks(const ShardState& state, Planner* planner, size_t limit,
                              TimePoint now);

// Same as above for a state without a planner. Builds a planner for each call.
std::vector<Event> PlaceTasks(const ShardState& state, const std::vector<PlacementHost>& hosts,
                              size_t limit);

// Makes a task avoid a host until the task ends.
void AvoidHost(Planner* planner, const std::string& task, const std::string& host);

// Excludes a waiting task from placement until `until`.
void DelayTask(const ShardState& state, Planner* planner, const std::string& task, TimePoint until);

// Returns why the tasks of a job are not placed; kNone also for a job without waiting tasks.
WaitReason WaitReasonOf(const Planner& planner, const std::string& job);

// Returns whether a task of the job would fit on some host of the list if that host were empty.
bool CanEverRun(const JobSpec& spec, const std::vector<PlacementHost>& hosts);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_PLACEMENT_H_
