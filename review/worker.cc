#include "worker.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int64_t kMaxLeaseMs = 10000;
constexpr int64_t kMaxWaitMs = 2000;
constexpr size_t kMaxListedEnds = 500;
constexpr milliseconds kCheckInInterval{1500};
constexpr milliseconds kStopTime{50};
constexpr milliseconds kTick{2};
constexpr int kFullPercent = 100;

int64_t WallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

Worker::Worker(const WorkerOptions& options, Store* store, Ledger* ledger)
    : options_(options),
      store_(store),
      ledger_(ledger),
      server_(
          options.address, [this](const Request& request) { return Handle(request); },
          options.max_connections) {}

void Worker::Start() {
  server_.Open();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    NewLife();
    next_check_in_ = Clock::now();
  }
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(kTick);
      Tick();
      CheckIn();
    }
  }).detach();
}

void Worker::NewLife() {
  up_ = true;
  life_ += 1;
  born_ms_ = WallMs();
  started_ = Clock::now();
  sequence_ = 0;
  fence_ = 0;
  lease_ms_ = 0;
  highest_ended_.clear();
  ended_.clear();
  last_end_ = 0;
}

void Worker::Crash() {
  const std::lock_guard<std::mutex> lock(mutex_);
  server_.GoDark();
  up_ = false;
  ledger_->Record("worker crashes silently: " + options_.id);
  for (const auto& [run, it] : running_) ledger_->Ended(it.record, "crashed");
  running_.clear();
  changed_.notify_all();
}

void Worker::StartAgain(milliseconds first_check_in) {
  const std::lock_guard<std::mutex> lock(mutex_);
  NewLife();
  next_check_in_ = Clock::now() + first_check_in;
  ledger_->Record("worker starts again under its id: " + options_.id);
  server_.EndDark();
}

void Worker::CutAtNextStart() {
  const std::lock_guard<std::mutex> lock(mutex_);
  cut_at_start_ = true;
}

bool Worker::EndCut() {
  const std::lock_guard<std::mutex> lock(mutex_);
  cut_at_start_ = false;
  if (!cut_) return false;
  cut_ = false;
  ledger_->Record("the cut ends: " + options_.id);
  server_.Open();
  return true;
}

int Worker::RunningTasks() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int>(running_.size());
}

int Worker::ListedEnds() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int>(ended_.size());
}

int64_t Worker::ClockMs() const {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - started_).count() + 1;
}

Response Worker::Answer(int status, Json body) const {
  body["clock_ms"] = ClockMs();
  return {status, body.dump(), false};
}

Response Worker::Handle(const Request& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  std::unique_lock<std::mutex> lock(mutex_);
  const int life = life_;
  if (!up_) return {200, "", true};
  const auto instance = request.headers.find("pomelopond-expect-instance");
  if (instance != request.headers.end() && instance->second != options_.id) {
    return {421, "{}", false};
  }
  if (!body.is_object()) return Answer(400, Json::object());
  const int64_t fence = body.value("fencing_token", int64_t{0});
  if (fence < fence_) return Answer(409, {{"reason", "fence"}});
  fence_ = fence;
  Response response = Answer(400, Json::object());
  if (request.path == "/api/run-start") response = StartRun(body);
  if (request.path == "/api/run-stop") response = StopRun(body);
  if (request.path == "/api/pace") response = Answer(200, Json::object());
  if (request.path == "/api/hold") response = Hold(body, &lock);
  if (life != life_ || !up_) response.reset = true;
  return response;
}

void Worker::ExtendLease(int64_t until_ms) {
  lease_ms_ = std::max(lease_ms_, std::min(until_ms, ClockMs() + kMaxLeaseMs));
}

Response Worker::StartRun(const Json& body) {
  const RunKey run{body.at("task"), body.at("run")};
  const int64_t until_ms = body.at("until_ms");
  if (running_.count(run) > 0) {
    ExtendLease(until_ms);
    return Answer(200, Json::object());
  }
  const auto highest = highest_ended_.find(run.first);
  if (highest != highest_ended_.end() && run.second <= highest->second) {
    ExtendLease(until_ms);
    return Answer(409, {{"reason", "old"}});
  }
  if (until_ms <= ClockMs()) return Answer(409, {{"reason", "late"}});
  ExtendLease(until_ms);
  const auto n = static_cast<int64_t>(running_.size()) + 1;
  if (n * options_.task_cpu_milli > options_.cpu_milli ||
      n * options_.task_memory_mb > options_.memory_mb) {
    return Answer(409, {{"reason", "room"}});
  }
  Active active;
  active.record = ledger_->Began(run.first, run.second, options_.id, life_);
  active.began = Clock::now();
  active.ends = active.began + milliseconds(options_.task_ms);
  running_[run] = active;
  if (cut_at_start_) {
    cut_at_start_ = false;
    cut_ = true;
    ledger_->Record("worker is cut off and runs on: " + options_.id);
    server_.Reset();
  }
  return Answer(200, Json::object());
}

