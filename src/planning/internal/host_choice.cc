#include "planning/internal/host_choice.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "planning/internal/blocking.h"
#include "planning/internal/resource_share.h"

namespace pomelopond::planning {
namespace {

// Number of hosts compared for one task. This is enough to keep hosts evenly used; more cost time
// in each decision.
constexpr size_t kCandidates = 16;
// Number of positions at which sampling starts, so that the candidates come from different racks.
constexpr size_t kSamples = 8;
// Maximum number of index nodes visited by one sample and by one search of all hosts. A visit takes
// about 2 ns.
constexpr size_t kSampleBudget = 64;
constexpr size_t kSearchBudget = 1024;
constexpr size_t kCursorStep = 7919;  // a prime, so that samples reach every host

Resources Scale(const Resources& a, double factor) {
  const auto scaled = [factor](int64_t it) {
    return static_cast<int64_t>(static_cast<double>(it) * factor);
  };
  return {scaled(a.cpu_milli), scaled(a.memory_mb), scaled(a.accelerators)};
}

// Returns whether `used` and `need` together stay within `bound` in the dimensions of which `need`
// asks for something. A task is not held back because a bound is exceeded in another dimension.
bool WithinBound(const Resources& used, const Resources& need, const Resources& bound) {
  return (need.cpu_milli == 0 || used.cpu_milli + need.cpu_milli <= bound.cpu_milli) &&
         (need.memory_mb == 0 || used.memory_mb + need.memory_mb <= bound.memory_mb) &&
         (need.accelerators == 0 || used.accelerators + need.accelerators <= bound.accelerators);
}

// Score of a candidate host; lower is better. A host on which the task failed is the last resort.
// Tasks of a service or watch go to the failure domain, then to the rack, with the fewest tasks of
// the job. Otherwise the host with the lowest utilization is chosen.
struct Score {
  bool avoided = false;
  int32_t domain_tasks = 0;
  int32_t rack_tasks = 0;
  double utilization = 0;

  friend bool operator<(const Score& a, const Score& b) {
    return std::tie(a.avoided, a.domain_tasks, a.rack_tasks, a.utilization) <
           std::tie(b.avoided, b.domain_tasks, b.rack_tasks, b.utilization);
  }
};

int32_t CountOf(const std::map<int32_t, int32_t>& counts, int32_t key) {
  const auto it = counts.find(key);
  return it == counts.end() ? 0 : it->second;
}

struct Choice {
  int32_t host = -1;
  Score score;
};

// The task to place next.
struct Next {
  const Planner::Shape& shape;
  const Planner::Job& job;
  const std::vector<int32_t>* avoided;  // hosts on which the task failed; may be null
};

void Consider(const Planner& planner, const Next& next, size_t slot, Choice* choice) {
  const Planner::Shape& shape = next.shape;
  const Planner::Job& job = next.job;
  const Planner::Host& host = planner.hosts[slot];
  Score score;
  if (next.avoided != nullptr) {
    score.avoided = std::find(next.avoided->begin(), next.avoided->end(),
                              static_cast<int32_t>(slot)) != next.avoided->end();
  }
  score.utilization = Utilization(host.granted + shape.need, host.info.capacity) + host.penalty;
  if (!shape.batch) {
    score.domain_tasks = CountOf(job.domains, host.failure_domain);
    score.rack_tasks = CountOf(job.racks, host.rack);
  }
  if (choice->host >= 0 && !(score < choice->score)) return;
  choice->host = static_cast<int32_t>(slot);
  choice->score = score;
}

// Samples hosts with enough free capacity and returns the best of them. With few hosts, all of them
// are compared.
Choice SampleHosts(Planner* planner, const Next& next) {
  const Planner::Shape& shape = next.shape;
  Choice choice;
  const size_t count = planner->hosts.size();
  if (count <= kCandidates) {
    for (size_t n = 0; n < count; ++n) {
      if (Fits(shape.need, SlotCapacity(planner->free_capacity, n)))
        Consider(*planner, next, n, &choice);
    }
    return choice;
  }
  planner->sample_cursor = (planner->sample_cursor + kCursorStep) % count;
  for (size_t sample = 0; sample < kSamples; ++sample) {
    size_t from = (planner->sample_cursor + sample * count / kSamples) % count;
    for (size_t n = 0; n < kCandidates / kSamples; ++n) {
      size_t budget = kSampleBudget;
      const CapacitySearch found =
          FindFittingSlot(planner->free_capacity, shape.need, from, &budget);
      if (!found.found) break;
      Consider(*planner, next, found.slot, &choice);
      from = found.slot + 1;
    }
  }
  return choice;
}

}  // namespace

bool KeepsHeadroom(const Planner& planner, const Planner::Shape& shape) {
  const PlacementSettings& settings = planner.settings;
  if (settings.headroom_share > 0 &&
      !WithinBound(planner.granted, shape.need,
                   Scale(planner.total, 1 - settings.headroom_share))) {
    return false;
  }
  if (shape.batch || !settings.keep_rack_free || !planner.has_racks) return true;
  return WithinBound(planner.granted_non_batch, shape.need, planner.total - planner.largest_rack);
}

int32_t ChooseHost(Planner* planner, int32_t shape_id, const Planner::Job& job,
                   const std::vector<int32_t>* avoided, size_t* work) {
  Planner::Shape& shape = planner->shapes[shape_id];
  planner->searches += 1;
  // Search for any fitting host before sampling: for a shape that fits on no host, this costs less
  // than sampling.
  if (shape.search_from == 0) shape.search_gain_count = planner->gain_count;
  size_t budget = kSearchBudget;
  const CapacitySearch search =
      FindFittingSlot(planner->free_capacity, shape.need, shape.search_from, &budget);
  *work -= std::min(*work, kSearchBudget - budget);
  shape.search_from = search.stopped ? search.slot : 0;
  if (search.found) {
    const Choice choice = SampleHosts(planner, {shape, job, avoided});
    return choice.host >= 0 ? choice.host : static_cast<int32_t>(search.slot);
  }
  if (search.stopped || shape.search_gain_count != planner->gain_count) {
    // Either not all hosts were searched, or a host that the search had passed gained capacity.
    shape.block_reason = WaitReason::kNoCapacity;
    planner->retry_shapes.push_back(shape_id);
    return -1;
  }
  size_t all = planner->host_capacity.nodes.size();
  const bool fits = FindFittingSlot(planner->host_capacity, shape.need, 0, &all).found;
  BlockShape(planner, shape_id, fits ? WaitReason::kNoCapacity : WaitReason::kNeverFits);
  return -1;
}

}  // namespace pomelopond::planning
