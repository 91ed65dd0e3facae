#include "apps/scheduler/scheduler.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <vector>

#include "base/log.h"
#include "base/result_code.h"
#include "membership/rendezvous.h"
#include "membership/shard_assignment.h"

namespace pomelopond::apps {
namespace {

constexpr const char* kMemberPrefix = "member/scheduler/";
constexpr const char* kJobsPath = "/v1/jobs";
constexpr size_t kMaxSpecBytes = 1024;  // of an encoded job; bounds journal records
constexpr Duration kForwardTimeout = std::chrono::seconds(10);
constexpr Duration kRenewalPollInterval = std::chrono::milliseconds(100);
// Number of store calls assumed for a handover: members, head, takeover, snapshot and journal, with
// a reserve.
constexpr int64_t kHandoverCalls = 8;
// Time after a slow store call during which no shard is handed over.
constexpr Duration kSlowStoreHold = std::chrono::seconds(10);
constexpr Duration kMemberPollInterval = std::chrono::seconds(1);
// Readiness reports "degraded" if the last successful store read is older than this.
constexpr Duration kDegradedAfter = std::chrono::seconds(10);
// Upper bound of the random delay before a process calls the store again after a failure. It keeps
// the processes from reconnecting all at once after an outage.
constexpr Duration kMaxReconnectDelay = std::chrono::seconds(2);
constexpr Duration kFenceTimeout = std::chrono::milliseconds(300);
// A live owner hands over a shard within one or two polls. After this time, the next owner asks it
// whether it still owns the shard, since its handover record may have been lost.
constexpr Duration kHandoverTimeout = std::chrono::seconds(3);
constexpr const char* kFencePath = "/v1/fence";

// Returns the id in "/v1/jobs/<id>" or "/v1/jobs/<id>/cancel".
std::string JobIdOf(const std::string& path) {
  const std::string rest = path.substr(std::string(kJobsPath).size() + 1);
  return rest.substr(0, rest.find('/'));
}

// Returns whether the answer to a fence message proves that `owner` has stopped renewing leases.
bool FenceReplyProvesStopped(const store::OwnerId& owner, const http::HttpResult& result) {
  if (result.ec || result.response.status != 200) return false;
  const Result<Json> document = ParseJson(result.response.body);
  if (!document.ok()) return false;
  FieldErrors errors;
  JsonReader reader(document.value, "", &errors);
  const std::string incarnation = reader.String("incarnation");
  const bool stopped = reader.BoolOr("stopped", false);
  if (!errors.empty()) return false;
  // An answer by another process at the same address proves that the earlier process has ended.
  return stopped || incarnation != std::to_string(owner.incarnation);
}

ResultCode CodeOf(std::error_code ec) {
  if (ec.category() != ResultCategory()) return ResultCode::kInternal;
  return static_cast<ResultCode>(ec.value());
}

void ReplyWithOutcome(const http::Reply& reply, std::error_code ec, const std::string& job,
                      const std::string& shard) {
  if (ec) {
    return reply(http::ErrorResponse(CodeOf(ec), "job " + job + ": " + ec.message()));
  }
  http::HttpResponse response =
      http::JsonResponse(200, {{"job", job}, {"shard", shard}, {"accepted", true}});
  response.headers[http::kOutcomeHeader] = OutcomeName(Outcome::kDone);
  reply(std::move(response));
}

}  // namespace

Scheduler::Scheduler(const EntrySettings& settings, uint64_t incarnation)
    : settings_(settings),
      own_(LocalEntryHost(settings)),
      incarnation_(incarnation),
      store_(settings.store, settings.store_timeout),
      home_shards_(settings.store, settings.store_timeout, &store_availability_),
      random_(static_cast<std::minstd_rand::result_type>(incarnation)) {
  for (const EntryHost& it : settings.entry_hosts) {
    peers_[it.id] = std::make_shared<http::HttpClient>(it.scheduler);
  }
}

void Scheduler::UpdateHosts(const membership::HostList& hosts) {
  std::vector<std::shared_ptr<ShardRunner>> runners;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (hosts == hosts_) return;
    hosts_ = hosts;
    for (const auto& [shard, runner] : runners_) runners.push_back(runner);
  }
  for (const auto& it : runners) it->SetHosts(hosts);
}

