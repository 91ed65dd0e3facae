#include "tests/dispatch/simulated_fleet.h"

#include <algorithm>

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr const char* kLabel = "label-a";
constexpr int kRacks = 3;

// Each rack is a failure domain.
std::string DomainOf(const std::string& rack) { return "domain-of-" + rack; }

}  // namespace

std::string Text(const RunId& id) { return Text(id.task) + " run " + std::to_string(id.run); }

std::string Text(const jobs::TaskId& id) {
  return id.job + "." + std::to_string(id.occurrence) + "." + std::to_string(id.step) + "." +
         std::to_string(id.index);
}

void SimulatedFleet::RunEvents(TimePoint until) {
  while (!events_.empty() && events_.begin()->first <= until) {
    const auto it = events_.begin();
    now_ = std::max(now_, it->first);
    const std::function<void()> work = std::move(it->second);
    events_.erase(it);
    work();
  }
  now_ = until;
}

void SimulatedFleet::Run(Duration duration, const Troubles& troubles) {
  troubles_ = troubles;
  const TimePoint end = now_ + duration;
  while (now_ < end && violations_.empty()) {
    RunEvents(now_ + kTick);
    AdvanceWorkers();
    MakeTroubles(troubles);
    ForOwners([this](SimulatedOwner* it) { StepOwner(it); });
    if (on_tick) on_tick();
  }
}

void SimulatedFleet::ForOwners(const std::function<void(SimulatedOwner*)>& work) {
  for (const auto& it : owners_) {
    if (!it->gone) work(it.get());
  }
}

SimulatedOwner* SimulatedFleet::OwnerOf(int64_t epoch) {
  for (const auto& it : owners_) {
    if (!it->gone && it->epoch == epoch) return it.get();
  }
  return nullptr;
}

// Jobs.

void SimulatedFleet::Submit(const jobs::Job& job) {
  if (IsStoreDown()) return;
  store_.revision += 1;
  store_.jobs[job.id] = {job, store_.revision};
  At(now_ + kWatchDelay, [this, job, revision = store_.revision] {
    if (store_.jobs.count(job.id) == 0) return;
    ForOwners([&](SimulatedOwner* it) { it->dispatcher.AddJob(job, {}, false, revision); });
  });
}

void SimulatedFleet::Cancel(const std::string& id) {
  if (IsStoreDown() || store_.jobs.count(id) == 0) return;
  store_.cancelled.insert(id);
  At(now_ + kWatchDelay, [this, id] {
    ForOwners([&](SimulatedOwner* it) {
      it->dispatcher.CancelJob(id, WallMs());
      Check(it);
    });
  });
}

void SimulatedFleet::Evacuate(const std::string& domain, Duration duration) {
  if (IsStoreDown() || store_.evacuated.count(domain) > 0) return;
  store_.evacuated[domain] = now_;
  At(now_ + kWatchDelay, [this] { PassEvacuationsOn(); });
  At(now_ + duration, [this, domain] {
    store_.evacuated.erase(domain);
    At(now_ + kWatchDelay, [this] { PassEvacuationsOn(); });
  });
}

void SimulatedFleet::PassEvacuationsOn() {
  std::set<std::string> domains;
  for (const auto& [domain, since] : store_.evacuated) domains.insert(domain);
  ForOwners([&](SimulatedOwner* it) {
    if (!it->knows_evacuations) return;
    it->dispatcher.SetEvacuatedDomains(domains, now_);
    Check(it);
  });
}

// Owners.

void SimulatedFleet::TakeOver(bool earlier_continues) {
  if (!earlier_continues && owner() != nullptr) owner()->gone = true;
  store_.epoch += 1;
  store_.revision += 1;
  store_.last_commit = 0;
  store_.term_revision = store_.revision;
  owners_.push_back(std::make_unique<SimulatedOwner>(limits, store_.epoch, now_));
  if (owners_.size() > 3) owners_.erase(owners_.begin());
  SimulatedOwner* it = owners_.back().get();
  it->term_revision = store_.term_revision;
  it->dispatcher.OnOwnershipProof(now_);
  it->dispatcher.OnProvenRevision(store_.revision);
  if (has_evacuations) LoadEvacuations(it);
  Load(it);
}

void SimulatedFleet::LoadEvacuations(SimulatedOwner* owner) {
  owner->dispatcher.HoldStarts(true);
  At(now_ + kWatchDelay, [this, epoch = owner->epoch] {
    SimulatedOwner* it = OwnerOf(epoch);
    if (it == nullptr) return;
    it->knows_evacuations = true;
    it->dispatcher.HoldStarts(false);
    PassEvacuationsOn();
  });
}

