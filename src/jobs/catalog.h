// Queues in force: where callers submit jobs, and which pools run them.
#ifndef POMELOPOND_JOBS_CATALOG_H_
#define POMELOPOND_JOBS_CATALOG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/job.h"

namespace pomelopond::jobs {

// A queue accepts the jobs that are submitted to `host` at paths below `prefix`.
struct Queue {
  std::string host;
  std::string prefix;  // ends with '/'
  QueueRules rules;
};

// A pool of workers that queues send their tasks to.
struct Service {
  std::string name;
  // Starts per second that a worker accepts while it is cold; 0: not limited.
  double cold_starts_per_s = 0;
};

// Limits of callers' requests; 0: the setting of each process.
struct RequestLimits {
  int64_t max_header_bytes = 0;
  int64_t max_body_bytes = 0;
  int64_t header_timeout_ms = 0;
  int64_t idle_timeout_ms = 0;
};

struct Catalog {
  int64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
  RequestLimits limits;
};

using CatalogPtr = std::shared_ptr<const Catalog>;

// Returns the queue of `host` with the longest prefix that `path` begins with, or null.
inline const Queue* FindQueue(const Catalog& catalog, std::string_view host,
                              std::string_view path) {
  const Queue* best = nullptr;
  for (const Queue& it : catalog.queues) {
    if (it.host != host || path.substr(0, it.prefix.size()) != it.prefix) continue;
    if (best == nullptr || it.prefix.size() > best->prefix.size()) best = &it;
  }
  return best;
}

}  // namespace pomelopond::jobs

#endif  // POMELOPOND_JOBS_CATALOG_H_
