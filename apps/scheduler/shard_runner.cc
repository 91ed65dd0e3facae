#include "apps/scheduler/shard_runner.h"

#include <algorithm>
#include <iterator>

#include "base/log.h"
#include "base/random_id.h"
#include "base/result_code.h"
#include "membership/shard_assignment.h"
#include "planning/release_jobs.h"

namespace pomelopond::apps {
namespace {

// Limit of stops per drained host in one record, so that a drain does not delay other decisions.
constexpr size_t kMaxDrainStops = 50;
constexpr size_t kMaxGrants = 500;  // limit in one record
// These limits bound a record to 512 KiB: with ids of the maximum length, a task event takes at
// most 160 bytes, a grant 290 bytes and an acceptance kMaxSpecBytes.
constexpr size_t kMaxReportedEvents = 1500;
constexpr size_t kMaxRequests = 100;
// Upper bound of the time between two confirmations of the ownership without appends.
constexpr Duration kConfirmInterval = std::chrono::seconds(10);
constexpr int64_t kRecordsPerSnapshot = 500;
constexpr Duration kExchangePollInterval = std::chrono::milliseconds(20);
constexpr Duration kResolveInterval = std::chrono::milliseconds(200);

// Counts grants, stops and completions of tasks in the metrics that the report shows.
void CountEvents(const std::vector<planning::Event>& events, metrics::Registry* metrics) {
  int64_t grants = 0;
  int64_t stops = 0;
  int64_t finished = 0;
  for (const planning::Event& it : events) {
    grants += it.type == planning::EventType::kGrant ? 1 : 0;
    stops += it.type == planning::EventType::kStop ? 1 : 0;
    finished += it.type == planning::EventType::kFinished ? 1 : 0;
  }
  metrics->Count("task_grants_total", grants);
  metrics->Count("task_evictions_total", stops);
  metrics->Count("task_finished_total", finished);
}

}  // namespace

ShardRunner::ShardRunner(const EntrySettings& settings, std::string shard, store::ShardLog log,
                         planning::ShardState state, std::vector<store::OwnerId> unproved,
                         TimePoint takeover_sent, StoreAvailability* store_availability,
                         metrics::Registry* metrics)
    : settings_(settings),
      shard_(std::move(shard)),
      log_(std::move(log)),
      store_availability_(store_availability),
      metrics_(metrics),
      hold_limit_end_(planning::LeaseEnd(Now(), settings.hold_limit)),
      state_(std::move(state)),
      unproved_(std::move(unproved)),
      previous_leases_end_(unproved_.empty() ? planning::LeaseEnd(Now(), settings.lease_ttl)
                                             : planning::kUnknownLease),
      ownership_confirmed_(takeover_sent),
      epoch_(log_.epoch()) {}

ShardRunner::~ShardRunner() { Stop(false); }

void ShardRunner::Start() {
  planner_ = planning::MakePlanner(state_, PlacementHosts(), {});
  journal_thread_ = std::thread([this] { RunJournal(); });
  exchange_thread_ = std::thread([this] { RunExchanges(); });
}

void ShardRunner::Stop(bool release) {
  stopping_.store(true);
  changed_.notify_all();
  const bool running = journal_thread_.joinable();
  if (running) journal_thread_.join();
  if (exchange_thread_.joinable()) exchange_thread_.join();
  std::vector<Request> left;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    left.swap(requests_);
  }
  for (const Request& it : left) it.callback(ResultCode::kStopping);
  if (!running || !release || replaced() || log_.pending()) return;
  log_.SetUnproved(unproved());
  const std::error_code ec = log_.Release(RandomId());
  Log(LogLevel::kInfo, "shard", "released", {{"shard", shard_}, {"result", ec.message()}});
}

void ShardRunner::SetHosts(const membership::HostList& hosts) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [id, worker] : workers_) {
    worker.usable = false;
    worker.draining = false;
  }
  for (const auto& [id, host] : hosts.hosts) {
    if (membership::ShardOf(host) != shard_) continue;
    const bool known = workers_.count(id) != 0;
    Worker& worker = workers_[id];
    if (!known) {
      worker.session.host = id;
      worker.session.lease_end = previous_leases_end_;
      worker.client = std::make_shared<http::HttpClient>(host.worker);
    }
    worker.capacity = host.capacity;
    worker.rack = host.rack;
    worker.failure_domain = host.failure_domain;
    worker.usable = host.state == membership::HostState::kLive;
    worker.draining = host.state == membership::HostState::kLeaving;
  }
}

