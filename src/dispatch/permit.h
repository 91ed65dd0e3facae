// Permits of a policy service. A queue with a placement policy runs a step only on workers that the
// service approves, and each start order carries the permit for its worker.
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

// Maximum number of workers in one permit order.
inline constexpr size_t kMaxWorkersInPermitOrder = 100;

// One step of one occurrence of a job.
struct StepId {
  std::string job;
  int occurrence = 0;
  int step = 0;
};

// Asks the policy service which of the workers may run the step.
struct PermitOrder {
  StepId step;
  // Worker ids and incarnations. A permit is valid for one incarnation only.
  std::vector<std::pair<std::string, int64_t>> workers;
};

struct PermitAnswer {
  bool ok = false;  // false: the call failed and is repeated later
  std::vector<std::pair<std::string, std::string>> granted;  // worker and permit
  Duration valid{};  // validity of the permits, counted from the answer
};

// Interface for calls to the policy service. Production code implements it over the network and
// tests by test doubles.
class PermitCalls {
 public:
  virtual ~PermitCalls() = default;
  // Returns at once; `done` runs exactly once, later, on a thread of the implementation.
  virtual void RequestPermits(const PermitOrder& order, std::function<void(PermitAnswer)> done) = 0;
};

struct Permit {
  std::string text;         // opaque text, passed to the worker
  int64_t incarnation = 0;  // of the worker
  TimePoint valid_until;
};

// Known decisions of the policy service on a step.
struct StepPermits {
  std::map<std::string, Permit> granted;  // by worker id
  // Worker ids and incarnations that may not run the step. Denials are final, as the policy of a
  // step does not change.
  std::set<std::pair<std::string, int64_t>> denied;
  bool call_in_flight = false;  // a permit order awaits its answer
  TimePoint next_call;          // earliest time of the next permit order
};

// Returns the permit for a start order that is sent now, or null.
const Permit* FindPermit(const StepPermits& permits, const std::string& worker, int64_t incarnation,
                         TimePoint now);

// True when the worker has neither a valid permit nor a denial.
bool IsUndecided(const StepPermits& permits, const std::string& worker, int64_t incarnation,
                 TimePoint now);

// Records the answer to a permit order.
void ApplyPermits(StepPermits* permits, const PermitOrder& order, const PermitAnswer& answer,
                  TimePoint now);

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_DISPATCH_PERMIT_H_
