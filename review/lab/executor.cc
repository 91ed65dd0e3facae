#include "review/lab/executor.h"

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

#include "review/lab/daemon.h"

namespace pomelopond::lab {
namespace {

constexpr int64_t kMaxLeaseMs = 10000;
constexpr size_t kMostEnds = 500;
constexpr auto kCheckInterval = std::chrono::milliseconds(10);
constexpr auto kCheckIn = std::chrono::milliseconds(1500);

// Value after `name` in the spec, or `absent`.
int64_t SpecNumber(const std::string& spec, const std::string& name, int64_t absent) {
  const size_t at = spec.find(name);
  return at == std::string::npos ? absent : std::atoll(spec.c_str() + at + name.size());
}

}  // namespace

Executor::Executor(std::string id, std::string service, std::string address, int64_t cpu)
    : id_(std::move(id)),
      service_(std::move(service)),
      address_(std::move(address)),
      cpu_(cpu),
      born_(WallMs()) {}

void Executor::Start(Store* store) {
  port_ = Serve(address_, 0, [this](const Request& request) {
    Hook hook;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      hook = hook_;
    }
    if (hook) {
      const Response instead = hook(request);
      if (instead.status != 0) return instead.status < 0 ? Response{} : instead;
    }
    return Handle(request);
  });
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(kCheckInterval);
      const std::lock_guard<std::mutex> lock(mutex_);
      Update();
    }
  }).detach();
  std::thread([this, store] {
    for (int64_t seq = 1;; ++seq) {
      const Json entry = {{"service", service_},
                          {"address", address_ + ":" + std::to_string(port_)},
                          {"zone", "seeb-a"},
                          {"version", "v1"},
                          {"slots", 8},
                          {"state", "ready"},
                          {"cold_ms", 0},
                          {"capacity", {{"cpu", cpu_}, {"mem_mb", 64000}, {"gpu", 0}}},
                          {"labels", {"a", "r1-1"}},
                          {"clock_ms", ClockMs()},
                          {"born", born_},
                          {"seq", seq}};
      store->Put("servers/" + id_, entry.dump());
      std::this_thread::sleep_for(kCheckIn);
    }
  }).detach();
}

void Executor::SetHook(Hook hook) {
  const std::lock_guard<std::mutex> lock(mutex_);
  hook_ = std::move(hook);
}

std::vector<RunRecord> Executor::Runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return records_;
}

int64_t Executor::CpuInUse() {
  const std::lock_guard<std::mutex> lock(mutex_);
  int64_t sum = 0;
  for (const auto& [task, it] : running_) sum += it.cpu;
  return sum;
}

int64_t Executor::ClockMs() const {
  return 1000 +
         std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - booted_).count();
}

void Executor::Update() {
  const auto now = Clock::now();
  const bool lapsed = ClockMs() > until_ms_;
  std::vector<std::string> over;
  for (const auto& [task, it] : running_) {
    if (lapsed || it.ends <= now) over.push_back(task);
  }
  for (const std::string& it : over) {
    const Run& run = running_[it];
    const char* how = run.fails ? "failed" : "done";
    Finish(it, run.ends <= now ? how : "lapsed");
  }
}

void Executor::Finish(const std::string& task, const std::string& how) {
  const auto it = running_.find(task);
  RunRecord& record = records_[it->second.record];
  record.ended_ms = ElapsedMs();
  record.how = how;
  ended_.push_back({++last_end_, task, record.run, how});
  closed_[task] = std::max(closed_[task], record.run);
  running_.erase(it);
  changed_.notify_all();
}

void Executor::Extend(const Json& in) {
  const int64_t until = std::min(in.value("until_ms", int64_t{0}), ClockMs() + kMaxLeaseMs);
  until_ms_ = std::max(until_ms_, until);
}

Response Executor::Answer(int status, Json body) const {
  body["clock_ms"] = ClockMs();
  return {status, body.dump(), {}};
}