void Scheduler::UpdateRelease(const release::Release& release) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (release.version <= release_.version) return;
  release_ = release;
  release_jobs_ = release::JobsOf(release);
}

void Scheduler::Start() {
  renewal_thread_ = std::thread([this] { RunRenewals(); });
}

void Scheduler::RunRenewals() {
  std::minstd_rand random(static_cast<unsigned>(incarnation_ >> 32));
  while (!stopping_.load()) {
    Duration pause = kRenewalPollInterval;
    if (!RenewMembership()) {
      std::uniform_int_distribution<int64_t> wait(0, kMaxReconnectDelay.count());
      pause = Duration(wait(random));
    }
    std::this_thread::sleep_for(pause);
  }
}

bool Scheduler::RenewMembership() {
  const TimePoint now = Now();
  if (lease_ != 0 && now < next_renewal_) return true;
  const std::error_code ec = lease_ == 0 ? ResultCode::kNotFound : store_.KeepAlive(lease_);
  if (!ec) {
    next_renewal_ = now + settings_.member_ttl / 3;
    return true;
  }
  if (ec != ResultCode::kNotFound) return false;
  lease_ = 0;
  const Result<int64_t> lease = store_.GrantLease(settings_.member_ttl);
  if (!lease.ok()) return false;
  store::Txn txn;
  txn.puts.push_back({kMemberPrefix + own_.id,
                      Json{{"host", own_.id}, {"incarnation", std::to_string(incarnation_)}}.dump(),
                      lease.value});
  const Result<store::TxnResult> put = store_.Commit(txn);
  if (!put.ok()) return false;
  lease_ = lease.value;
  next_renewal_ = now + settings_.member_ttl / 3;
  return true;
}

bool Scheduler::ReadMembers() {
  const Result<std::vector<store::KeyValue>> values = store_.List(kMemberPrefix, 0);
  if (!values.ok()) return false;
  std::map<std::string, Member> members;
  for (const store::KeyValue& it : values.value) {
    const Result<Json> document = ParseJson(it.value);
    if (!document.ok()) continue;
    FieldErrors errors;
    JsonReader reader(document.value, it.key, &errors);
    Member member;
    member.host = reader.String("host");
    member.incarnation = std::strtoull(reader.String("incarnation").c_str(), nullptr, 10);
    if (!errors.empty()) continue;
    members[member.host] = member;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  members_ = std::move(members);
  last_store_contact_ = Now();
  std::set<std::string> ids;
  for (const auto& [id, member] : members_) ids.insert(id);
  assignment_ = membership::AssignShards(membership::ShardsOf(hosts_), ids);
  return true;
}

void Scheduler::Tick(TimePoint now) {
  DropShards();
  if (now < next_read_) return;
  const TimePoint began = Now();
  if (!ReadMembers()) {
    store_availability_.MarkUnavailable();
    std::uniform_int_distribution<int64_t> wait(0, kMaxReconnectDelay.count());
    next_read_ = Now() + Duration(wait(random_));
    return;
  }
  store_availability_.MarkAvailable();
  // After an outage the members return one by one. Without this wait, shards would move to the
  // first members to return and back again.
  if (last_read_ != TimePoint{} && now - last_read_ > settings_.member_ttl) {
    stable_from_ = now + std::max(settings_.member_ttl, kMaxReconnectDelay * 2);
  }
  // A handover takes several store calls, during which no process renews the shard's leases. With a
  // slow store the leases would expire, so shards stay with their owners.
  if ((Now() - began) * kHandoverCalls > settings_.lease_ttl) slow_until_ = Now() + kSlowStoreHold;
  last_read_ = now;
  next_read_ = now + kMemberPollInterval;
  ProveOwnersStopped();
  if (now >= stable_from_) TakeOverShards();
  ApplyRelease();
}

void Scheduler::ApplyRelease() {
  std::map<std::string, std::shared_ptr<ShardRunner>> runners;
  std::vector<planning::JobSpec> jobs;
  std::map<std::string, planning::TeamQuota> quotas;
  int64_t version = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runners = runners_;
    version = release_.version;
    jobs = release_jobs_;
    quotas = release::QuotasOf(release_, static_cast<int64_t>(assignment_.size()));
  }
  // Before the first release is received, jobs must not be treated as withdrawn.
  if (version == 0) return;
  std::map<std::string, std::vector<planning::JobSpec>> wanted;
  bool all_known = true;
  for (planning::JobSpec& it : jobs) {
    const std::optional<std::string> home =
        home_shards_.FindCachedOrClaim(it.id, ProposedHome(it.id));
    all_known = all_known && home;
    if (home) wanted[*home].push_back(std::move(it));
  }
  // A job whose home shard is not known yet would look withdrawn to its runner.
  if (!all_known) return;
  for (const auto& [shard, runner] : runners) {
    runner->SetQuotas(quotas);
    runner->ApplyRelease(wanted[shard], version);
  }
}

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