void ShardRunner::Halt() {
  const std::lock_guard<std::mutex> lock(mutex_);
  halted_.store(true);
}

void ShardRunner::MarkReplaced() {
  Halt();
  if (replaced_.exchange(true)) return;
  Log(LogLevel::kWarn, "shard", "replaced", {{"shard", shard_}, {"epoch", epoch_}});
}

std::vector<store::OwnerId> ShardRunner::unproved() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return unproved_;
}

void ShardRunner::OnOwnerStopped(const store::OwnerId& owner, TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = std::find(unproved_.begin(), unproved_.end(), owner);
  if (it == unproved_.end()) return;
  unproved_.erase(it);
  Log(LogLevel::kInfo, "shard", "owner_stopped",
      {{"shard", shard_}, {"epoch", epoch_}, {"owner", owner.host}});
  if (unproved_.empty()) ClearUnprovedOwners(now);
}

void ShardRunner::ClearUnprovedOwners(TimePoint now) {
  unproved_.clear();
  previous_leases_end_ = planning::LeaseEnd(now, settings_.lease_ttl);
  for (auto& [id, worker] : workers_) {
    if (worker.session.lease_end == planning::kUnknownLease) {
      worker.session.lease_end = previous_leases_end_;
    }
  }
}

void ShardRunner::Accept(planning::JobSpec spec, const OutcomeCallback& callback) {
  std::error_code ec;
  bool done = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = state_.jobs.find(spec.id);
    if (it != state_.jobs.end()) {
      done = true;
      if (it->second != spec) ec = ResultCode::kConflict;
    } else if (unresolved_jobs_.count(spec.id) != 0) {
      // The caller must not be told that the job was not accepted: the earlier call with this id
      // may still take effect.
      done = true;
      ec = ResultCode::kOutcomeUnknown;
    } else if (!IsActive()) {
      done = true;
      ec = ResultCode::kNotOwner;
    } else if (!store_availability_->IsAvailable()) {
      done = true;
      ec = ResultCode::kStoreUnavailable;
    } else if (!workers_.empty() && !planning::CanEverRun(spec, PlacementHosts())) {
      done = true;
      ec = ResultCode::kUnschedulable;
    } else {
      requests_.push_back({planning::AcceptEvent(std::move(spec)), callback});
    }
  }
  changed_.notify_all();
  if (done) callback(ec);
}

void ShardRunner::SetQuotas(std::map<std::string, planning::TeamQuota> quotas) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (quotas == quotas_) return;
  quotas_ = std::move(quotas);
  quotas_changed_ = true;
}

void ShardRunner::ApplyRelease(const std::vector<planning::JobSpec>& wanted, int64_t version) {
  planning::ReleaseJobChanges changes;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    changes = planning::CompareWithRelease(state_, wanted, version);
  }
  const auto log = [this](const char* event, const std::string& job) {
    return [shard = shard_, event, job](std::error_code ec) {
      Log(ec ? LogLevel::kWarn : LogLevel::kInfo, "release", event,
          {{"shard", shard}, {"job", job}, {"result", ec.message()}});
    };
  };
  for (planning::JobSpec& it : changes.accept) {
    const std::string job = it.id;
    Accept(std::move(it), log("job_added", job));
  }
  for (const std::string& it : changes.cancel) Cancel(it, log("job_withdrawn", it));
}

void ShardRunner::Cancel(const std::string& job, const OutcomeCallback& callback) {
  std::error_code ec;
  bool done = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (state_.jobs.count(job) == 0) {
      done = true;
      ec = unresolved_jobs_.count(job) != 0 ? ResultCode::kOutcomeUnknown : ResultCode::kNotFound;
    } else if (!IsActive()) {
      done = true;
      ec = ResultCode::kNotOwner;
    } else if (!store_availability_->IsAvailable()) {
      done = true;
      ec = ResultCode::kStoreUnavailable;
    } else {
      requests_.push_back({planning::CancelEvent(job), callback});
    }
  }
  changed_.notify_all();
  if (done) callback(ec);
}

