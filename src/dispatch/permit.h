// Permits: queues with a placement policy let a step run only on workers that a policy service
// names, and each start there carries the permit that the service gave out.
#ifndef POMELOPOND_DISPATCH_PERMIT_H_
#define POMELOPOND_DISPATCH_PERMIT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace pomelopond::dispatch {

// Most workers that one order may name.
inline constexpr size_t kMaxWorkersInPermitOrder = 100;

// One step of one occurrence of a job.
struct StepId {
  std::string job;
  int occurrence = 0;
  int step = 0;
};

// Asks which of the workers may run the step.
struct PermitOrder {
  StepId step;
  // Identifiers and incarnations, since a permit ends with the worker's incarnation.
  std::vector<std::pair<std::string, int64_t>> workers;
};

struct PermitAnswer {
  bool ok = false;                                           // false: ask again later
  std::vector<std::pair<std::string, std::string>> granted;  // worker and permit
  Duration valid{};                                          // from the answer
};

// Calls to the policy service. Implementations are adapters and stand-ins.
class PermitCalls {
 public:
  virtual ~PermitCalls() = default;
  // Returns at once; `done` runs once, later, on a thread of the implementation.
  virtual void RequestPermits(const PermitOrder& order, std::function<void(PermitAnswer)> done) = 0;
};

struct Permit {
  std::string text;
  int64_t incarnation = 0;  // of the worker
  TimePoint valid_until;
};

// What is known of a step's permits.
struct StepPermits {
  std::map<std::string, Permit> granted;  // by worker
  // Workers and incarnations that may not run the step. The policy of a step does not change.
  std::set<std::pair<std::string, int64_t>> denied;
  bool call_in_flight = false;
  TimePoint next_call;
};

// The permit for a start that is sent now, or null.
const Permit* FindPermit(const StepPermits& permits, const std::string& worker, int64_t incarnation,
                         TimePoint now);

// True when the worker is neither permitted nor denied.
bool IsUndecided(const StepPermits& permits, const std::string& worker, int64_t incarnation,
                 TimePoint now);

void ApplyPermits(StepPermits* permits, const PermitOrder& order, const PermitAnswer& answer,
                  TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_PERMIT_H_
