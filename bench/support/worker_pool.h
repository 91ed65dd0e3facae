// Stand-in for the platform's executors: many workers in one thread, each at a loopback port of its
// own.
#ifndef POMELOPOND_BENCH_SUPPORT_WORKER_POOL_H_
#define POMELOPOND_BENCH_SUPPORT_WORKER_POOL_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/json.h"
#include "base/time.h"

namespace pomelopond::bench {

inline constexpr int kWorkerPaths = 4;
inline constexpr std::array<const char*, kWorkerPaths> kWorkerPathNames = {
    "/api/run-start", "/api/run-stop", "/api/hold", "/api/pace"};

// What the workers have carried out so far.
struct WorkerCounts {
  std::array<int64_t, kWorkerPaths> calls{};  // in the order of kWorkerPathNames
  int64_t starts = 0;
  int64_t ends = 0;  // acknowledged by the owner
  int64_t bytes = 0;
};

// The members of a run's `spec` that the workers read: how long its work takes at full pace, in
// milliseconds (0: it lasts until it is stopped), and its target tail (0: it serves no users).
std::string RunSpec(int64_t work_ms, int64_t target_ms);

class WorkerPool {
 public:
  // Opens `n` listeners on the address. Serves them until the destructor.
  WorkerPool(int n, const std::string& address);
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // The entries of the workers in the store: id and value.
  std::vector<std::pair<std::string, std::string>> Entries() const;
  WorkerCounts Counts() const;

 private:
  using RunKey = std::pair<std::string, int64_t>;
  struct Run {
    int64_t work_ms = 0;
    int64_t target_ms = 0;
    int64_t percent = 100;  // pace
    double done_ms = 0;     // work done until `since`
    TimePoint since;
    TimePoint stop_at = TimePoint::max();
  };
  struct End {
    int64_t sequence = 0;
    RunKey run;
    const char* how = "done";
  };
  struct Worker {
    std::string id;
    int port = 0;
    int64_t lease_ms = 0;
    int64_t last_end = 0;
    std::map<RunKey, Run> running;
    std::map<std::string, int64_t> highest_ended;
    std::vector<End> ended;
  };
  struct Connection {
    size_t worker = 0;
    std::string in;
    bool holds = false;  // a hold waits for an end until `hold_until`
    TimePoint hold_until;
  };

  void Listen(size_t worker, const std::string& address);
  void Serve();
  void Accept(int listener, size_t worker);
  void Receive(int fd, TimePoint now);
  void HandleRequests(int fd, TimePoint now);
  void Handle(int fd, const std::string& path, const Json& body, TimePoint now);
  Json StartRun(Worker* worker, const Json& body, TimePoint now, int* status);
  void SetPace(Worker* worker, const Json& body, TimePoint now);
  void Acknowledge(Worker* worker, int64_t last_seen);
  void Answer(int fd, int status, Json body, TimePoint now);
  void AnswerHold(int fd, TimePoint now);
  void Tick(TimePoint now);
  void EndRuns(Worker* worker, TimePoint now);
  int64_t ClockMs(TimePoint now) const;

  const std::string address_;
  const TimePoint started_;
  const int64_t born_ms_;
  int epoll_ = -1;
  std::vector<Worker> workers_;
  std::map<int, size_t> listeners_;
  std::map<int, Connection> connections_;
  // Written by the serving thread only.
  std::array<std::atomic<int64_t>, kWorkerPaths> calls_{};
  std::atomic<int64_t> starts_{0};
  std::atomic<int64_t> ends_{0};
  std::atomic<int64_t> bytes_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace pomelopond::bench

#endif  // POMELOPOND_BENCH_SUPPORT_WORKER_POOL_H_
