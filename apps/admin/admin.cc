#include "apps/admin/admin.h"

#include <algorithm>
#include <cstdlib>

#include "base/log.h"
#include "release/policy.h"

namespace pomelopond::apps {
namespace {

constexpr Duration kHostsInterval = std::chrono::milliseconds(500);
constexpr Duration kHostsTimeout = std::chrono::seconds(2);
constexpr Duration kPeerTimeout = std::chrono::milliseconds(500);
constexpr Duration kForwardTimeout = std::chrono::seconds(15);
constexpr Duration kProcessReleaseTtl = std::chrono::seconds(3);
constexpr size_t kMaxTasks = 100;
constexpr int64_t kHistoryLimit = 100;  // maximum number of entries in one answer

}  // namespace

Admin::Admin(const EntrySettings& settings, uint64_t incarnation)
    : settings_(settings),
      local_host_(LocalEntryHost(settings)),
      incarnation_(incarnation),
      store_(settings.store, settings.store_timeout),
      host_list_(settings.host_list),
      scheduler_(local_host_.scheduler),
      release_(release::EmptyRelease()) {
  for (const EntryHost& it : settings.entry_hosts) {
    if (it.id == local_host_.id) continue;
    peers_[it.id] = std::make_unique<peer::PeerClient>(it.peer);
  }
}

Admin::~Admin() { Stop(); }

void Admin::Start() {
  store_thread_ = std::thread([this] { PollStore(); });
  hosts_thread_ = std::thread([this] { PollHostList(); });
  task_thread_ = std::thread([this] { RunTasks(); });
}

void Admin::Stop() {
  stopping_.store(true);
  wake_store_.notify_all();
  wake_tasks_.notify_all();
  for (std::thread* it : {&store_thread_, &hosts_thread_, &task_thread_}) {
    if (it->joinable()) it->join();
  }
}

void Admin::Adopt(release::Release found) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (found.version <= release_.version) return;
  Log(LogLevel::kInfo, "release", "adopted", {{"version", found.version}});
  metrics_.Set("release_version", found.version);
  release_ = std::move(found);
}

void Admin::PollStore() {
  ReleaseStore releases(&store_);
  while (!stopping_.load()) {
    int64_t known = 0;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_store_.wait_for(lock, settings_.release_poll,
                           [this] { return notified_ || stopping_.load(); });
      notified_ = false;
      known = release_.version;
    }
    Result<release::Release> found = releases.ReadIfNewer(known);
    if (!found.ok()) {
      FetchReleaseFromPeers();
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      last_store_read_ = Now();
      confirmed_ = true;
    }
    Adopt(std::move(found.value));
  }
}

// During a store outage an admin uses the highest version among more than half of all admins, which
// cannot miss a release that more than half of them hold. Only admins that are confirmed themselves
// count. This admin does not count itself: it may have held a newer release before a restart.
void Admin::FetchReleaseFromPeers() {
  int64_t known = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    known = release_.version;
  }
  size_t confirmed = 0;
  for (const auto& [host, client] : peers_) {
    const Result<peer::Message> answer =
        client->Call({"release.get", "admin", incarnation_, {{"have", known}}}, kPeerTimeout);
    if (!answer.ok()) continue;
    if (answer.value.body.value("confirmed", false)) confirmed += 1;
    const auto document = answer.value.body.find("release");
    if (document == answer.value.body.end()) continue;
    FieldErrors errors;
    release::Release found = release::ReadRelease(*document, &errors);
    if (errors.empty()) Adopt(std::move(found));
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (confirmed * 2 > settings_.entry_hosts.size() && release_.version > 0) confirmed_ = true;
}

void Admin::PollHostList() {
  while (!stopping_.load()) {
    http::HttpRequest request;
    request.path = "/v1/hosts";
    const http::HttpResult result = host_list_.Call(std::move(request), kHostsTimeout);
    if (!result.ec && result.response.status == 200) {
      FieldErrors errors;
      const Result<Json> document = ParseJson(result.response.body);
      const membership::HostList found =
          membership::ReadHostList(document.ok() ? document.value : Json(), &errors);
      const std::lock_guard<std::mutex> lock(mutex_);
      if (errors.empty()) hosts_ = membership::Merge(hosts_, found);
    }
    std::this_thread::sleep_for(kHostsInterval);
  }
}

void Admin::EnqueueTask(std::function<void()> task) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  wake_tasks_.notify_one();
}

