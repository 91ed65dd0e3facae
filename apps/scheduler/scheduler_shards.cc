// The part of Scheduler that takes over and drops shards.
#include <algorithm>
#include <vector>

#include "apps/scheduler/scheduler.h"
#include "base/log.h"

namespace pomelopond::apps {

void Scheduler::DropShards() {
  const bool stable =
      Now() >= std::max(stable_from_, slow_until_) && store_availability_.IsAvailable();
  std::vector<std::pair<std::shared_ptr<ShardRunner>, bool>> drop;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto it = runners_.begin(); it != runners_.end();) {
      const auto owner = assignment_.find(it->first);
      const bool moved = stable && owner != assignment_.end() && owner->second != own_.id;
      if (!moved && !it->second->replaced()) {
        ++it;
        continue;
      }
      // Halts the runner before removing it, because HandleFence answers "stopped" for a shard
      // without a runner.
      it->second->Halt();
      drop.emplace_back(it->second, moved);
      it = runners_.erase(it);
    }
  }
  for (const auto& [runner, release] : drop) runner->Stop(release);
}

void Scheduler::TakeOverShards() {
  std::vector<std::string> wanted;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [shard, host] : assignment_) {
      if (host == own_.id && runners_.count(shard) == 0) wanted.push_back(shard);
    }
  }
  for (const std::string& it : wanted) TakeOver(it);
}

// Returns whether the owner in `head` is another process that is still a member. Requires mutex_ to
// be held.
bool Scheduler::IsOwnerAlive(const store::ShardHead& head) const {
  const auto it = members_.find(head.owner);
  return it != members_.end() && it->second.incarnation == head.incarnation &&
         head.incarnation != incarnation_;
}

// Returns the owner in `head` and all earlier owners that are not proved to have stopped. Requires
// mutex_ to be held.
std::vector<store::OwnerId> Scheduler::UnprovedOwners(const store::ShardHead& head) const {
  std::vector<store::OwnerId> owners = head.unproved;
  if (!head.owner.empty() && !head.released) owners.push_back({head.owner, head.incarnation});
  std::vector<store::OwnerId> unproved;
  for (const store::OwnerId& it : owners) {
    const bool known = std::find(unproved.begin(), unproved.end(), it) != unproved.end();
    if (!known && !IsProvedStopped(it)) unproved.push_back(it);
  }
  return unproved;
}

void Scheduler::TakeOver(const std::string& shard) {
  store::ShardLog log(shard, &store_);
  const Result<store::VersionedHead> head = log.Read();
  if (!head.ok()) return;
  bool alive = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    alive = !head.value.head.released && IsOwnerAlive(head.value.head);
  }
  const bool reports_stopped = alive && OwnerReportsStopped(shard, head.value.head);
  if (alive && !reports_stopped) return;
  handover_wanted_since_.erase(shard);
  std::vector<store::OwnerId> unproved;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    store::ShardHead previous = head.value.head;
    previous.released = previous.released || reports_stopped;
    unproved = UnprovedOwners(previous);
  }
  const TimePoint sent = Now();
  // A takeover whose answer stays lost may have taken effect, or may still take effect later
  // through a copy of the message in transit. Its runner is never started. The next attempt
  // compares with the head that this takeover left in the store, which also lists the earlier
  // owners.
  const Result<store::ShardContents> contents =
      log.TakeOver(head.value, {own_.id, incarnation_}, unproved);
  if (!contents.ok()) {
    Log(LogLevel::kWarn, "shard", "takeover_failed",
        {{"shard", shard}, {"error", contents.ec.message()}});
    return;
  }
  Result<planning::ShardState> state =
      planning::Rebuild(contents.value.snapshot, contents.value.records);
  if (!state.ok()) {
    Log(LogLevel::kError, "shard", "rebuild_failed",
        {{"shard", shard}, {"error", state.ec.message()}});
    return;
  }
  Log(LogLevel::kInfo, "shard", "taken_over",
      {{"shard", shard},
       {"epoch", log.epoch()},
       {"tasks", state.value.tasks.size()},
       {"owners_unproved", unproved.size()}});
  const int64_t epoch = log.epoch();
  const auto runner =
      std::make_shared<ShardRunner>(settings_, shard, std::move(log), std::move(state.value),
                                    std::move(unproved), sent, &store_availability_, &metrics_);
  membership::HostList hosts;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto fenced = fenced_epochs_.find(shard);
    if (fenced != fenced_epochs_.end() && epoch <= fenced->second) return;
    runners_[shard] = runner;
    hosts = hosts_;
  }
  runner->SetHosts(hosts);
  runner->Start();
}

}  // namespace pomelopond::apps