// Requires mutex_ to be held.
bool Scheduler::IsProvedStopped(const store::OwnerId& owner) const {
  // Two processes of one host cannot listen on the same address, so a newer process proves that the
  // earlier one has ended.
  if (owner.host == own_.id) return true;
  const auto it = members_.find(owner.host);
  if (it != members_.end() && it->second.incarnation != owner.incarnation) return true;
  const auto host = hosts_.hosts.find(owner.host);
  return host != hosts_.hosts.end() && host->second.state == membership::HostState::kGone;
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

// Asks the owner in `head` whether it has stopped at the head's epoch, once per kHandoverTimeout.
// Returns true if its answer proves that it has.
bool Scheduler::OwnerReportsStopped(const std::string& shard, const store::ShardHead& head) {
  const TimePoint now = Now();
  const auto [since, first] = handover_wanted_since_.emplace(shard, now);
  if (first || now - since->second < kHandoverTimeout) return false;
  since->second = now;
  std::shared_ptr<http::HttpClient> client;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto peer = peers_.find(head.owner);
    if (peer == peers_.end()) return false;
    client = peer->second;
  }
  http::HttpRequest request;
  request.method = "POST";
  request.path = kFencePath;
  request.body = Json{{"shard", shard}, {"epoch", head.epoch}}.dump();
  const http::HttpResult result = client->Call(std::move(request), kFenceTimeout);
  return FenceReplyProvesStopped({head.owner, head.incarnation}, result);
}

void Scheduler::ProveOwnersStopped() {
  std::map<std::string, std::shared_ptr<ShardRunner>> runners;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runners = runners_;
  }
  for (const auto& [shard, runner] : runners) {
    for (const store::OwnerId& it : runner->unproved()) {
      bool proved = false;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        proved = IsProvedStopped(it);
      }
      if (proved) {
        runner->OnOwnerStopped(it, Now());
      } else {
        SendFence(runner, shard, it);
      }
    }
  }
}

void Scheduler::SendFence(const std::shared_ptr<ShardRunner>& runner, const std::string& shard,
                          const store::OwnerId& owner) {
  std::shared_ptr<http::HttpClient> client;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto peer = peers_.find(owner.host);
    if (peer == peers_.end()) return;
    client = peer->second;
  }
  http::HttpRequest request;
  request.method = "POST";
  request.path = kFencePath;
  request.body = Json{{"shard", shard}, {"epoch", runner->epoch()}}.dump();
  const std::weak_ptr<ShardRunner> weak = runner;
  client->Send(std::move(request), kFenceTimeout, [weak, owner](const http::HttpResult& result) {
    const std::shared_ptr<ShardRunner> target = weak.lock();
    if (target && FenceReplyProvesStopped(owner, result)) target->OnOwnerStopped(owner, Now());
  });
}

// Handles a fence message {"shard", "epoch"}: if this process owns the shard at a lower epoch, it
// stops running the shard. The answer states whether this process has stopped renewing leases at
// all epochs up to the one in the message.
void Scheduler::HandleFence(const http::HttpRequest& request, const http::Reply& reply) {
  const Result<Json> document = ParseJson(request.body);
  if (!document.ok()) return reply(http::ErrorResponse(ResultCode::kBadJson, "body is not JSON"));
  FieldErrors errors;
  JsonReader reader(document.value, "", &errors);
  const std::string shard = reader.String("shard");
  const int64_t epoch = reader.Int("epoch", 1, std::numeric_limits<int64_t>::max());
  reader.Finish();
  if (!errors.empty()) {
    return reply(http::ErrorResponse(errors.front().code, ToString(errors)));
  }
  bool stopped = true;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = runners_.find(shard);
    if (it != runners_.end() && it->second->epoch() >= epoch) {
      stopped = false;
    } else {
      if (it != runners_.end()) it->second->MarkReplaced();
      int64_t& fenced = fenced_epochs_[shard];
      fenced = std::max(fenced, epoch);
    }
  }
  reply(http::JsonResponse(200,
                           {{"incarnation", std::to_string(incarnation_)}, {"stopped", stopped}}));
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

