#include "apps/scheduler/shard_runner.h"

#include <algorithm>

#include "base/log.h"
#include "base/random_id.h"
#include "base/result_code.h"
#include "membership/shard_assignment.h"

namespace pomelopond::apps {
namespace {

constexpr size_t kMaxGrants = 500;  // in one record, which bounds its size
constexpr int64_t kRecordsPerSnapshot = 500;
constexpr Duration kExchangeTick = std::chrono::milliseconds(20);
constexpr Duration kResolvePause = std::chrono::milliseconds(200);

}  // namespace

ShardRunner::ShardRunner(const EntrySettings& settings, std::string shard, store::ShardLog log,
                         planning::ShardState state, bool owner_stopped, metrics::Registry* metrics)
    : settings_(settings),
      shard_(std::move(shard)),
      log_(std::move(log)),
      metrics_(metrics),
      state_(std::move(state)),
      unknown_lease_(owner_stopped ? planning::LeaseEnd(Now(), settings.lease_ttl)
                                   : planning::kUnknownLease),
      epoch_(log_.epoch()) {}

ShardRunner::~ShardRunner() { Stop(false); }

void ShardRunner::Start() {
  planner_ = planning::MakePlanner(state_, Rooms(), {});
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
  for (const Request& it : left) it.decided(ResultCode::kStopping);
  if (!running || !release || replaced() || log_.pending()) return;
  const std::error_code ec = log_.Release(RandomId());
  Log(LogLevel::kInfo, "shard", "released", {{"shard", shard_}, {"result", ec.message()}});
}

void ShardRunner::SetHosts(const membership::HostList& hosts) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [id, worker] : workers_) worker.usable = false;
  for (const auto& [id, host] : hosts.hosts) {
    if (membership::ShardOf(host) != shard_) continue;
    const bool known = workers_.count(id) != 0;
    Worker& worker = workers_[id];
    if (!known) {
      worker.session.host = id;
      worker.session.lease_end = unknown_lease_;
      worker.client = std::make_shared<http::HttpClient>(host.worker);
    }
    worker.capacity = host.capacity;
    worker.rack = host.rack;
    worker.failure_domain = host.failure_domain;
    worker.usable = host.state == membership::HostState::kLive;
  }
}

void ShardRunner::OwnerStopped(TimePoint now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (unknown_lease_ != planning::kUnknownLease) return;
  unknown_lease_ = planning::LeaseEnd(now, settings_.lease_ttl);
  for (auto& [id, worker] : workers_) {
    if (worker.session.lease_end == planning::kUnknownLease) {
      worker.session.lease_end = unknown_lease_;
    }
  }
}

void ShardRunner::Accept(planning::JobSpec spec, const Decided& decided) {
  std::error_code ec;
  bool done = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = state_.jobs.find(spec.id);
    if (it != state_.jobs.end()) {
      done = true;
      if (it->second != spec) ec = ResultCode::kConflict;
    } else if (stopping_.load() || replaced()) {
      done = true;
      ec = ResultCode::kNotOwner;
    } else if (!workers_.empty() && !planning::CanEverRun(spec, Rooms())) {
      done = true;
      ec = ResultCode::kUnschedulable;
    } else {
      requests_.push_back({planning::AcceptEvent(std::move(spec)), decided});
    }
  }
  changed_.notify_all();
  if (done) decided(ec);
}

void ShardRunner::Cancel(const std::string& job, const Decided& decided) {
  std::error_code ec;
  bool done = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (state_.jobs.count(job) == 0) {
      done = true;
      ec = ResultCode::kNotFound;
    } else {
      requests_.push_back({planning::CancelEvent(job), decided});
    }
  }
  changed_.notify_all();
  if (done) decided(ec);
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
    if (health == planning::WorkerHealth::kGood) continue;
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

std::vector<planning::HostRoom> ShardRunner::Rooms() const {
  std::vector<planning::HostRoom> rooms;
  for (const auto& [id, worker] : workers_) {
    const bool usable =
        worker.usable && worker.session.confirmed && planning::MayGrant(health_, id);
    const bool probed = planning::HealthOf(health_, id) == planning::WorkerHealth::kProbing;
    rooms.push_back({id, worker.capacity, usable, worker.rack, worker.failure_domain, probed});
  }
  return rooms;
}

