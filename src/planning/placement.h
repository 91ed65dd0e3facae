// Choice of a host for each waiting task of a shard.
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

// A worker host as placement sees it.
struct PlacementHost {
  std::string id;
  Resources capacity;
  bool usable = false;  // live, not draining, and has answered at the owner's epoch
  std::string rack;
  std::string failure_domain;
  bool probing = false;  // gets one task, whose outcome decides whether it is in order

  friend bool operator==(const PlacementHost& a, const PlacementHost& b) {
    return std::tie(a.id, a.capacity, a.usable, a.rack, a.failure_domain, a.probing) ==
           std::tie(b.id, b.capacity, b.usable, b.rack, b.failure_domain, b.probing);
  }
};

inline constexpr Resources kUnlimited{INT64_MAX, INT64_MAX, INT64_MAX};

// A team's part of one shard.
struct TeamQuota {
  Resources limit = kUnlimited;  // the sum of its grants stays within this
  double weight = 1;             // fair share relative to other teams; above 0

  friend bool operator==(const TeamQuota& a, const TeamQuota& b) {
    return a.limit == b.limit && a.weight == b.weight;
  }
};

struct PlacementSettings {
  std::map<std::string, TeamQuota> quotas;  // by team; a team without an entry has the defaults
  // Share of the usable capacity that no grant may take.
  double headroom_share = 0;
  // Services and watches leave the capacity of the largest rack free, so that the other racks can
  // take them over when a rack is lost. Batch work may use that room, since it can be evicted.
  bool keep_rack_free = true;
};

// Why a job with waiting tasks is not placed.
enum class WaitReason {
  kNone,        // next in its order
  kNeverFits,   // larger than every host of the list
  kNoCapacity,  // fits on no host as they are used now
  kHeadroom,    // would take room that is kept free
  kQuota,       // its team is at its quota
  kBackoff,     // its tasks failed and wait before they are tried again
};

const char* WaitReasonName(WaitReason reason);

