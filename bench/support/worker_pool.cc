#include "bench/support/worker_pool.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <sstream>

namespace pomelopond::bench {
namespace {

using std::chrono::milliseconds;

constexpr int64_t kCpuMilli = 16000;
constexpr int64_t kMemoryMb = 64000;
constexpr int64_t kMaxWaitMs = 2000;
constexpr int64_t kMaxLeaseMs = 10000;
constexpr size_t kMaxListedEnds = 500;
constexpr Duration kStopTime = milliseconds(50);
constexpr Duration kTick = milliseconds(5);
// Reported figures change this often.
constexpr int64_t kFigureMs = 500;
// Tails lie between these percentages of their target.
constexpr int64_t kLowestTailPercent = 40;
constexpr int64_t kTailPercents = 60;
constexpr int64_t kTaskCpuMilli = 1000;
constexpr int kEvents = 256;
constexpr size_t kReadBytes = 16384;
constexpr int kBacklog = 16;

[[noreturn]] void Fail(const char* what) {
  std::perror(what);
  std::abort();
}

const char* ReasonPhrase(int status) { return status == 200 ? "OK" : "Conflict"; }

// Length of the body, from the header `Content-Length` in any case of letters.
size_t ContentLength(std::string head) {
  std::transform(head.begin(), head.end(), head.begin(),
                 [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
  const std::string name = "content-length:";
  const size_t at = head.find(name);
  return at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + name.size(), nullptr, 10);
}

// The same for all tails of one run during kFigureMs.
int64_t TailMs(const std::string& task, int64_t target_ms, int64_t clock_ms) {
  const size_t draw = std::hash<std::string>()(task + std::to_string(clock_ms / kFigureMs));
  return target_ms * (kLowestTailPercent + static_cast<int64_t>(draw % kTailPercents)) / 100;
}

void Watch(int epoll, int fd) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = fd;
  if (epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event) != 0) Fail("epoll_ctl");
}

double DoneMs(double done_ms, int64_t percent, Duration elapsed) {
  return done_ms + std::chrono::duration<double, std::milli>(elapsed).count() *
                       static_cast<double>(percent) / 100;
}

}  // namespace

std::string RunSpec(int64_t work_ms, int64_t target_ms) {
  return std::to_string(work_ms) + " " + std::to_string(target_ms);
}

WorkerPool::WorkerPool(int n, const std::string& address)
    : address_(address), started_(Now()), born_ms_(WallClockMs()), epoll_(epoll_create1(0)) {
  workers_.resize(static_cast<size_t>(n));
  for (size_t k = 0; k < workers_.size(); ++k) Listen(k, address);
  thread_ = std::thread([this] { Serve(); });
}

WorkerPool::~WorkerPool() {
  stopping_.store(true);
  thread_.join();
  for (const auto& [fd, it] : listeners_) close(fd);
  for (const auto& [fd, it] : connections_) close(fd);
  close(epoll_);
}

std::vector<std::pair<std::string, std::string>> WorkerPool::Entries() const {
  std::vector<std::pair<std::string, std::string>> out;
  for (const Worker& it : workers_) {
    const Json entry = {{"service", "bench"},
                        {"address", address_ + ":" + std::to_string(it.port)},
                        {"zone", "seeb-a"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"cold_ms", 0},
                        {"capacity", {{"cpu", kCpuMilli}, {"mem_mb", kMemoryMb}, {"gpu", 0}}},
                        {"labels", {"a", "r1-1"}},
                        {"clock_ms", 1},
                        {"born", born_ms_},
                        {"seq", 1}};
    out.emplace_back(it.id, entry.dump());
  }
  return out;
}

WorkerCounts WorkerPool::Counts() const {
  WorkerCounts out;
  for (size_t k = 0; k < kWorkerPaths; ++k) out.calls[k] = calls_[k].load();
  out.starts = starts_.load();
  out.ends = ends_.load();
  out.bytes = bytes_.load();
  return out;
}

