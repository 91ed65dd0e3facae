#include "executors.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace pomelopond::review {
namespace {

constexpr milliseconds kTick{2};
constexpr size_t kMaxListedEnds = 500;
constexpr int64_t kMaxWaitMs = 2000;
constexpr int64_t kDefaultWorkMs = 100;
// The cpu that a start takes is in the spec, since orders don't tell it: "work MS CPU".
constexpr int64_t kDefaultCpu = 100;

struct Work {
  int64_t ms = kDefaultWorkMs;
  int64_t cpu = kDefaultCpu;
};

Work WorkOf(const std::string& spec) {
  Work out;
  if (spec.compare(0, 5, "work ") != 0) return out;
  char* rest = nullptr;
  out.ms = std::strtoll(spec.c_str() + 5, &rest, 10);
  if (*rest == ' ') out.cpu = std::strtoll(rest + 1, nullptr, 10);
  return out;
}

}  // namespace

Executor::Executor(ExecutorOptions options, Record* record, Journal* journal)
    : options_(std::move(options)), record_(record), journal_(journal) {
  const auto day = std::chrono::system_clock::now().time_since_epoch();
  born_ms_ = std::chrono::duration_cast<milliseconds>(day).count();
  ticker_ = std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(kTick);
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopped_) return;
      Update();
    }
  });
  server_ =
      std::make_unique<Server>(options_.address, [this](const Request& it) { return Handle(it); });
}

Executor::~Executor() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
  }
  server_.reset();
  ticker_.join();
}

Json Executor::Entry() const {
  return {{"service", options_.service},
          {"address", options_.address.ip + ":" + std::to_string(options_.address.port)},
          {"zone", "zone-a"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_ms", 0},
          {"capacity", {{"cpu", options_.cpu}, {"mem_mb", options_.mem_mb}, {"gpu", 0}}},
          {"labels", {"a", "r1-1"}},
          {"born", born_ms_},
          {"clock_ms", ClockMs()},
          {"seq", ClockMs() + 1}};
}

int64_t Executor::ClockMs() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - began_).count() + 1;
}

Response Executor::Handle(const Request& request) {
  const auto expected = request.headers.find("pomelopond-expect-instance");
  const bool foreign = expected != request.headers.end() && expected->second != options_.id;
  if (foreign) return {421, Json{{"clock_ms", ClockMs()}}.dump(), false};
  try {
    const Json in = Json::parse(request.body);
    if (request.path == "/api/run-start") return Start(in);
    if (request.path == "/api/run-stop") return Stop(in);
    if (request.path == "/api/hold") return Hold(in);
  } catch (const Json::exception&) {
    return {400, Json{{"clock_ms", ClockMs()}}.dump(), false};
  }
  return {200, Json{{"clock_ms", ClockMs()}}.dump(), false};
}

Response Executor::Refuse(const char* reason) const {
  return {409, Json{{"clock_ms", ClockMs()}, {"reason", reason}}.dump(), false};
}

bool Executor::TakeToken(const Json& in) {
  const int64_t token = in.value("fencing_token", int64_t{0});
  if (token < token_) return false;
  token_ = token;
  return true;
}

void Executor::ExtendLease(const Json& in) {
  const int64_t until = in.value("until_ms", int64_t{0});
  lease_ends_ms_ = std::max(lease_ends_ms_, std::min(until, ClockMs() + options_.hold_max_ms));
}

Response Executor::Start(const Json& in) {
  const std::string task = in.at("task");
  const int64_t number = in.at("run");
  const Work work = WorkOf(in.value("spec", std::string()));
  const std::lock_guard<std::mutex> lock(mutex_);
  Update();
  if (stopped_) return {200, {}, true};
  if (!TakeToken(in)) return Refuse("fence");
  if (in.at("until_ms").get<int64_t>() <= ClockMs()) return Refuse("late");
  ExtendLease(in);
  const auto present = runs_.find(task);
  if (present != runs_.end() && present->second.number == number) {
    return {200, Json{{"clock_ms", ClockMs()}}.dump(), false};
  }
  const auto ended = highest_.find(task);
  if (present != runs_.end() || (ended != highest_.end() && number <= ended->second)) {
    return Refuse("old");
  }
  int64_t used = work.cpu;
  for (const auto& [id, it] : runs_) used += it.cpu;
  if (used > options_.cpu) return Refuse("room");
  const auto now = Clock::now();
  runs_[task] = {number, work.cpu, now, now + milliseconds(work.ms), false};
  if (options_.records_runs) {
    record_->Line("start " + task + " run " + std::to_string(number) + " on " + options_.id +
                  " token " + std::to_string(token_));
  }
  const std::lock_guard<std::mutex> journal_lock(journal_->mutex);
  journal_->started_runs += 1;
  if (!options_.records_runs) return {200, Json{{"clock_ms", ClockMs()}}.dump(), false};
  journal_->started[task] = record_->NowMs();
  journal_->starts[task] += 1;
  if (journal_->noted.count(task) > 0) journal_->repeated_after[task] = record_->NowMs();
  return {200, Json{{"clock_ms", ClockMs()}}.dump(), false};
}