void Admin::RunTasks() {
  for (;;) {
    std::function<void()> task;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_tasks_.wait(lock, [this] { return !tasks_.empty() || stopping_.load(); });
      if (tasks_.empty()) return;
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task();
  }
}

void Admin::NotifyPeers() {
  for (const auto& [host, client] : peers_) {
    client->Call({"release.notify", "admin", incarnation_, Json::object()}, kPeerTimeout);
  }
}

http::HttpResponse Admin::ApplyNote(const std::string& body, bool rebase,
                                    const std::string& approver) {
  const Result<Json> document = ParseJson(body);
  if (!document.ok()) return http::ErrorResponse(ResultCode::kBadJson, "the note is not JSON");
  FieldErrors errors;
  const release::Note note = release::ReadNote(document.value, &errors);
  Result<release::Release> accepted;
  if (errors.empty()) {
    ReleaseStore releases(&store_);
    const Json audit = {
        {"approver", approver}, {"time_ms", WallClockMs()}, {"note", document.value}};
    accepted = releases.Accept(note, rebase, audit, &errors);
  }
  if (!errors.empty()) {
    const ResultCode code = errors.front().code;
    return http::JsonResponse(HttpStatusOf(code), {{"code", static_cast<int>(code)},
                                                   {"result", ResultName(code)},
                                                   {"errors", ToJson(errors)}});
  }
  if (!accepted.ok()) {
    return http::ErrorResponse(static_cast<ResultCode>(accepted.ec.value()),
                               "the note was not accepted, or it is not known whether it was");
  }
  const int64_t version = accepted.value.version;
  Adopt(std::move(accepted.value));
  // The notification only shortens the delay: peers also poll the store, so it may be lost.
  NotifyPeers();
  return http::JsonResponse(200, {{"version", version}, {"accepted", true}});
}

Json Admin::LocalStatus() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Json processes = Json::object();
  processes["admin"] = release_.version;
  for (const auto& [program, process] : process_releases_) {
    if (Now() - process.seen < kProcessReleaseTtl) processes[program] = process.release;
  }
  return {{"host", local_host_.id}, {"processes", processes}};
}

http::HttpResponse Admin::Status() {
  std::vector<Json> hosts{LocalStatus()};
  for (const auto& [host, client] : peers_) {
    const Result<peer::Message> answer =
        client->Call({"status.get", "admin", incarnation_, Json::object()}, kPeerTimeout);
    hosts.push_back(answer.ok() ? answer.value.body : Json{{"host", host}});
  }
  int64_t version = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    version = release_.version;
  }
  int64_t in_force = 0;
  Json laggards = Json::array();
  for (const Json& host : hosts) {
    const Json processes = host.value("processes", Json::object());
    for (const char* program : {"admin", "router", "scheduler"}) {
      if (processes.value(program, int64_t{-1}) >= version) {
        in_force += 1;
        continue;
      }
      laggards.push_back(host.value("host", "") + "/" + program);
    }
  }
  return http::JsonResponse(200, {{"version", version},
                                  {"in_force", in_force},
                                  {"processes", hosts.size() * 3},
                                  {"laggards", laggards}});
}

http::HttpResponse Admin::Ready() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool fresh =
      last_store_read_ != TimePoint{} && Now() - last_store_read_ < 10 * settings_.release_poll;
  const bool ready = confirmed_ && !stopping_.load();
  return http::JsonResponse(ready ? 200 : 503, {{"ready", ready},
                                                {"state", fresh ? "ok" : "unconfirmed"},
                                                {"release", release_.version},
                                                {"hosts", hosts_.hosts.size()}});
}

void Admin::ForwardJobs(const http::HttpRequest& request, const http::Reply& reply) {
  http::HttpRequest copy = request;
  copy.headers.erase("Authorization");
  copy.headers.erase("Connection");
  scheduler_.Send(std::move(copy), kForwardTimeout, [reply](http::HttpResult result) {
    if (!result.ec) return reply(std::move(result.response));
    const bool sent = result.ec != ResultCode::kTargetUnreachable;
    reply(http::ErrorResponse(sent ? ResultCode::kOutcomeUnknown : ResultCode::kNotOwner,
                              "the scheduler of this host did not answer"));
  });
}