void WorkerPool::Listen(size_t worker, const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  inet_pton(AF_INET, address.c_str(), &to.sin_addr);
  socklen_t size = sizeof(to);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&to), size) != 0 ||
      listen(fd, kBacklog) != 0 || getsockname(fd, reinterpret_cast<sockaddr*>(&to), &size) != 0) {
    Fail("listen");
  }
  workers_[worker].id = "worker-" + std::to_string(worker);
  workers_[worker].port = ntohs(to.sin_port);
  listeners_[fd] = worker;
  Watch(epoll_, fd);
}

void WorkerPool::Serve() {
  std::array<epoll_event, kEvents> events{};
  TimePoint next_tick = Now();
  while (!stopping_.load()) {
    const int n = epoll_wait(epoll_, events.data(), kEvents, static_cast<int>(Milliseconds(kTick)));
    const TimePoint now = Now();
    for (int k = 0; k < n; ++k) {
      const int fd = events[static_cast<size_t>(k)].data.fd;
      const auto listener = listeners_.find(fd);
      if (listener != listeners_.end()) {
        Accept(fd, listener->second);
      } else {
        Receive(fd, now);
      }
    }
    if (now < next_tick) continue;
    next_tick = now + kTick;
    Tick(now);
  }
}

void WorkerPool::Accept(int listener, size_t worker) {
  const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0) return;
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  connections_[fd].worker = worker;
  Watch(epoll_, fd);
}