// Volatile tables from which a shard's placement is decided; built from the state at a takeover and
// kept in step by Apply. Work a decision depends neither on the number of hosts nor on the number
// of waiting tasks: waiting jobs are grouped by rank, team and shape, and a shape that fits nowhere
// is not looked at again until room grows or the host list changes.
struct Planner {
  struct Host {
    PlacementHost info;
    Resources granted;  // reservations included
    int32_t rack = 0;
    int32_t failure_domain = 0;
    bool probe_placed = false;  // a probed host has got its task
    double penalty = 0;         // added to its use when hosts are compared; 1 is a full host
  };
  struct Team {
    std::string name;
    TeamQuota quota;
    Resources used;
    double share = 0;  // of the shard's capacity in its scarcest dimension, divided by weight
    // Groups that wait for a decision by rank; in a rank in order of arrival.
    std::map<int64_t, std::set<std::pair<int64_t, int32_t>>> active;
    std::vector<int32_t> at_quota;  // groups that wait for the team's use to fall
  };
  // Tasks that ask for the same go through the same search.
  struct Shape {
    Resources need;
    bool batch = true;
    WaitReason parked = WaitReason::kNone;
    // Groups parked with it by rank. After the shape is woken they follow a few at a time.
    std::map<int64_t, std::deque<int32_t>, std::greater<>> groups;
    size_t search_from = 0;         // where a search that ran out of budget goes on
    int64_t search_gain_count = 0;  // value of `growth` when that search began
  };
  // Waiting jobs of one rank, team and shape.
  struct Group {
    int64_t rank = 0;
    int32_t team = 0;
    int32_t shape = 0;
    std::map<int64_t, std::string> jobs;  // by arrival
    WaitReason parked = WaitReason::kNone;
    int64_t active_key = -1;  // its key in Team::active, -1: not there
  };
  struct Job {
    int32_t group = 0;
    int64_t arrival = 0;
    std::vector<int32_t> waiting;        // indices of tasks, next one last
    int32_t delayed = 0;                 // tasks that back off
    std::map<int32_t, int32_t> racks;    // tasks of a service or watch by rack
    std::map<int32_t, int32_t> domains;  // and by failure domain
  };
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
  std::vector<Resources> rack_capacity;  // of usable hosts
  Resources largest_rack;
  bool has_racks = false;       // more than one rack with usable hosts
  CapacityIndex free_capacity;  // free room of usable hosts
  CapacityIndex host_capacity;  // capacity of all hosts of the list
  Resources total;              // capacity of usable hosts
  Resources granted;            // on all hosts
  Resources granted_non_batch;  // of services and watches
  std::vector<Team> teams;
  std::unordered_map<std::string, int32_t> team_ids;
  std::vector<Shape> shapes;
  std::map<std::tuple<int64_t, int64_t, int64_t, bool>, int32_t> shape_ids;
  // Shapes that fit nowhere, with little processor first, so that a wake looks only at those that
  // ask for no more processor than was freed.
  std::set<std::pair<int64_t, int32_t>> parked_shapes;
  std::vector<int32_t> headroom_shapes;       // parked until anything is freed
  std::vector<int32_t> unschedulable_shapes;  // parked until the host list changes
  std::vector<int32_t> retry_shapes;          // their search goes on in the next call
  std::vector<Group> groups;
  std::map<std::tuple<int64_t, int32_t, int32_t>, int32_t> group_ids;
  std::unordered_map<std::string, Job> jobs;  // with waiting tasks or a spread
  // Teams with active groups by rank, least served first.
  std::map<int64_t, std::set<std::pair<double, int32_t>>, std::greater<>> team_order;
  // Grants that were decided and are not journalled yet.
  std::unordered_map<std::string, Reservation> reserved;
  std::multimap<TimePoint, std::pair<std::string, int32_t>> delayed;
  // Hosts on which a task failed; it goes there again only when it fits nowhere else.
  std::unordered_map<std::string, std::vector<int32_t>> avoided;
  Resources max_gained;    // maximum room of hosts that gained some since shapes were last woken
  int64_t gain_count = 0;  // counts such gains
  int64_t next_arrival = 0;
  size_t sample_cursor = 0;     // where the next search for candidates begins
  bool totals_changed = false;  // shares and the largest rack are to be computed again
  int64_t searches = 0;         // searches for a host, for tests and metrics
};

// Builds the tables for a state. Hosts that hold grants but are not in the list stay unusable.
Planner MakePlanner(const ShardState& state, const std::vector<PlacementHost>& hosts,
                    const PlacementSettings& settings);

// Adds a host or changes it. Hosts that left the list are set to unusable.
void SetHost(Planner* planner, const PlacementHost& info);

// Adds `penalty` to a host's use when hosts are compared; 1 is as bad as a full host.
void SetPenalty(Planner* planner, const std::string& host, double penalty);

void SetSettings(Planner* planner, const PlacementSettings& settings);

// Applies an event to the state and keeps the planner in step.
bool Apply(ShardState* state, Planner* planner, const Event& event);

// Grants for waiting tasks, at most `limit`: highest rank first, then the team with the least share
// of its weight, then the order of arrival. Grants are reserved until they are applied; those not
// applied by the next call are given up. Never grants more than a host's capacity.
std::vector<Event> PlaceTasks(const ShardState& state, Planner* planner, size_t limit,
                              TimePoint now);

// The same for a state without a planner, at the cost of building one.
std::vector<Event> PlaceTasks(const ShardState& state, const std::vector<PlacementHost>& hosts,
                              size_t limit);

// Makes a task avoid the host until it ends.
void AvoidHost(Planner* planner, const std::string& task, const std::string& host);

// Takes a waiting task out of its order until `until`.
void DelayTask(const ShardState& state, Planner* planner, const std::string& task, TimePoint until);

// Why the job's tasks wait; kNone also for a job without waiting tasks.
WaitReason WaitReasonOf(const Planner& planner, const std::string& job);

// True when a task of the job fits on some host of the list when that host is empty.
bool CanEverRun(const JobSpec& spec, const std::vector<PlacementHost>& hosts);

}  // namespace pomelopond::planning

#endif  // POMELOPOND_PLANNING_PLACEMENT_H_
