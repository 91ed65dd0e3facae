// Measures the processor time, wake-ups and memory of calls to workers.
//
// A child process stands in for the workers, so that the resource usage of this process is that of
// the calls. For the system calls of a call, run the two parts apart:
//   bench-worker-calls --part workers & strace -f -c bench-worker-calls --part owner
#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <map>
#include <string>
#include <thread>

#include "bench/support/bench_result.h"
#include "http/thread_pool.h"
#include "platform/worker_api.h"

namespace pomelopond::bench {
namespace {

constexpr uint16_t kPort = 7680;
constexpr int kPoolThreads = 2;  // as the entry program has by default
constexpr int kMaxServeSeconds = 120;
// A tenth of a core makes 1,000 calls a second, half of them after wake-ups of their own.
constexpr double kMaxCallUs = 100;

Endpoint WorkerEndpoint(int n) { return {"127.0.77." + std::to_string(n + 1), kPort}; }

int Listen(const Endpoint& endpoint) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
  const bool is_bound = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  if (!is_bound || listen(fd, 64) != 0) std::abort();
  return fd;
}

std::string Answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string ReportBody(int runs) {
  Json body = {{"clock_ms", 123456789}, {"born", 1700000000000}};
  body["running"] = Json::array();
  for (int n = 0; n < runs; ++n) {
    const std::string task =
        "0123456789abcdef.0." + std::to_string(n % 7) + "." + std::to_string(n);
    body["running"].push_back({task, 3, "", 100, 850});
  }
  body["ended"] = Json::array({{17, "0123456789abcdef.0.1.2", 3, "done", ""}});
  return body.dump();
}

// Answers the requests to all workers until `seconds` have passed.
void ServeWorkers(int workers, int runs, int seconds) {
  alarm(static_cast<unsigned>(seconds));
  const std::string report = Answer(ReportBody(runs));
  const std::string accepted = Answer(R"({"clock_ms":123456789,"born":1700000000000})");
  const int epoll = epoll_create1(EPOLL_CLOEXEC);
  const auto watch = [epoll](int fd) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
  };
  std::map<int, std::string> unread;
  int last_listener = 0;
  for (int n = 0; n < workers; ++n) watch(last_listener = Listen(WorkerEndpoint(n)));
  for (;;) {
    epoll_event event{};
    if (epoll_wait(epoll, &event, 1, -1) != 1) continue;
    const int fd = event.data.fd;
    if (fd <= last_listener) {
      watch(accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
      continue;
    }
    char buf[8192];
    const ssize_t n = recv(fd, buf, sizeof(buf), 0);
    if (n <= 0) {
      close(fd);
      unread.erase(fd);
      continue;
    }
    std::string& in = unread[fd];
    in.append(buf, static_cast<size_t>(n));
    const size_t end = in.find("\r\n\r\n");
    const size_t length = in.find("Content-Length:");
    if (end == std::string::npos || length == std::string::npos) continue;
    const auto size = static_cast<size_t>(std::atoi(in.c_str() + length + 15));
    if (in.size() < end + 4 + size) continue;
    const std::string& answer = in.find("/api/hold") < end ? report : accepted;
    in.clear();
    send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
  }
}

struct Usage {
  double processor_us = 0;
  double wake_ups = 0;
};

Usage ReadUsage() {
  rusage it{};
  getrusage(RUSAGE_SELF, &it);
  const auto us = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec);
  };
  return {us(it.ru_utime) + us(it.ru_stime), static_cast<double>(it.ru_nvcsw)};
}

struct Load {
  int workers = 0;
  int calls = 0;
  int batch = 0;  // calls that are sent together
  int rate = 0;   // calls a second
};