Response Worker::StopRun(const Json& body) {
  const RunKey run{body.at("task"), body.at("run")};
  const auto it = running_.find(run);
  if (it == running_.end()) {
    int64_t& highest = highest_ended_[run.first];
    highest = std::max(highest, run.second);
  } else if (!it->second.stopping) {
    it->second.stopping = true;
    it->second.ends = std::min(it->second.ends, Clock::now() + kStopTime);
  }
  return Answer(200, Json::object());
}

// 16 hexadecimal digits, as long as those of the page's example.
std::string Worker::CheckpointOf(const Active& active) const {
  if (options_.checkpoint_ms == 0) return "";
  const int64_t n = (Clock::now() - active.began) / milliseconds(options_.checkpoint_ms);
  if (n == 0) return "";
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(8) << n << std::setw(8) << active.record;
  return text.str();
}

Response Worker::Hold(const Json& body, std::unique_lock<std::mutex>* lock) {
  ExtendLease(body.value("until_ms", int64_t{0}));
  const int64_t last_seen = body.value("last_seen", int64_t{0});
  while (!ended_.empty() && ended_.front().sequence <= last_seen) {
    ledger_->Noted(ended_.front().record);
    ended_.erase(ended_.begin());
  }
  const int64_t wait_ms = std::min(body.value("wait_ms", int64_t{0}), kMaxWaitMs);
  changed_.wait_for(*lock, milliseconds(wait_ms), [this] { return !ended_.empty() || !up_; });
  Json running = Json::array();
  for (const auto& [run, it] : running_) {
    const int64_t percent = kFullPercent * (Clock::now() - it.began) / (it.ends - it.began);
    running.push_back({run.first, run.second, CheckpointOf(it),
                       std::clamp<int64_t>(percent, 0, kFullPercent - 1), 0});
  }
  Json ended = Json::array();
  for (const End& it : ended_) {
    if (ended.size() == kMaxListedEnds) break;
    ended.push_back({it.sequence, it.run.first, it.run.second, it.how, ""});
  }
  return Answer(200, {{"born", born_ms_}, {"running", running}, {"ended", ended}});
}

void Worker::ListEnd(const RunKey& run, const Active& active, const std::string& how) {
  ledger_->Ended(active.record, how);
  int64_t& highest = highest_ended_[run.first];
  highest = std::max(highest, run.second);
  last_end_ += 1;
  ended_.push_back({last_end_, run, how, active.record});
  changed_.notify_all();
}

void Worker::Tick() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!up_) return;
  const bool lapsed = ClockMs() > lease_ms_;
  if (lapsed && !running_.empty()) ledger_->LeaseLapsed(options_.id, life_);
  for (auto it = running_.begin(); it != running_.end();) {
    if (!lapsed && Clock::now() < it->second.ends) {
      ++it;
      continue;
    }
    const char* how = it->second.stopping ? "stopped" : "done";
    ListEnd(it->first, it->second, lapsed ? "lapsed" : how);
    it = running_.erase(it);
  }
}

void Worker::CheckIn() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!up_ || Clock::now() < next_check_in_) return;
  next_check_in_ = Clock::now() + kCheckInInterval;
  sequence_ += 1;
  const Json entry = {
      {"service", options_.service},
      {"address", server_.Endpoint()},
      {"zone", "seeb-a"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_ms", 0},
      {"capacity", {{"cpu", options_.cpu_milli}, {"mem_mb", options_.memory_mb}, {"gpu", 0}}},
      {"labels", {"a", "r1-1"}},
      {"clock_ms", ClockMs()},
      {"born", born_ms_},
      {"seq", sequence_}};
  store_->Put("servers/" + options_.id, entry.dump());
}

}  // namespace review
