// Stand-in for an executor that guards its capacity.
#ifndef POMELOPOND_REVIEW_WORKER_H_
#define POMELOPOND_REVIEW_WORKER_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "http.h"
#include "ledger.h"
#include "store.h"

namespace review {

struct WorkerOptions {
  std::string id;
  std::string address;
  std::string service;
  int64_t cpu_milli = 16000;
  int64_t memory_mb = 64000;
  int64_t task_ms = 1000;  // duration of each task
  // Resources of each task; the orders don't carry them.
  int64_t task_cpu_milli = 1000;
  int64_t task_memory_mb = 100;
  int64_t checkpoint_ms = 0;  // time between checkpoints; 0: none
  int max_connections = 64;
};

class Worker {
 public:
  Worker(const WorkerOptions& options, Store* store, Ledger* ledger);

  void Start();
  // The machine fails without a word, and all that runs on it ends.
  void Crash();
  // It starts again under its id, and checks in `first_check_in` later.
  void StartAgain(std::chrono::milliseconds first_check_in);

  // Cuts the worker off right after the next start that it carries out: connections are reset and
  // new ones refused, and what runs there goes on.
  void CutAtNextStart();
  // Returns false if no start has come, so that there was no cut.
  bool EndCut();

  int Connections() const { return server_.Connections(); }
  int RunningTasks();
  int ListedEnds();

 private:
  using Clock = std::chrono::steady_clock;
  using RunKey = std::pair<std::string, int64_t>;
  struct Active {
    size_t record = 0;
    Clock::time_point began;
    Clock::time_point ends;
    bool stopping = false;
  };
  struct End {
    int64_t sequence = 0;
    RunKey run;
    std::string how;
    size_t record = 0;
  };

  Response Handle(const Request& request);
  Response StartRun(const nlohmann::json& body);
  Response StopRun(const nlohmann::json& body);
  Response Hold(const nlohmann::json& body, std::unique_lock<std::mutex>* lock);
  void NewLife();
  void ExtendLease(int64_t until_ms);
  void ListEnd(const RunKey& run, const Active& active, const std::string& how);
  void Tick();
  void CheckIn();
  int64_t ClockMs() const;
  std::string CheckpointOf(const Active& active) const;
  Response Answer(int status, nlohmann::json body) const;

  const WorkerOptions options_;
  Store* const store_;
  Ledger* const ledger_;
  Server server_;
  std::mutex mutex_;  // guards the members below
  std::condition_variable changed_;
  int life_ = 0;
  bool up_ = false;
  bool cut_at_start_ = false;
  bool cut_ = false;
  int64_t born_ms_ = 0;
  Clock::time_point started_;
  Clock::time_point next_check_in_;
  int64_t sequence_ = 0;  // of check-ins
  int64_t fence_ = 0;
  int64_t lease_ms_ = 0;  // end of the lease on the worker's clock
  std::map<RunKey, Active> running_;
  std::map<std::string, int64_t> highest_ended_;  // by task
  std::vector<End> ended_;
  int64_t last_end_ = 0;
};

}  // namespace review

#endif  // POMELOPOND_REVIEW_WORKER_H_