void SimulatedFleet::Load(SimulatedOwner* owner) {
  const LeaseBounds bounds = DecodeLeaseBounds(store_.lease_bounds).value;
  for (const WorkerInUse& it : DecodeWorkersInUse(store_.workers_in_use).value) {
    owner->dispatcher.InheritWorker(it, bounds, now_);
  }
  for (const auto& [id, record] : store_.jobs) {
    const auto progress = store_.progress.find(id);
    owner->dispatcher.AddJob(record.first,
                             progress == store_.progress.end()
                                 ? jobs::JobProgress{}
                                 : jobs::DecodeProgress(progress->second).value,
                             true, record.second);
  }
  for (const std::string& it : store_.cancelled) owner->dispatcher.CancelJob(it, WallMs());
  At(now_ + MsBetween(0, 300), [this, epoch = owner->epoch] {
    ForOwners([&](SimulatedOwner* it) {
      if (it->epoch != epoch) return;
      it->watches_registry = true;
      for (const auto& [id, info] : store_.registry) Update(it, info);
    });
  });
}

void SimulatedFleet::Learn(SimulatedOwner* owner, const std::string& worker, int64_t incarnation) {
  int64_t& known = owner->incarnations[worker];
  known = std::max(known, incarnation);
}

void SimulatedFleet::Update(SimulatedOwner* owner, const WorkerInfo& info) {
  Learn(owner, info.id, info.incarnation);
  owner->dispatcher.UpdateWorker(info, now_);
  Check(owner);
}

void SimulatedFleet::StepOwner(SimulatedOwner* owner) {
  const Orders orders = owner->dispatcher.Decide(now_, WallMs());
  for (const StartOrder& it : orders.starts) CheckStart(owner, it);
  Send(owner, orders);
  Check(owner);
  if (owner->dispatcher.superseded()) owner->gone = true;
  if (owner->gone) return;
  WriteCommit(owner);
  ReadTerm(owner);
}

// Workers.

WorkerInfo SimulatedFleet::DrawInfo(const std::string& id, const Endpoint& endpoint) {
  WorkerInfo info;
  info.id = id;
  info.service = "pool";
  info.endpoint = endpoint;
  info.capacity = {1000 * Between(2, 16), 1000 * Between(2, 16), Between(0, 2)};
  info.rack = "rack-" + std::to_string(Between(1, kRacks));
  info.failure_domain = DomainOf(info.rack);
  if (Chance(0.5)) info.labels.insert(kLabel);
  info.incarnation = next_incarnation_++;
  return info;
}

void SimulatedFleet::AddWorker() {
  AddWorkerAt({"10.0.0.1", static_cast<uint16_t>(1000 + next_worker_)});
}

void SimulatedFleet::AddWorkerAt(const Endpoint& endpoint) {
  SimulatedWorker& it = workers_[endpoint];
  it.info = DrawInfo("w" + std::to_string(next_worker_++), endpoint);
  it.booted = now_;
  it.clock_rate = 1 - 0.0001 * static_cast<double>(Between(0, 200));
  it.enforces_capacity = Chance(0.5);
  Register(it.info, MsBetween(0, 300));
}

void SimulatedFleet::Register(const WorkerInfo& info, Duration delay) {
  At(now_ + delay, [this, info] {
    const SimulatedWorker* worker = WorkerAt(info.endpoint);
    if (worker == nullptr || worker->info.incarnation != info.incarnation) return;
    store_.registry[info.id] = worker->info;
    At(now_ + kWatchDelay, [this, now_registered = worker->info] {
      ForOwners([&](SimulatedOwner* it) {
        if (it->watches_registry) Update(it, now_registered);
      });
    });
  });
}

void SimulatedFleet::Deregister(const std::string& id, Duration delay) {
  At(now_ + delay, [this, id] {
    store_.registry.erase(id);
    At(now_ + kWatchDelay, [this, id] {
      ForOwners([&](SimulatedOwner* it) {
        if (it->watches_registry) it->dispatcher.DeregisterWorker(id, now_);
      });
    });
  });
}

SimulatedWorker* SimulatedFleet::AnyWorker() {
  if (workers_.empty()) return nullptr;
  auto it = workers_.begin();
  std::advance(it, Between(0, static_cast<int64_t>(workers_.size()) - 1));
  return &it->second;
}