Response Executor::Stop(const Json& in) {
  const std::string task = in.at("task");
  const int64_t number = in.at("run");
  const std::lock_guard<std::mutex> lock(mutex_);
  Update();
  if (!TakeToken(in)) return Refuse("fence");
  int64_t& highest = highest_[task];
  highest = std::max(highest, number);
  const auto it = runs_.find(task);
  if (it != runs_.end() && it->second.number <= number && !it->second.stopping) {
    it->second.stopping = true;
    it->second.ends = Clock::now() + milliseconds(options_.stop_ms);
  }
  return {200, Json{{"clock_ms", ClockMs()}}.dump(), false};
}

Response Executor::Hold(const Json& in) {
  const int64_t wait_ms = std::min(in.value("wait_ms", int64_t{0}), kMaxWaitMs);
  const auto until = Clock::now() + milliseconds(wait_ms);
  std::unique_lock<std::mutex> lock(mutex_);
  Update();
  if (!TakeToken(in)) return Refuse("fence");
  TakeNote(in.value("last_seen", int64_t{0}));
  ExtendLease(in);
  while (!stopped_ && ends_.empty() && Clock::now() < until) changed_.wait_until(lock, until);
  if (stopped_) return {200, {}, true};
  Update();
  Json running = Json::array();
  for (const auto& [task, it] : runs_) {
    const auto whole = std::chrono::duration_cast<milliseconds>(it.ends - it.began).count();
    const auto worked = std::chrono::duration_cast<milliseconds>(Clock::now() - it.began).count();
    const int64_t percent = std::min<int64_t>(99, worked * 100 / std::max<int64_t>(1, whole));
    running.push_back({task, it.number, "", percent, it.cpu});
  }
  Json ended = Json::array();
  for (const End& it : ends_) {
    if (ended.size() == kMaxListedEnds) break;
    ended.push_back({it.position, it.task, it.run, it.how, ""});
  }
  const Json out = {{"clock_ms", ClockMs()},
                    {"born", born_ms_},
                    {"running", std::move(running)},
                    {"ended", std::move(ended)}};
  return {200, out.dump(), false};
}

void Executor::TakeNote(int64_t last_seen) {
  while (!ends_.empty() && ends_.front().position <= last_seen) {
    const End& it = ends_.front();
    if (it.how == "done" && options_.records_runs) {
      const std::lock_guard<std::mutex> lock(journal_->mutex);
      journal_->noted.emplace(it.task, record_->NowMs());
      record_->Line("noted " + it.task + " end " + std::to_string(it.position) + " on " +
                    options_.id + " by last_seen " + std::to_string(last_seen));
    }
    ends_.pop_front();
  }
}

void Executor::Update() {
  const auto now = Clock::now();
  const bool lapsed = ClockMs() > lease_ends_ms_;
  std::vector<std::pair<std::string, const char*>> over;
  for (const auto& [task, it] : runs_) {
    if (lapsed) {
      over.emplace_back(task, "lapsed");
    } else if (it.ends <= now) {
      over.emplace_back(task, it.stopping ? "stopped" : "done");
    }
  }
  for (const auto& [task, how] : over) Finish(task, how);
}

void Executor::Finish(const std::string& task, const char* how) {
  const auto it = runs_.find(task);
  last_position_ += 1;
  ends_.push_back({last_position_, task, it->second.number, how});
  int64_t& highest = highest_[task];
  highest = std::max(highest, it->second.number);
  if (options_.records_runs) {
    record_->Line(std::string("end ") + how + " " + task + " run " +
                  std::to_string(it->second.number) + " on " + options_.id + " end " +
                  std::to_string(last_position_));
  }
  if (std::string(how) == "done") {
    const std::lock_guard<std::mutex> lock(journal_->mutex);
    journal_->done_runs += 1;
    if (options_.records_runs) journal_->done[task] = options_.id;
  }
  runs_.erase(it);
  changed_.notify_all();
}

}  // namespace pomelopond::review