Json ShardRunner::Describe(const std::string& job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto spec = state_.jobs.find(job);
  if (spec == state_.jobs.end()) return nullptr;
  Json tasks = Json::array();
  for (int64_t n = 0; n < spec->second.count; ++n) {
    const planning::Task& task = state_.tasks.at(planning::TaskId(job, n));
    tasks.push_back({{"id", task.id},
                     {"state", planning::TaskStateName(task.state)},
                     {"host", task.host},
                     {"attempt", task.attempt},
                     {"checkpoint", task.checkpoint}});
  }
  return {{"job", planning::ToJson(spec->second)},
          {"shard", shard_},
          {"tasks", tasks},
          {"waits", planning::WaitReasonName(planning::WaitReasonOf(planner_, job))}};
}

Json ShardRunner::Summary() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, int64_t> states;
  for (const auto& [id, task] : state_.tasks) states[planning::TaskStateName(task.state)] += 1;
  int64_t confirmed = 0;
  Json unhealthy = Json::object();
  for (const auto& [id, worker] : workers_) {
    confirmed += worker.session.confirmed ? 1 : 0;
    const planning::WorkerHealth health = planning::HealthOf(health_, id);
    if (health == planning::WorkerHealth::kHealthy) continue;
    unhealthy[id] = planning::WorkerHealthName(health);
  }
  return {{"shard", shard_},
          {"epoch", epoch_},
          {"jobs", state_.jobs.size()},
          {"tasks", states},
          {"hosts", workers_.size()},
          {"hosts_confirmed", confirmed},
          {"hosts_unhealthy", unhealthy},
          {"store_ok", store_ok_}};
}

std::vector<planning::PlacementHost> ShardRunner::PlacementHosts() const {
  std::vector<planning::PlacementHost> placement_hosts;
  // A worker that has not answered for half a lease gets no new tasks. A grant to it would expire
  // with the lease, be repeated on the same host and never run.
  const TimePoint now = Now();
  for (const auto& [id, worker] : workers_) {
    const bool answers =
        worker.session.confirmed && now - worker.session.clock_received <= settings_.lease_ttl / 2;
    const bool usable = worker.usable && answers && planning::MayGrant(health_, id);
    const bool probing = planning::HealthOf(health_, id) == planning::WorkerHealth::kProbing;
    placement_hosts.push_back(
        {id, worker.capacity, usable, worker.rack, worker.failure_domain, probing});
  }
  return placement_hosts;
}

void ShardRunner::AddRequests(Batch* batch) {
  std::map<std::string, planning::JobSpec> accepted;  // job specs accepted in this batch, by id
  std::vector<Request> requests;
  const size_t taken = std::min(requests_.size(), kMaxRequests);
  const auto end = requests_.begin() + static_cast<std::ptrdiff_t>(taken);
  std::move(requests_.begin(), end, std::back_inserter(requests));
  requests_.erase(requests_.begin(), end);
  for (Request& it : requests) {
    const bool accept = it.event.type == planning::EventType::kAccept;
    const bool repeated = accept && (!accepted.emplace(it.event.spec.id, it.event.spec).second ||
                                     state_.jobs.count(it.event.spec.id) != 0);
    // A repeated acceptance waits for the next batch, which knows the outcome of the first one.
    if (repeated && state_.jobs.count(it.event.spec.id) == 0) {
      requests_.push_back(std::move(it));
      continue;
    }
    if (!repeated) batch->events.push_back(it.event);
    batch->requests.push_back(std::move(it));
  }
}