void Scheduler::Stop() {
  stopping_.store(true);
  std::map<std::string, std::shared_ptr<ShardRunner>> runners;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runners.swap(runners_);
  }
  for (const auto& [shard, runner] : runners) runner->Stop(true);
  if (renewal_thread_.joinable()) renewal_thread_.join();
  if (lease_ != 0) store_.Revoke(lease_);
}

// Returns the home shard for a new job by rendezvous hashing over the shards of the current racks.
// The store records the home shards of jobs that already have one.
std::string Scheduler::ProposedHome(const std::string& job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string best;
  uint64_t best_weight = 0;
  for (const std::string& it : membership::ShardsOf(hosts_)) {
    const uint64_t weight = membership::RendezvousWeight(job, it);
    if (!best.empty() && weight <= best_weight) continue;
    best = it;
    best_weight = weight;
  }
  return best;
}

std::shared_ptr<ShardRunner> Scheduler::RunnerOf(const std::string& shard) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = runners_.find(shard);
  return it == runners_.end() ? nullptr : it->second;
}

http::HttpResponse Scheduler::Ready() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool fresh =
      last_store_contact_ != TimePoint{} && Now() - last_store_contact_ < kDegradedAfter;
  const bool ready =
      !stopping_.load() && last_store_contact_ != TimePoint{} && !assignment_.empty();
  return http::JsonResponse(ready ? 200 : 503, {{"ready", ready},
                                                {"state", fresh ? "ok" : "degraded"},
                                                {"shards", runners_.size()},
                                                {"release", release_.version}});
}

http::HttpResponse Scheduler::Shards() {
  std::vector<std::shared_ptr<ShardRunner>> runners;
  Json table = Json::object();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [shard, runner] : runners_) runners.push_back(runner);
    for (const auto& [shard, host] : assignment_) table[shard] = host;
  }
  Json owned = Json::array();
  for (const auto& it : runners) owned.push_back(it->Summary());
  return http::JsonResponse(200, {{"host", own_.id}, {"owned", owned}, {"assignment", table}});
}

void Scheduler::Handle(const http::HttpRequest& request, const http::Reply& reply) {
  const std::string path = http::PathOf(request);
  if (path == "/healthz") return reply(http::JsonResponse(200, {{"status", "ok"}}));
  if (path == "/readyz") return reply(Ready());
  if (path == "/v1/shards") return reply(Shards());
  if (path == "/v1/metrics") return reply(http::JsonResponse(200, metrics_.Snapshot()));
  if (path == "/metrics") return reply(http::MetricsResponse(metrics_.ExpositionText()));
  if (path == kFencePath) return HandleFence(request, reply);
  if (path == kJobsPath || path.rfind(std::string(kJobsPath) + "/", 0) == 0) {
    return HandleJobs(request, reply);
  }
  reply(http::ErrorResponse(ResultCode::kNotFound, "no such path: " + path));
}

void Scheduler::HandleJobs(const http::HttpRequest& request, const http::Reply& reply) {
  const std::string path = http::PathOf(request);
  if (path == kJobsPath) {
    if (request.method == "POST") return SubmitJob(request, reply);
    return reply(http::ErrorResponse(ResultCode::kMethodNotAllowed, "use POST"));
  }
  const std::string job = JobIdOf(path);
  const bool cancel = path == std::string(kJobsPath) + "/" + job + "/cancel";
  if (cancel && request.method == "POST") return CancelJob(request, job, reply);
  if (path == std::string(kJobsPath) + "/" + job && request.method == "GET") {
    return DescribeJob(request, job, reply);
  }
  reply(http::ErrorResponse(ResultCode::kMethodNotAllowed,
                            "use GET /v1/jobs/<id> or POST /v1/jobs/<id>/cancel"));
}

