#include "apps/scheduler/job_homes.h"

#include <utility>

#include "base/log.h"
#include "base/result_code.h"
#include "store/job_home.h"

namespace pomelopond::apps {
namespace {

// The loop has nothing to do on its own.
constexpr Duration kIdleInterval = std::chrono::seconds(1);
// A lookup takes two store calls of some milliseconds; more of them would wait for seconds.
constexpr size_t kMaxWaiting = 500;
// About 100 bytes each; the cache starts anew when it is full.
constexpr size_t kMaxKnown = 50000;

}  // namespace

JobHomes::JobHomes(const Endpoint& store, Duration timeout, StoreGate* gate)
    : gate_(gate), store_(store, timeout), loop_(kIdleInterval, [] {}) {}

std::optional<std::string> JobHomes::Known(const std::string& job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = known_.find(job);
  if (it == known_.end()) return std::nullopt;
  return it->second;
}

void JobHomes::Find(const std::string& job, Done done) {
  Run(
      job, [job](store::StoreClient* client) { return store::FindHomeShard(client, job); },
      std::move(done));
}

void JobHomes::Claim(const std::string& job, const std::string& proposed, Done done) {
  Run(
      job,
      [job, proposed](store::StoreClient* client) {
        return store::ClaimHomeShard(client, job, proposed);
      },
      std::move(done));
}

std::optional<std::string> JobHomes::KnownOrClaim(const std::string& job,
                                                  const std::string& proposed) {
  std::optional<std::string> known = Known(job);
  if (known) return known;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!claiming_.insert(job).second) return std::nullopt;
  }
  Claim(job, proposed, [this, job](const Result<std::string>&) {
    // A failed claim is logged where it fails, and made again by the next call.
    const std::lock_guard<std::mutex> lock(mutex_);
    claiming_.erase(job);
  });
  return std::nullopt;
}

void JobHomes::Run(const std::string& job, Lookup lookup, Done done) {
  const std::optional<std::string> known = Known(job);
  if (known) return done({{}, *known});
  bool admitted = gate_->open();
  if (admitted) {
    const std::lock_guard<std::mutex> lock(mutex_);
    admitted = waiting_ < kMaxWaiting;
    if (admitted) waiting_ += 1;
  }
  if (!admitted) return done({ResultCode::kStoreUnavailable, {}});
  loop_.Post(
      [this, job, lookup = std::move(lookup), done = std::move(done)] { done(Ask(job, lookup)); });
}

Result<std::string> JobHomes::Ask(const std::string& job, const Lookup& lookup) {
  Result<std::string> home{ResultCode::kStoreUnavailable, {}};
  if (gate_->open()) home = lookup(&store_);
  const bool failed = !home.ok() && home.ec != ResultCode::kNotFound;
  if (failed) {
    Log(LogLevel::kWarn, "scheduler", "job_home_unknown",
        {{"job", job}, {"error", home.ec.message()}});
    gate_->Close();
    // A home that may have been claimed accepts no job by itself.
    home.ec = ResultCode::kStoreUnavailable;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  waiting_ -= 1;
  if (!home.ok()) return home;
  if (known_.size() >= kMaxKnown) known_.clear();
  known_[job] = home.value;
  return home;
}

}  // namespace pomelopond::apps
