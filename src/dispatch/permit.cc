#include "dispatch/permit.h"

namespace pomelopond::dispatch {
namespace {

// A start order must reach the worker while its permit is valid; a permit is not used when it
// expires within this time.
constexpr Duration kDeliveryMargin = std::chrono::milliseconds(200);
// A permit order that the policy service did not answer or refused is repeated after this time.
constexpr Duration kPermitRetry = std::chrono::milliseconds(300);

}  // namespace

const Permit* FindPermit(const StepPermits& permits, const std::string& worker, int64_t incarnation,
                         TimePoint now) {
  const auto it = permits.granted.find(worker);
  if (it == permits.granted.end() || it->second.incarnation != incarnation) return nullptr;
  return now + kDeliveryMargin < it->second.valid_until ? &it->second : nullptr;
}

bool IsUndecided(const StepPermits& permits, const std::string& worker, int64_t incarnation,
                 TimePoint now) {
  return permits.denied.count({worker, incarnation}) == 0 &&
         FindPermit(permits, worker, incarnation, now) == nullptr;
}

void ApplyPermits(StepPermits* permits, const PermitOrder& order, const PermitAnswer& answer,
                  TimePoint now) {
  permits->call_in_flight = false;
  if (!answer.ok) {
    permits->next_call = now + kPermitRetry;
    return;
  }
  const std::map<std::string, std::string> granted(answer.granted.begin(), answer.granted.end());
  for (const auto& [worker, incarnation] : order.workers) {
    const auto it = granted.find(worker);
    if (it == granted.end()) {
      permits->denied.emplace(worker, incarnation);
      permits->granted.erase(worker);
    } else {
      permits->granted[worker] = {it->second, incarnation, now + answer.valid};
    }
  }
}

}  // namespace pomelopond::dispatch