ShardRunner::Batch ShardRunner::TakeBatch(TimePoint now) {
  Batch batch;
  const std::lock_guard<std::mutex> lock(mutex_);
  const size_t taken = std::min(reported_events_.size(), kMaxReportedEvents);
  const auto end = reported_events_.begin() + static_cast<std::ptrdiff_t>(taken);
  std::move(reported_events_.begin(), end, std::back_inserter(batch.events));
  reported_events_.erase(reported_events_.begin(), end);
  for (auto& [id, worker] : workers_) {
    // A worker's answer counts as journalled only if all its events are in this batch or an earlier
    // one.
    if (reported_events_.empty() && worker.journal_pending) {
      batch.reported[id] = {worker.reported_sequence, worker.reported_incarnation};
    }
    for (planning::Event& it : planning::OnLeaseEnd(state_, worker.session, now)) {
      // The next batch derives the remaining events from the state again.
      if (batch.events.size() >= kMaxReportedEvents) break;
      batch.events.push_back(std::move(it));
    }
  }
  AddRequests(&batch);
  for (const auto& [id, worker] : workers_) {
    if (!worker.draining) continue;
    for (planning::Event& it : planning::DrainHost(state_, id, kMaxDrainStops)) {
      // An attempt whose end is already in this batch needs no stop.
      if (pending_event_tasks_.count(it.task) == 0) batch.events.push_back(std::move(it));
    }
  }
  planning::Advance(&health_, now);
  ConvertWorkerFaults(&batch);
  if (quotas_changed_) {
    // No grant is being journalled at this point, so the state contains all grants and the planner
    // can be rebuilt from it.
    quotas_changed_ = false;
    planning::PlacementSettings settings;
    settings.quotas = quotas_;
    planner_ = planning::MakePlanner(state_, PlacementHosts(), settings);
  }
  for (const planning::PlacementHost& it : PlacementHosts()) planning::SetHost(&planner_, it);
  for (planning::Event& it : planning::PlaceTasks(state_, &planner_, kMaxGrants, now)) {
    batch.events.push_back(std::move(it));
  }
  for (const planning::Event& it : batch.events) pending_event_tasks_.insert(it.task);
  return batch;
}

// Converts failures that are the worker's fault to stops before they are journalled, so that they
// do not use up the task's attempts.
void ShardRunner::ConvertWorkerFaults(Batch* batch) {
  for (planning::Event& it : batch->events) {
    if (it.type != planning::EventType::kFailed) continue;
    const auto task = state_.tasks.find(it.task);
    if (task == state_.tasks.end()) continue;
    if (planning::CountsAgainstTask(health_, task->second.host)) continue;
    it.type = planning::EventType::kStopped;
    batch->worker_faults.insert(it.task);
  }
}

// Applies a journalled event to the state and the planner, and records in the health table what it
// shows about its worker and task.
void ShardRunner::ApplyEvent(const planning::Event& event, bool worker_fault, TimePoint now) {
  const auto task = state_.tasks.find(event.task);
  const std::string host = task == state_.tasks.end() ? std::string() : task->second.host;
  if (!planning::Apply(&state_, &planner_, event) || task == state_.tasks.end()) return;
  const bool failed = event.type == planning::EventType::kFailed || worker_fault;
  if (event.type == planning::EventType::kGrant) {
    planning::AddGrant(&health_, event.host, event.task);
  } else if (event.type == planning::EventType::kFinished) {
    planning::AddSuccess(&health_, host, event.task);
  } else if (event.type == planning::EventType::kStopped && !failed) {
    planning::AddStop(&health_, host, event.task);
  }
  if (!failed) return;
  const planning::WorkerHealth before = planning::HealthOf(health_, host);
  planning::AddFailure(&health_, host, event.task, now);
  if (planning::HealthOf(health_, host) != before) {
    Log(LogLevel::kWarn, "shard", "worker_health",
        {{"shard", shard_},
         {"host", host},
         {"health", planning::WorkerHealthName(planning::HealthOf(health_, host))}});
  }
  if (task->second.state != planning::TaskState::kPending) return;
  planning::AvoidHost(&planner_, event.task, host);
  const double jitter = std::uniform_real_distribution<double>(0, 1)(random_);
  const Duration wait = planning::BackoffOf(health_, event.task, task->second.failures, jitter);
  if (wait > Duration::zero()) planning::DelayTask(state_, &planner_, event.task, now + wait);
}

void ShardRunner::RunJournal() {
  while (IsActive()) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait_for(lock, settings_.commit_interval);
      if (Now() > hold_limit_end_ && !unproved_.empty()) ClearUnprovedOwners(Now());
    }
    if (!store_availability_->IsAvailable()) {
      RefuseRequests(ResultCode::kStoreUnavailable);
      continue;
    }
    const Batch batch = TakeBatch(Now());
    if (batch.events.empty() && batch.requests.empty()) {
      if (!batch.reported.empty()) Complete(batch, {});
      ConfirmOwnership();
      continue;
    }
    Commit(batch);
    CompactIfNeeded();
  }
}