Response Executor::Handle(const Request& request) {
  const auto expected = request.headers.find("pomelopond-expect-instance");
  if (expected != request.headers.end() && expected->second != id_) return Answer(421, {});
  if (request.method == "GET") return {200, "{}", {}};
  const Json in = Json::parse(request.body);
  std::unique_lock<std::mutex> lock(mutex_);
  Update();
  const int64_t token = in.value("fencing_token", int64_t{0});
  if (token < token_) return Answer(409, {{"reason", "fence"}});
  token_ = token;
  const std::string path = PathOf(request);
  if (path == "/api/run-start") return RunStart(in);
  if (path == "/api/run-stop") return RunStop(in);
  if (path == "/api/hold") return Hold(in, &lock);
  return Answer(200, Json::object());
}

Response Executor::RunStart(const Json& in) {
  const auto task = in.at("task").get<std::string>();
  const auto run = in.at("run").get<int64_t>();
  const auto spec = in.value("spec", std::string());
  if (in.at("until_ms").get<int64_t>() < ClockMs()) return Answer(409, {{"reason", "late"}});
  Extend(in);
  const auto present = running_.find(task);
  if (present != running_.end() && records_[present->second.record].run == run) {
    return Answer(200, Json::object());
  }
  const auto closed = closed_.find(task);
  if (present != running_.end() || (closed != closed_.end() && run <= closed->second)) {
    return Answer(409, {{"reason", "old"}});
  }
  Run added;
  added.cpu = SpecNumber(spec, "cpu=", 1000);
  int64_t in_use = added.cpu;
  for (const auto& [name, it] : running_) in_use += it.cpu;
  if (in_use > cpu_) return Answer(409, {{"reason", "room"}});
  const int64_t fail_ms = SpecNumber(spec, "fail=", -1);
  const int64_t ms = SpecNumber(spec, "ms=", fail_ms);
  added.fails = fail_ms >= 0;
  added.begun = Clock::now();
  added.length = std::chrono::milliseconds(std::max<int64_t>(ms, 1));
  added.ends = ms < 0 ? Clock::time_point::max() : added.begun + added.length;
  added.record = records_.size();
  records_.push_back(
      {task, run, in.value("fencing_token", int64_t{0}), id_, ElapsedMs(), -1, "", spec});
  running_[task] = added;
  return Answer(200, Json::object());
}

Response Executor::RunStop(const Json& in) {
  const auto task = in.at("task").get<std::string>();
  const auto run = in.at("run").get<int64_t>();
  const auto it = running_.find(task);
  if (it != running_.end() && records_[it->second.record].run <= run) Finish(task, "stopped");
  closed_[task] = std::max(closed_[task], run);
  return Answer(200, Json::object());
}

Response Executor::Hold(const Json& in, std::unique_lock<std::mutex>* lock) {
  Extend(in);
  const int64_t seen = in.value("last_seen", int64_t{0});
  while (!ended_.empty() && ended_.front().n <= seen) ended_.pop_front();
  const auto until = Clock::now() + std::chrono::milliseconds(in.value("wait_ms", int64_t{0}));
  while (ended_.empty() && Clock::now() < until) changed_.wait_until(*lock, until);
  Update();
  Json running = Json::array();
  for (const auto& [task, it] : running_) {
    const bool lasts = it.fails || it.ends == Clock::time_point::max();
    const int64_t percent = lasts ? 100 : (Clock::now() - it.begun) * 100 / it.length;
    running.push_back(
        {task, records_[it.record].run, "", std::min<int64_t>(percent, 99 + lasts), it.cpu});
  }
  Json ended = Json::array();
  for (const End& it : ended_) {
    if (ended.size() == kMostEnds) break;
    ended.push_back({it.n, it.task, it.run, it.how, ""});
  }
  return Answer(200,
                {{"running", std::move(running)}, {"ended", std::move(ended)}, {"born", born_}});
}

}  // namespace pomelopond::lab
