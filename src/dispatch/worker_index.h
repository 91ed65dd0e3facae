// Workers in the orders in which a placement tries them, so that it need not look at all of them.
#ifndef POMELOPOND_DISPATCH_WORKER_INDEX_H_
#define POMELOPOND_DISPATCH_WORKER_INDEX_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "dispatch/worker_table.h"

namespace pomelopond::dispatch {

// Processor time of the worker, in thousandths of a core, that is neither reserved nor requested by
// best-effort tasks, plus the part of their reservations that latency-critical tasks leave unused.
int64_t SpareCpu(const WorkerState& worker);

// The key under which an index lists the worker, for its present runs.
WorkerIndexKey IndexKeyOf(const WorkerState& worker);

// The most spare processor time first, then by worker id.
struct MostSpareFirst {
  bool operator()(const WorkerState* a, const WorkerState* b) const;
};

// Workers with latency-critical tasks first; of these and of the others, those without best-effort
// tasks first; then as above.
struct ServingFirst {
  bool operator()(const WorkerState* a, const WorkerState* b) const;
};

// All workers of one service, whether they accept tasks or not.
struct ServiceWorkers {
  std::set<WorkerState*, MostSpareFirst> by_spare;
  std::set<WorkerState*, ServingFirst> by_serving;
};

// By service. The workers belong to the caller, which calls Reindex() after each change of their
// runs, capacity or service.
using WorkerIndex = std::map<std::string, ServiceWorkers>;

// Lists the worker under its present key. A worker that is not in the index is added.
void Reindex(WorkerIndex* index, WorkerState* worker);

// Removes the worker if it is in the index.
void RemoveFromIndex(WorkerIndex* index, WorkerState* worker);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_WORKER_INDEX_H_