void ShardRunner::CompactIfNeeded() {
  if (!IsActive() || log_.pending()) return;
  if (log_.position() - log_.snapshot_position() < kRecordsPerSnapshot) return;
  std::string snapshot;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    snapshot = planning::EncodeSnapshot(state_);
  }
  log_.SetUnproved(unproved());
  // Waits for the outcome of this write, since an append before that would compare with an outdated
  // head.
  const std::error_code ec = ResolveWrite(log_.Compact(snapshot, RandomId()), nullptr);
  if (ec == ResultCode::kNotOwner || ec == ResultCode::kOutcomeUnknown) MarkReplaced();
}

// Checks in the store that this process still owns the shard. An owner may renew leases only
// until hold_limit after the store last showed its ownership. Appends show it; an owner without
// appends needs this check.
void ShardRunner::ConfirmOwnership() {
  const TimePoint now = Now();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (now - ownership_confirmed_ < std::min(kConfirmInterval, settings_.hold_limit / 4)) return;
  }
  const std::error_code ec = log_.VerifyOwnership();
  if (ec == ResultCode::kNotOwner) return MarkReplaced();
  if (ec) return store_availability_->MarkUnavailable();
  const std::lock_guard<std::mutex> lock(mutex_);
  ownership_confirmed_ = now;
}

// Waits until the outcome of a write is known, because nothing else may be journalled before that.
// The callers of its requests are told that the outcome is unknown, so that they need not wait for
// the end of an outage.
std::error_code ShardRunner::ResolveWrite(std::error_code ec, Batch* batch) {
  if (ec == ResultCode::kStoreUnavailable) store_availability_->MarkUnavailable();
  if (ec == ResultCode::kStoreAnswerLost) {
    store_availability_->MarkUnavailable();
    if (batch != nullptr) AnswerOutcomeUnknown(batch);
  }
  while (ec == ResultCode::kStoreAnswerLost && IsActive()) {
    std::this_thread::sleep_for(kResolveInterval);
    RefuseRequests(ResultCode::kStoreUnavailable);
    if (!store_availability_->IsAvailable()) continue;
    ec = log_.Resolve();
    if (ec == ResultCode::kStoreAnswerLost) store_availability_->MarkUnavailable();
  }
  return ec;
}

void ShardRunner::AnswerOutcomeUnknown(Batch* batch) {
  std::vector<Request> requests;
  requests.swap(batch->requests);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Request& it : requests) {
      const bool accept = it.event.type == planning::EventType::kAccept;
      unresolved_jobs_.insert(accept ? it.event.spec.id : it.event.job);
    }
  }
  for (const Request& it : requests) it.callback(ResultCode::kOutcomeUnknown);
}

void ShardRunner::RefuseRequests(std::error_code ec) {
  std::vector<std::pair<OutcomeCallback, std::error_code>> answers;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Request& it : requests_) {
      const bool accept = it.event.type == planning::EventType::kAccept;
      const bool unresolved = unresolved_jobs_.count(accept ? it.event.spec.id : it.event.job) != 0;
      answers.emplace_back(it.callback,
                           unresolved ? std::error_code(ResultCode::kOutcomeUnknown) : ec);
    }
    requests_.clear();
  }
  for (const auto& [callback, answer] : answers) callback(answer);
}

void ShardRunner::Commit(const Batch& taken) {
  Batch batch = taken;
  const TimePoint now = Now();
  std::error_code ec;
  if (!batch.events.empty()) {
    log_.SetUnproved(unproved());
    ec = ResolveWrite(log_.Append(planning::EncodeEvents(batch.events), RandomId()), &batch);
  }
  if (ec == ResultCode::kNotOwner || ec == ResultCode::kOutcomeUnknown) MarkReplaced();
  if (!ec && !batch.events.empty()) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ownership_confirmed_ = now;
  }
  Complete(batch, ec);
}