void Scheduler::SubmitJob(const http::HttpRequest& request, const http::Reply& reply) {
  const Result<Json> document = ParseJson(request.body);
  if (!document.ok()) return reply(http::ErrorResponse(ResultCode::kBadJson, "body is not JSON"));
  FieldErrors errors;
  planning::JobSpec spec = planning::ReadJobSpec(document.value, "", &errors);
  if (spec.release_version != 0) {
    errors.push_back({"release_version", ResultCode::kUnknownField, "is not a known member"});
  }
  if (!errors.empty()) {
    return reply(http::ErrorResponse(errors.front().code, ToString(errors)));
  }
  if (planning::ToJson(spec).dump().size() > kMaxSpecBytes) {
    return reply(http::ErrorResponse(ResultCode::kTooLarge, "job is described by more than 1 KiB"));
  }
  const std::string job = spec.id;
  home_shards_.Claim(job, ProposedHome(job),
                     [this, spec, request, reply](const Result<std::string>& home) {
                       if (!home.ok())
                         return reply(http::ErrorResponse(CodeOf(home.ec), "job was not accepted"));
                       AcceptAt(home.value, spec, request, reply);
                     });
}

void Scheduler::AcceptAt(const std::string& shard, planning::JobSpec spec,
                         const http::HttpRequest& request, const http::Reply& reply) {
  const std::shared_ptr<ShardRunner> runner = RunnerOf(shard);
  if (!runner) return Forward(request, shard, reply);
  const std::string job = spec.id;
  runner->Accept(std::move(spec), [reply, job, shard](std::error_code ec) {
    ReplyWithOutcome(reply, ec, job, shard);
  });
}

void Scheduler::CancelJob(const http::HttpRequest& request, const std::string& job,
                          const http::Reply& reply) {
  home_shards_.Find(job, [this, request, job, reply](const Result<std::string>& home) {
    CancelAt(home, request, job, reply);
  });
}

void Scheduler::CancelAt(const Result<std::string>& home, const http::HttpRequest& request,
                         const std::string& job, const http::Reply& reply) {
  if (!home.ok()) return ReplyWithOutcome(reply, home.ec, job, {});
  const std::shared_ptr<ShardRunner> runner = RunnerOf(home.value);
  if (!runner) return Forward(request, home.value, reply);
  runner->Cancel(job, [reply, job, shard = home.value](std::error_code ec) {
    ReplyWithOutcome(reply, ec, job, shard);
  });
}

void Scheduler::DescribeJob(const http::HttpRequest& request, const std::string& job,
                            const http::Reply& reply) {
  home_shards_.Find(job, [this, request, job, reply](const Result<std::string>& home) {
    DescribeAt(home, request, job, reply);
  });
}

void Scheduler::DescribeAt(const Result<std::string>& home, const http::HttpRequest& request,
                           const std::string& job, const http::Reply& reply) {
  if (!home.ok()) {
    return reply(http::ErrorResponse(CodeOf(home.ec), "job " + job + ": " + home.ec.message()));
  }
  const std::shared_ptr<ShardRunner> runner = RunnerOf(home.value);
  if (!runner) return Forward(request, home.value, reply);
  const Json found = runner->Describe(job);
  if (found.is_null()) {
    return reply(http::ErrorResponse(ResultCode::kNotFound, "no such job: " + job));
  }
  reply(http::JsonResponse(200, found));
}

void Scheduler::Forward(const http::HttpRequest& request, const std::string& shard,
                        const http::Reply& reply) {
  std::string owner;
  std::shared_ptr<http::HttpClient> client;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = assignment_.find(shard);
    if (it != assignment_.end()) owner = it->second;
    const auto peer = peers_.find(owner);
    if (peer != peers_.end()) client = peer->second;
  }
  const bool forwarded = !http::HeaderOf(request.headers, http::kForwardedHeader).empty();
  if (forwarded || owner == own_.id || !client) {
    return reply(http::ErrorResponse(ResultCode::kNotOwner,
                                     "shard " + shard + " has no owner yet; try again"));
  }
  http::HttpRequest copy = request;
  copy.headers[http::kForwardedHeader] = "1";
  copy.headers.erase("Connection");
  client->Send(std::move(copy), kForwardTimeout, [reply, owner](http::HttpResult result) {
    if (!result.ec) return reply(std::move(result.response));
    const bool sent = result.ec != ResultCode::kTargetUnreachable;
    reply(http::ErrorResponse(sent ? ResultCode::kOutcomeUnknown : ResultCode::kNotOwner,
                              "scheduler on " + owner + " did not answer"));
  });
}

}  // namespace pomelopond::apps