// Makes call `n`: two of five are heartbeats, as in a busy pool.
void MakeCall(platform::WorkerApi* api, int n, int workers, std::atomic<int>* failed,
              std::atomic<int>* ended) {
  const int worker = n % workers;
  const dispatch::WorkerAddress to{"worker-" + std::to_string(worker), WorkerEndpoint(worker)};
  const auto count = [failed, ended](const dispatch::Answer& it) {
    if (it.status != dispatch::OrderStatus::kAccepted) failed->fetch_add(1);
    ended->fetch_add(1);
  };
  if (n % 5 < 2) {
    const dispatch::HeartbeatOrder order{to, 7, 123456789, 16, {}};
    return api->Heartbeat(order, [count](const dispatch::Report& it) { count(it.answer); });
  }
  dispatch::StartOrder order;
  order.to = to;
  order.epoch = 7;
  order.lease_end_ms = 123456789;
  order.run = {{"0123456789abcdef", 0, 1, n}, 3};
  order.spec = "image-7/spec";
  api->Start(order, count);
}

int MeasureOwner(const Load& load) {
  http::InitThreadPool(kPoolThreads);
  metrics::Registry metrics;
  platform::WorkerApi api(&metrics);
  std::atomic<int> failed{0};
  std::atomic<int> ended{0};
  const auto run = [&](int calls) {
    ended.store(0);
    const Duration gap(int64_t{1000000} * load.batch / load.rate);
    TimePoint due = Now();
    for (int n = 0; n < calls; ++n) {
      if (n % load.batch == 0) std::this_thread::sleep_for((due += gap) - Now());
      MakeCall(&api, n, load.workers, &failed, &ended);
    }
    while (ended.load() < calls) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  };
  // Opens the connections.
  run(std::min(load.calls, 5 * load.workers));
  failed.store(0);
  const Usage before = ReadUsage();
  const TimePoint start = Now();
  run(load.calls);
  const double elapsed = std::chrono::duration<double>(Now() - start).count();
  const Usage after = ReadUsage();
  const platform::CallTimes times = api.TakeCallTimes();
  rusage peak{};
  getrusage(RUSAGE_SELF, &peak);
  const double calls = load.calls;
  const double call_us = (after.processor_us - before.processor_us) / calls;
  return Report("worker_calls",
                {{"call_us", call_us},
                 {"wake_ups_per_call", (after.wake_ups - before.wake_ups) / calls},
                 {"calls_per_s", calls / elapsed},
                 {"mean_order_us", static_cast<double>(times.order_time.count()) /
                                       static_cast<double>(std::max<int64_t>(times.orders, 1))},
                 {"longest_order_ms", static_cast<double>(Milliseconds(times.longest_order))},
                 {"peak_memory_mb", static_cast<double>(peak.ru_maxrss) / 1024},
                 {"failed", static_cast<double>(failed.load())}},
                call_us <= kMaxCallUs && failed.load() == 0);
}

int Main(int argc, char** argv) {
  cxxopts::Options options("bench-worker-calls", "Cost of calls to workers");
  options.add_options()("workers", "workers, up to 250",
                        cxxopts::value<int>()->default_value("200"))(
      "calls", "measured calls", cxxopts::value<int>()->default_value("20000"))(
      "rate", "calls a second", cxxopts::value<int>()->default_value("2000"))(
      "batch", "calls that are sent together", cxxopts::value<int>()->default_value("10"))(
      "runs", "runs in a report", cxxopts::value<int>()->default_value("8"))(
      "part", "all, workers or owner", cxxopts::value<std::string>()->default_value("all"))(
      "seed", "accepted by every benchmark; unused, as nothing is random",
      cxxopts::value<int64_t>()->default_value("1"));
  const auto args = options.parse(argc, argv);
  const Load load{args["workers"].as<int>(), args["calls"].as<int>(), args["batch"].as<int>(),
                  args["rate"].as<int>()};
  const int runs = args["runs"].as<int>();
  const auto part = args["part"].as<std::string>();
  if (part == "owner") return MeasureOwner(load);
  const pid_t child = part == "all" ? fork() : 0;
  if (child == 0) {
    ServeWorkers(load.workers, runs, kMaxServeSeconds);
    return 1;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const int status = MeasureOwner(load);
  kill(child, SIGKILL);
  waitpid(child, nullptr, 0);
  return status;
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) { return pomelopond::bench::Main(argc, argv); }
