// Room for a gang: how many of its members the workers can take at once. Whether a gang fits is
// decided from one look at each worker, since placing the members of a gang that does not fit one
// by one costs many times as much.
#ifndef POMELOPOND_DISPATCH_GANG_ROOM_H_
#define POMELOPOND_DISPATCH_GANG_ROOM_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatch/placement_request.h"
#include "dispatch/worker_index.h"
#include "dispatch/worker_score.h"
#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

// Number of tasks with this reservation that fit into `room`, at most `most`.
int64_t TasksThatFit(const Resources& need, const Resources& room, int64_t most);

// Upper bound of the members that start on the worker at once, at most `most`.
int64_t MembersOn(const WorkerState& worker, const PlacementRequest& request, int64_t most,
                  TimePoint now);

// True when the workers may take `members` at once, as far as the sum of their bounds tells.
bool MayHoldGang(const WorkerIndex& index, const PlacementRequest& request, int64_t members,
                 TimePoint now);

// The racks that may take `members` at once, in the order of decreasing free processor time.
std::vector<std::string> RacksForGang(const WorkerIndex& index, const PlacementRequest& request,
                                      int64_t members, TimePoint now);

// True when the workers of one rack could run all tasks of the step if they were empty.
bool FitsOneRack(const std::map<std::string, WorkerState>& workers,
                 const PlacementRequest& request);

// Chooses workers for the members of a gang one after the other, each time the one that
// ChooseWorker() would return. The caller adds each member to the chosen worker before it asks for
// the next one. The members cost the logarithm of the number of workers each, not a look at all.
class MemberPlaces {
 public:
  MemberPlaces(const WorkerIndex& index, const PlacementRequest& request, TimePoint now);

  // Returns null when no worker can take another member.
  WorkerState* Next();

 private:
  struct Place {
    Score score;
    WorkerState* worker = nullptr;
  };
  static bool IsWorse(const Place& a, const Place& b);
  void Add(WorkerState* worker);

  const PlacementRequest& request_;
  const TimePoint now_;
  std::vector<Place> places_;  // a heap, the best one first
  WorkerState* last_ = nullptr;
};

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_GANG_ROOM_H_
