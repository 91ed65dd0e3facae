// An executor as PROTOCOL.md describes it. A task works for the time that its spec names
// ("ms=300").
#ifndef POMELOPOND_REVIEW_LAB_EXECUTOR_H_
#define POMELOPOND_REVIEW_LAB_EXECUTOR_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "review/lab/store.h"

namespace pomelopond::lab {

// A run as the executor saw it.
struct RunRecord {
  std::string task;
  int64_t run = 0;
  int64_t token = 0;
  std::string executor;
  int64_t started_ms = 0;  // ElapsedMs()
  int64_t ended_ms = -1;   // -1: it goes on
  std::string how;
  std::string spec;
};

class Executor {
 public:
  // A hook is called before a call is carried out and may block; see Store::Hook.
  using Hook = std::function<Response(const Request&)>;

  Executor(std::string id, std::string service, std::string address, int64_t cpu);

  // Listens and checks in at the store until the program ends.
  void Start(Store* store);
  void SetHook(Hook hook);

  Response Handle(const Request& request);

  std::vector<RunRecord> Runs();
  int64_t CpuInUse();

 private:
  struct Run {
    size_t record = 0;
    int64_t cpu = 0;
    bool fails = false;
    Clock::time_point ends;  // max: it lasts
    Clock::time_point begun;
    Clock::duration length{};
  };
  struct End {
    int64_t n = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  int64_t ClockMs() const;
  // These require the lock.
  void Update();
  void Finish(const std::string& task, const std::string& how);
  void Extend(const Json& in);
  Response Answer(int status, Json body) const;
  Response RunStart(const Json& in);
  Response RunStop(const Json& in);
  Response Hold(const Json& in, std::unique_lock<std::mutex>* lock);

  const std::string id_;
  const std::string service_;
  const std::string address_;
  const int64_t cpu_;
  const int64_t born_;
  const Clock::time_point booted_ = Clock::now();
  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  Hook hook_;
  int64_t token_ = 0;
  int64_t until_ms_ = 0;
  int64_t last_end_ = 0;
  std::map<std::string, Run> running_;     // by task
  std::map<std::string, int64_t> closed_;  // highest run that was stopped or ended, by task
  std::deque<End> ended_;
  std::vector<RunRecord> records_;
};

}  // namespace pomelopond::lab

#endif  // POMELOPOND_REVIEW_LAB_EXECUTOR_H_
