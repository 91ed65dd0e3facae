// Stand-ins of executors that follow the users' protocol: leases, fencing, capacity and ends.
#ifndef POMELOPOND_REVIEW_HARNESS_EXECUTORS_H_
#define POMELOPOND_REVIEW_HARNESS_EXECUTORS_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "http_io.h"
#include "record.h"

namespace pomelopond::review {

using Json = nlohmann::json;

struct ExecutorOptions {
  std::string id;
  std::string service;
  Address address;
  int64_t cpu = 16000;
  int64_t mem_mb = 64000;
  int64_t hold_max_ms = 10000;
  int64_t stop_ms = 20;
  // Records each start and end. Else only the journal counts them.
  bool records_runs = true;
};

// What an end of a run or its acknowledgement tells, for the checks of a case.
struct Journal {
  std::mutex mutex;                               // guards the members below
  std::map<std::string, std::string> done;        // tasks that ended `done`: executor and position
  std::map<std::string, int64_t> noted;           // those of which note was taken: when
  std::map<std::string, int64_t> started;         // by task: when it was last started
  std::map<std::string, int> starts;              // by task
  std::map<std::string, int64_t> repeated_after;  // starts after a noted end: when
  int64_t started_runs = 0;
  int64_t done_runs = 0;
};

// One life of an executor. It ends, with all that runs on it, when it is destroyed. The spec of a
// job tells how long its tasks work: "work MS".
class Executor {
 public:
  Executor(ExecutorOptions options, Record* record, Journal* journal);
  ~Executor();

  bool listening() const { return server_->listening(); }
  // The executor's entry in the store.
  Json Entry() const;

 private:
  struct Run {
    int64_t number = 0;
    int64_t cpu = 0;
    Clock::time_point began;
    Clock::time_point ends;
    bool stopping = false;
  };
  struct End {
    int64_t position = 0;
    std::string task;
    int64_t run = 0;
    std::string how;
  };

  Response Handle(const Request& request);
  Response Start(const Json& in);
  Response Stop(const Json& in);
  Response Hold(const Json& in);
  // These require the lock.
  Response Refuse(const char* reason) const;
  bool TakeToken(const Json& in);
  void ExtendLease(const Json& in);
  void Update();
  void Finish(const std::string& task, const char* how);
  void TakeNote(int64_t last_seen);
  int64_t ClockMs() const;

  const ExecutorOptions options_;
  Record* const record_;
  Journal* const journal_;
  const Clock::time_point began_ = Clock::now();
  int64_t born_ms_ = 0;
  std::mutex mutex_;  // guards the members below
  std::condition_variable changed_;
  bool stopped_ = false;
  int64_t token_ = 0;
  int64_t lease_ends_ms_ = 0;
  int64_t last_position_ = 0;
  std::map<std::string, Run> runs_;         // by task
  std::map<std::string, int64_t> highest_;  // highest run that was stopped or has ended, by task
  std::deque<End> ends_;
  std::thread ticker_;
  std::unique_ptr<Server> server_;
};

}  // namespace pomelopond::review

#endif  // POMELOPOND_REVIEW_HARNESS_EXECUTORS_H_
