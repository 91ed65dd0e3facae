#include "dispatch/worker_index.h"

#include <tuple>

namespace pomelopond::dispatch {
namespace {

// Fraction of its reservation that a latency-critical task leaves unused on average.
constexpr double kServingIdleFraction = 0.4;

}  // namespace

int64_t SpareCpu(const WorkerState& worker) {
  const auto unused =
      static_cast<int64_t>(static_cast<double>(worker.serving_cpu) * kServingIdleFraction);
  return FreeCapacity(worker).cpu_milli + unused - worker.best_effort_cpu;
}

WorkerIndexKey IndexKeyOf(const WorkerState& worker) {
  return {worker.info.service, worker.serving > 0, worker.best_effort_cpu > 0, SpareCpu(worker)};
}

bool MostSpareFirst::operator()(const WorkerState* a, const WorkerState* b) const {
  if (a->index_key.spare_cpu != b->index_key.spare_cpu) {
    return a->index_key.spare_cpu > b->index_key.spare_cpu;
  }
  return a->info.id < b->info.id;
}

bool ServingFirst::operator()(const WorkerState* a, const WorkerState* b) const {
  if (a->index_key.serving != b->index_key.serving) return a->index_key.serving;
  if (a->index_key.best_effort != b->index_key.best_effort) return b->index_key.best_effort;
  return MostSpareFirst()(a, b);
}

void Reindex(WorkerIndex* index, WorkerState* worker) {
  const WorkerIndexKey key = IndexKeyOf(*worker);
  if (worker->indexed && key == worker->index_key) return;
  RemoveFromIndex(index, worker);
  worker->index_key = key;
  worker->indexed = true;
  ServiceWorkers& workers = (*index)[key.service];
  workers.by_spare.insert(worker);
  workers.by_serving.insert(worker);
}

void RemoveFromIndex(WorkerIndex* index, WorkerState* worker) {
  if (!worker->indexed) return;
  ServiceWorkers& workers = (*index)[worker->index_key.service];
  workers.by_spare.erase(worker);
  workers.by_serving.erase(worker);
  worker->indexed = false;
}

}  // namespace pomelopond::dispatch