void WorkerPool::Receive(int fd, TimePoint now) {
  std::array<char, kReadBytes> buf{};
  const ssize_t n = recv(fd, buf.data(), buf.size(), 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
  if (n <= 0) {
    connections_.erase(fd);
    close(fd);
    return;
  }
  bytes_.fetch_add(n);
  connections_[fd].in.append(buf.data(), static_cast<size_t>(n));
  HandleRequests(fd, now);
}

void WorkerPool::HandleRequests(int fd, TimePoint now) {
  Connection& connection = connections_[fd];
  // Requests behind a hold that waits are answered after it, in the order of their arrival.
  while (!connection.holds) {
    const size_t head = connection.in.find("\r\n\r\n");
    if (head == std::string::npos) return;
    const size_t begin = head + 4;
    const size_t length = ContentLength(connection.in.substr(0, begin));
    if (connection.in.size() < begin + length) return;
    const size_t path = connection.in.find(' ') + 1;
    const std::string name = connection.in.substr(path, connection.in.find(' ', path) - path);
    const Json body = Json::parse(connection.in.substr(begin, length), nullptr, false);
    connection.in.erase(0, begin + length);
    Handle(fd, name, body, now);
  }
}

void WorkerPool::Handle(int fd, const std::string& path, const Json& body, TimePoint now) {
  Connection& connection = connections_[fd];
  Worker& worker = workers_[connection.worker];
  const auto known = std::find(kWorkerPathNames.begin(), kWorkerPathNames.end(), path);
  if (known == kWorkerPathNames.end() || !body.is_object()) Fail("unknown call");
  calls_[static_cast<size_t>(known - kWorkerPathNames.begin())].fetch_add(1);
  const int64_t until_ms = std::min(body.value("until_ms", int64_t{0}), ClockMs(now) + kMaxLeaseMs);
  worker.lease_ms = std::max(worker.lease_ms, until_ms);
  if (path == "/api/hold") {
    Acknowledge(&worker, body.value("last_seen", int64_t{0}));
    const int64_t wait_ms = std::min(body.value("wait_ms", int64_t{0}), kMaxWaitMs);
    connection.holds = true;
    connection.hold_until = now + milliseconds(wait_ms);
    if (wait_ms == 0 || !worker.ended.empty()) AnswerHold(fd, now);
    return;
  }
  int status = 200;
  Json answer = Json::object();
  if (path == "/api/run-start") answer = StartRun(&worker, body, now, &status);
  if (path == "/api/pace") SetPace(&worker, body, now);
  if (path == "/api/run-stop") {
    const auto it = worker.running.find({body.at("task"), body.at("run")});
    if (it != worker.running.end())
      it->second.stop_at = std::min(it->second.stop_at, now + kStopTime);
    if (it == worker.running.end()) {
      int64_t& highest = worker.highest_ended[body.at("task")];
      highest = std::max(highest, body.at("run").get<int64_t>());
    }
  }
  Answer(fd, status, std::move(answer), now);
}

Json WorkerPool::StartRun(Worker* worker, const Json& body, TimePoint now, int* status) {
  const RunKey key{body.at("task"), body.at("run")};
  if (worker->running.count(key) > 0) return Json::object();
  const auto ended = worker->highest_ended.find(key.first);
  if (ended != worker->highest_ended.end() && key.second <= ended->second) {
    *status = 409;
    return {{"reason", "old"}};
  }
  Run run;
  std::istringstream(body.at("spec").get<std::string>()) >> run.work_ms >> run.target_ms;
  run.since = now;
  worker->running[key] = run;
  starts_.fetch_add(1);
  return Json::object();
}

void WorkerPool::SetPace(Worker* worker, const Json& body, TimePoint now) {
  const auto it = worker->running.find({body.at("task"), body.at("run")});
  if (it == worker->running.end()) return;
  Run& run = it->second;
  run.done_ms = DoneMs(run.done_ms, run.percent, now - run.since);
  run.since = now;
  run.percent = body.at("percent");
}

void WorkerPool::Acknowledge(Worker* worker, int64_t last_seen) {
  auto it = worker->ended.begin();
  while (it != worker->ended.end() && it->sequence <= last_seen) ++it;
  ends_.fetch_add(it - worker->ended.begin());
  worker->ended.erase(worker->ended.begin(), it);
}

void WorkerPool::Answer(int fd, int status, Json body, TimePoint now) {
  body["clock_ms"] = ClockMs(now);
  const std::string text = body.dump();
  const std::string out =
      "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
      "\r\n\r\n" + text;
  bytes_.fetch_add(static_cast<int64_t>(out.size()));
  // Answers are short beside the socket's buffer. A cut answer would only end this connection.
  if (send(fd, out.data(), out.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(out.size())) {
    shutdown(fd, SHUT_RDWR);
  }
}

void WorkerPool::AnswerHold(int fd, TimePoint now) {
  Connection& connection = connections_[fd];
  const Worker& worker = workers_[connection.worker];
  Json running = Json::array();
  for (const auto& [key, it] : worker.running) {
    const double done = DoneMs(it.done_ms, it.percent, now - it.since);
    const double part = it.work_ms == 0 ? 100 : 100 * done / static_cast<double>(it.work_ms);
    const int64_t figure = it.target_ms == 0 ? kTaskCpuMilli * it.percent / 100
                                             : TailMs(key.first, it.target_ms, ClockMs(now));
    running.push_back(
        {key.first, key.second, "", std::min<int64_t>(std::llround(part), 100), figure});
  }
  Json ended = Json::array();
  for (const End& it : worker.ended) {
    if (ended.size() == kMaxListedEnds) break;
    ended.push_back({it.sequence, it.run.first, it.run.second, it.how, ""});
  }
  connection.holds = false;
  Answer(fd, 200, {{"born", born_ms_}, {"running", running}, {"ended", ended}}, now);
}

void WorkerPool::Tick(TimePoint now) {
  for (Worker& it : workers_) EndRuns(&it, now);
  for (auto& [fd, it] : connections_) {
    if (!it.holds || (now < it.hold_until && workers_[it.worker].ended.empty())) continue;
    AnswerHold(fd, now);
    HandleRequests(fd, now);
  }
}

void WorkerPool::EndRuns(Worker* worker, TimePoint now) {
  const bool lapsed = ClockMs(now) > worker->lease_ms;
  for (auto it = worker->running.begin(); it != worker->running.end();) {
    const Run& run = it->second;
    const double done = DoneMs(run.done_ms, run.percent, now - run.since);
    const bool is_done = run.work_ms > 0 && done >= static_cast<double>(run.work_ms);
    const bool stopped = now >= run.stop_at;
    if (!lapsed && !is_done && !stopped) {
      ++it;
      continue;
    }
    const char* how = lapsed ? "lapsed" : is_done ? "done" : "stopped";
    worker->last_end += 1;
    worker->ended.push_back({worker->last_end, it->first, how});
    int64_t& highest = worker->highest_ended[it->first.first];
    highest = std::max(highest, it->first.second);
    it = worker->running.erase(it);
  }
}

int64_t WorkerPool::ClockMs(TimePoint now) const { return Milliseconds(now - started_) + 1; }

}  // namespace pomelopond::bench