void ShardRunner::AddRequests(Batch* batch) {
  std::map<std::string, planning::JobSpec> accepted;  // in this batch
  std::vector<Request> requests;
  requests.swap(requests_);
  for (Request& it : requests) {
    const bool accept = it.event.type == planning::EventType::kAccept;
    const bool repeated = accept && (!accepted.emplace(it.event.spec.id, it.event.spec).second ||
                                     state_.jobs.count(it.event.spec.id) != 0);
    // A repeat waits for the next batch, where it meets the first one's result.
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
  batch.events.swap(reports_);
  for (auto& [id, worker] : workers_) {
    if (worker.reported > worker.session.known) batch.reported[id] = worker.reported;
    for (planning::Event& it : planning::OnLeaseEnd(state_, worker.session, now)) {
      batch.events.push_back(std::move(it));
    }
  }
  AddRequests(&batch);
  planning::Advance(&health_, now);
  ExcuseFailures(&batch);
  for (const planning::HostRoom& it : Rooms()) planning::SetHost(&planner_, it);
  for (planning::Event& it : planning::PlaceTasks(state_, &planner_, kMaxGrants, now)) {
    batch.events.push_back(std::move(it));
  }
  return batch;
}

// A failure on a bad worker is journalled as a stop, so that it uses up none of the task's
// attempts.
void ShardRunner::ExcuseFailures(Batch* batch) {
  for (planning::Event& it : batch->events) {
    if (it.type != planning::EventType::kFailed) continue;
    const auto task = state_.tasks.find(it.task);
    if (task == state_.tasks.end()) continue;
    if (planning::CountsAgainstTask(health_, task->second.host)) continue;
    it.type = planning::EventType::kStopped;
    batch->excused.insert(it.task);
  }
}

// Applies a journalled event and notes what it says of the health of its worker and task.
void ShardRunner::Follow(const planning::Event& event, bool excused, TimePoint now) {
  const auto task = state_.tasks.find(event.task);
  const std::string host = task == state_.tasks.end() ? std::string() : task->second.host;
  if (!planning::Apply(&state_, &planner_, event) || task == state_.tasks.end()) return;
  const bool failed = event.type == planning::EventType::kFailed || excused;
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
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  const Duration wait = planning::BackoffOf(health_, event.task, task->second.failures, draw);
  if (wait > Duration::zero()) planning::DelayTask(state_, &planner_, event.task, now + wait);
}

void ShardRunner::RunJournal() {
  while (!stopping_.load() && !replaced()) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait_for(lock, settings_.commit_interval);
    }
    const Batch batch = TakeBatch(Now());
    if (batch.events.empty() && batch.requests.empty()) continue;
    Commit(batch);
    if (replaced() || log_.pending()) continue;
    if (log_.position() - log_.snapshot_position() < kRecordsPerSnapshot) continue;
    std::string snapshot;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      snapshot = planning::EncodeSnapshot(state_);
    }
    const std::error_code ec = log_.Compact(snapshot, RandomId());
    if (ec == ResultCode::kNotOwner || ec == ResultCode::kOutcomeUnknown) Drop();
  }
}

void ShardRunner::Commit(const Batch& batch) {
  std::error_code ec;
  if (!batch.events.empty()) {
    ec = log_.Append(planning::EncodeEvents(batch.events), RandomId());
  }
  // Nothing else may be decided before this record's fate is known.
  while (ec == ResultCode::kStoreAnswerLost && !stopping_.load()) {
    std::this_thread::sleep_for(kResolvePause);
    ec = log_.Resolve();
  }
  if (ec == ResultCode::kNotOwner || ec == ResultCode::kOutcomeUnknown) Drop();
  Complete(batch, ec);
}

void ShardRunner::Complete(const Batch& batch, std::error_code ec) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    store_ok_ = !ec;
    if (!ec) {
      const TimePoint now = Now();
      for (const planning::Event& it : batch.events) {
        Follow(it, batch.excused.count(it.task) != 0, now);
      }
      for (const auto& [host, sequence] : batch.reported) {
        workers_[host].session.known = sequence;
        workers_[host].last_sent = TimePoint{};  // tell the worker soon
      }
    } else {
      // Reports that were not journalled are asked for again.
      for (const auto& [host, sequence] : batch.reported) {
        workers_[host].reported = workers_[host].session.known;
      }
    }
    for (const planning::Event& it : batch.events) {
      if (it.type != planning::EventType::kGrant) continue;
      workers_[it.host].last_sent = TimePoint{};
    }
  }
  metrics_->Count("journal_records_total");
  const bool unknown = ec == ResultCode::kStoreAnswerLost;
  for (const Request& it : batch.requests) {
    it.decided(unknown ? std::error_code(ResultCode::kOutcomeUnknown) : ec);
  }
}

void ShardRunner::Drop() {
  if (replaced_.exchange(true)) return;
  Log(LogLevel::kWarn, "shard", "replaced", {{"shard", shard_}, {"epoch", epoch_}});
}

void ShardRunner::RunExchanges() {
  while (!stopping_.load() && !replaced()) {
    const TimePoint now = Now();
    std::vector<std::string> due;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const auto& [id, worker] : workers_) {
        if (worker.in_flight) continue;
        if (now - worker.last_sent >= settings_.exchange_interval) due.push_back(id);
      }
    }
    for (const std::string& it : due) Exchange(it, now);
    std::this_thread::sleep_for(kExchangeTick);
  }
  // Answers still on their way refer to this object.
  for (;;) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const bool waiting = std::any_of(workers_.begin(), workers_.end(),
                                       [](const auto& it) { return it.second.in_flight; });
      if (!waiting) return;
    }
    std::this_thread::sleep_for(kExchangeTick);
  }
}

void ShardRunner::Exchange(const std::string& host, TimePoint now) {
  http::HttpRequest request;
  std::shared_ptr<http::HttpClient> client;
  int64_t sequence = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Worker& worker = workers_[host];
    const planning::ExchangeRequest exchange = planning::MakeExchange(
        state_, shard_, epoch_, settings_.lease_ttl, worker.acks, &worker.session);
    worker.in_flight = true;
    worker.last_sent = now;
    client = worker.client;
    sequence = exchange.sequence;
    request.body = planning::ToJson(exchange).dump();
  }
  request.method = "POST";
  request.path = "/v1/exchange";
  request.headers["Content-Type"] = "application/json";
  client->Send(std::move(request), settings_.exchange_interval * 2,
               [this, host, sequence](const http::HttpResult& result) {
                 OnExchange(host, sequence, result);
               });
}

void ShardRunner::OnExchange(const std::string& host, int64_t sequence,
                             const http::HttpResult& result) {
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
    if (reply.code == 0 && worker.session.known >= worker.reported) {
      worker.acks = std::move(decision.acks);
      worker.reported = reply.report_sequence;
      for (planning::Event& it : decision.events) reports_.push_back(std::move(it));
    }
  }
  (void)sequence;
  if (replaced_by_other) Drop();
  changed_.notify_all();
}

}  // namespace pomelopond::apps