void ShardRunner::Complete(const Batch& batch, std::error_code ec) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    store_ok_ = !ec;
    if (!ec) {
      const TimePoint now = Now();
      for (const planning::Event& it : batch.events) {
        ApplyEvent(it, batch.worker_faults.count(it.task) != 0, now);
      }
    }
    for (const auto& [host, reported] : batch.reported) {
      Worker& worker = workers_[host];
      worker.journal_pending = false;
      if (ec || worker.session.incarnation != reported.incarnation) continue;
      if (worker.session.known == reported.sequence) continue;
      worker.session.known = reported.sequence;
      worker.last_sent = TimePoint{};  // sends the new report position to the worker at once
    }
    if (ec) {
      // The workers repeat reports that were not journalled, since `known` was not advanced.
      reported_events_.clear();
      for (auto& [id, worker] : workers_) worker.journal_pending = false;
    }
    for (const planning::Event& it : batch.events) {
      if (it.type == planning::EventType::kGrant) workers_[it.host].last_sent = TimePoint{};
    }
    pending_event_tasks_.clear();
    for (const planning::Event& it : reported_events_) pending_event_tasks_.insert(it.task);
    unresolved_jobs_.clear();
  }
  metrics_->Count("journal_records_total");
  if (!ec) CountEvents(batch.events, metrics_);
  const bool unknown = ec == ResultCode::kStoreAnswerLost;
  for (const Request& it : batch.requests) {
    it.callback(unknown ? std::error_code(ResultCode::kOutcomeUnknown) : ec);
  }
}

void ShardRunner::RunExchanges() {
  while (IsActive()) {
    const TimePoint now = Now();
    std::vector<std::string> due;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      // After hold_limit, a later owner assumes that this owner has stopped renewing leases.
      const bool held_too_long = now - ownership_confirmed_ > settings_.hold_limit;
      for (const auto& [id, worker] : workers_) {
        if (worker.in_flight || held_too_long) continue;
        if (now - worker.last_sent >= settings_.exchange_interval) due.push_back(id);
      }
    }
    for (const std::string& it : due) Exchange(it, now);
    std::this_thread::sleep_for(kExchangePollInterval);
  }
  // Waits for the exchanges in flight, because their callbacks refer to this object.
  for (;;) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const bool waiting = std::any_of(workers_.begin(), workers_.end(),
                                       [](const auto& it) { return it.second.in_flight; });
      if (!waiting) return;
    }
    std::this_thread::sleep_for(kExchangePollInterval);
  }
}

void ShardRunner::Exchange(const std::string& host, TimePoint now) {
  http::HttpRequest request;
  std::shared_ptr<http::HttpClient> client;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (halted_.load()) return;
    Worker& worker = workers_[host];
    planning::ExchangeRequest exchange =
        planning::MakeExchange(state_, shard_, epoch_, settings_.lease_ttl, worker.acks,
                               pending_event_tasks_, &worker.session);
    for (const planning::AttemptId& it : worker.stale_attempts) exchange.stops.push_back(it);
    worker.in_flight = true;
    worker.last_sent = now;
    client = worker.client;
    request.body = planning::ToJson(exchange).dump();
  }
  request.method = "POST";
  request.path = "/v1/exchange";
  request.headers["Content-Type"] = "application/json";
  client->Send(std::move(request), settings_.exchange_interval * 2,
               [this, host](const http::HttpResult& result) { OnExchange(host, result); });
}

void ShardRunner::OnExchange(const std::string& host, const http::HttpResult& result) {
  FieldErrors errors;
  planning::ExchangeReply reply;
  bool usable = !result.ec && result.response.status == 200;
  if (usable) {
    const Result<Json> document = ParseJson(result.response.body);
    if (document.ok()) reply = planning::ReadExchangeReply(document.value, &errors);
    usable = document.ok() && errors.empty();
  }
  bool replaced_by_other = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Worker& worker = workers_[host];
    worker.in_flight = false;
    if (!usable) return;
    planning::ReplyDecision decision =
        planning::OnReply(state_, epoch_, reply, settings_.lease_ttl, Now(), &worker.session);
    replaced_by_other = worker.session.replaced;
    if (reply.code == 0 && !worker.journal_pending) {
      worker.acks = std::move(decision.acks);
      worker.stale_attempts = std::move(decision.stale_attempts);
      worker.journal_pending =
          !decision.events.empty() || reply.report_sequence != worker.session.known;
      worker.reported_sequence = reply.report_sequence;
      worker.reported_incarnation = reply.incarnation;
      for (planning::Event& it : decision.events) {
        pending_event_tasks_.insert(it.task);
        reported_events_.push_back(std::move(it));
      }
    }
  }
  if (replaced_by_other) MarkReplaced();
  changed_.notify_all();
}

}  // namespace pomelopond::apps