http::HttpResponse Admin::History(const http::HttpRequest& request) {
  const int64_t from = std::atoll(http::QueryParameterOf(request, "from").c_str());
  ReleaseStore releases(&store_);
  const Result<std::vector<Json>> entries =
      releases.History(std::max<int64_t>(1, from), kHistoryLimit);
  if (!entries.ok()) {
    return http::ErrorResponse(ResultCode::kStoreUnavailable, "the store did not answer");
  }
  return http::JsonResponse(200, {{"entries", entries.value}});
}

http::HttpResponse Admin::Explain() {
  const std::lock_guard<std::mutex> lock(mutex_);
  FieldErrors ignored;  // an accepted release has no errors
  Json decisions = Json::array();
  for (const release::Decision& it : release::ResolvePolicies(release_, &ignored)) {
    decisions.push_back(release::ToJson(it));
  }
  return http::JsonResponse(200, {{"version", release_.version}, {"decisions", decisions}});
}

// Calls that block on the store or on peers run on the task thread, never on the HTTP thread pool.
void Admin::HandleOnTaskThread(const http::HttpRequest& request, const AccessKey& key,
                               const http::Reply& reply) {
  const std::string path = http::PathOf(request);
  EnqueueTask([this, request, reply, path, approver = key.name] {
    if (path == "/v1/status") return reply(Status());
    if (path == "/v1/history") return reply(History(request));
    reply(ApplyNote(request.body, http::QueryParameterOf(request, "rebase") == "1", approver));
  });
}

void Admin::Handle(const http::HttpRequest& request, const http::Reply& reply) {
  const std::string path = http::PathOf(request);
  if (path == "/healthz") return reply(http::JsonResponse(200, {{"status", "ok"}}));
  if (path == "/readyz") return reply(Ready());
  if (path == "/metrics") return reply(http::MetricsResponse(metrics_.ExpositionText()));
  const AccessKey* key = FindKey(settings_.keys, request);
  const bool post = request.method == "POST";
  if (!post && request.method != "GET") {
    return reply(http::ErrorResponse(ResultCode::kMethodNotAllowed, "use GET or POST"));
  }
  const bool note = path == "/v1/release" && post;
  const Role needed = note ? Role::kApprove : post ? Role::kOperate : Role::kRead;
  if (const std::error_code ec = CheckRole(key, needed)) {
    return reply(http::ErrorResponse(static_cast<ResultCode>(ec.value()), "access refused"));
  }
  if (path.rfind("/v1/jobs", 0) == 0 || path == "/v1/shards") return ForwardJobs(request, reply);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (tasks_.size() >= kMaxTasks) {
      return reply(http::ErrorResponse(ResultCode::kQueueFull, "too many calls wait"));
    }
  }
  if (note || path == "/v1/status" || path == "/v1/history") {
    return HandleOnTaskThread(request, *key, reply);
  }
  if (path == "/v1/explain") return reply(Explain());
  if (path == "/v1/hosts") {
    const std::lock_guard<std::mutex> lock(mutex_);
    return reply(http::JsonResponse(
        200, membership::ToJson(membership::ApplyDrains(hosts_, release::DrainsOf(release_)))));
  }
  if (path == "/v1/release") {
    const std::lock_guard<std::mutex> lock(mutex_);
    return reply(http::JsonResponse(200, release::ToJson(release_)));
  }
  reply(http::ErrorResponse(ResultCode::kNotFound, "no such path: " + path));
}

peer::Message Admin::OnMessage(const peer::Message& message) {
  peer::Message answer{message.type, local_host_.id, incarnation_, Json::object()};
  if (message.type == "status.get") {
    answer.body = LocalStatus();
    return answer;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (message.type == "release.notify") {
    notified_ = true;
    wake_store_.notify_one();
  } else if (message.type == "release.get") {
    const int64_t known = message.body.value("have", int64_t{0});
    if (message.from != "admin") process_releases_[message.from] = {known, Now()};
    // An unconfirmed release is sent only to other admins, because other processes would act on it.
    const bool may_send = confirmed_ || message.from == "admin";
    answer.body["confirmed"] = confirmed_;
    if (may_send && release_.version > known) answer.body["release"] = release::ToJson(release_);
  } else if (message.type == "hosts.get") {
    if (hosts_.version > message.body.value("have", int64_t{0})) {
      answer.body["hosts"] = membership::ToJson(hosts_);
    }
  }
  return answer;
}

}  // namespace pomelopond::apps