void SimulatedFleet::MakeTroubles(const Troubles& troubles) {
  const auto happens = [this](double per_second) {
    return per_second > 0 && Chance(per_second * static_cast<double>(Ms(kTick)) / 1000);
  };
  if (happens(troubles.restarts)) Restart(AnyWorker());
  if (happens(troubles.silences)) AnyWorker()->silent_until = now_ + MsBetween(300, 9000);
  if (happens(troubles.unhealthy)) AnyWorker()->unhealthy_until = now_ + MsBetween(100, 3000);
  if (happens(troubles.poisoned)) AnyWorker()->poisoned_until = now_ + MsBetween(100, 3000);
  if (happens(troubles.registry_gaps)) {
    const WorkerInfo info = AnyWorker()->info;
    Deregister(info.id, Duration::zero());
    Register(info, MsBetween(200, 5000));
  }
  if (happens(troubles.leaves)) {
    SimulatedWorker* worker = AnyWorker();
    const bool leaving = worker->leaves_at != TimePoint::max();
    if (!leaving) {
      worker->info.draining = Chance(0.7);
      worker->leaves_at = now_ + MsBetween(500, 5000);
      if (worker->info.draining) Register(worker->info, Duration::zero());
      AddWorker();
    }
  }
  if (happens(troubles.takeovers) && !IsStoreDown()) TakeOver(Chance(0.5));
  if (happens(troubles.outages)) StopStore();
  if (happens(troubles.evacuations)) {
    Evacuate(DomainOf("rack-" + std::to_string(Between(1, kRacks))), MsBetween(500, 8000));
  }
  if (happens(troubles.slowdowns)) AnyWorker()->slow_until = now_ + MsBetween(2000, 10000);
  if (happens(troubles.recuts)) Recut(AnyWorker());
  TakeOverIfDue();
  if (happens(troubles.cancels) && !store_.jobs.empty()) {
    auto it = store_.jobs.begin();
    std::advance(it, Between(0, static_cast<int64_t>(store_.jobs.size()) - 1));
    Cancel(it->first);
  }
}

void SimulatedFleet::EndTroubles() {
  store_down_until_ = std::min(store_down_until_, now_);
  if (takeover_at_) takeover_at_ = now_;
  TakeOverIfDue();
  for (auto& [endpoint, it] : workers_) {
    it.silent_until = std::min(it.silent_until, now_);
    it.unhealthy_until = std::min(it.unhealthy_until, now_);
    it.poisoned_until = std::min(it.poisoned_until, now_);
    it.slow_until = std::min(it.slow_until, now_);
    it.cut_by_start = Duration::zero();
  }
}

void SimulatedFleet::AdvanceWorkers() {
  for (auto it = workers_.begin(); it != workers_.end();) {
    if (now_ < it->second.leaves_at) {
      SlowDown(&it->second, kTick, now_);
      Advance(&it->second, now_);
      ++it;
      continue;
    }
    Deregister(it->second.info.id, MsBetween(0, 3000));
    it = workers_.erase(it);
  }
  AdvanceGangs();
}

// The members of a gang work while all of one run are active, and end together.
void SimulatedFleet::AdvanceGangs() {
  using Gang = std::tuple<std::string, int, int, int64_t>;
  std::map<Gang, std::vector<std::pair<SimulatedWorker*, RunId>>> gangs;
  for (auto& [endpoint, worker] : workers_) {
    for (const auto& [id, it] : worker.active) {
      if (!it.step.gang) continue;
      gangs[{id.task.job, id.task.occurrence, id.task.step, id.run}].emplace_back(&worker, id);
    }
  }
  for (auto it = complete_gangs_.begin(); it != complete_gangs_.end();) {
    it = gangs.count(it->first) == 0 ? complete_gangs_.erase(it) : std::next(it);
  }
  for (const auto& [gang, members] : gangs) {
    const SimulatedRun& first = members[0].first->active.at(members[0].second);
    const bool all = static_cast<int>(members.size()) == first.step.replicas;
    const auto complete = complete_gangs_.find(gang);
    if (complete == complete_gangs_.end() && all) {
      complete_gangs_[gang] = now_ + first.work;
      continue;
    }
    const bool fails = std::any_of(members.begin(), members.end(), [](const auto& it) {
      return it.first->active.at(it.second).fails;
    });
    std::optional<EndKind> end;
    if (complete != complete_gangs_.end() && !all) end = EndKind::kGangBroken;
    if (complete != complete_gangs_.end() && all && now_ >= complete->second) {
      end = fails ? EndKind::kFailed : EndKind::kDone;
    }
    for (const auto& [worker, id] : members) {
      const bool alone =
          complete == complete_gangs_.end() && now_ - worker->active.at(id).began >= kGangTimeout;
      if (end || alone) EndRun(worker, id, end.value_or(EndKind::kGangIncomplete), now_);
    }
  }
}

}  // namespace pomelopond::dispatch
