// What a case has seen: a record of events in plain text, and all runs on all workers.
#ifndef POMELOPOND_REVIEW_LEDGER_H_
#define POMELOPOND_REVIEW_LEDGER_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace review {

// One run of a task on one life of a worker. Times are in ms since the start of the case; -1: not
// yet.
struct Run {
  std::string task;
  int64_t run = 0;
  std::string worker;
  int life = 0;
  int64_t began_ms = -1;
  int64_t ended_ms = -1;
  std::string how;         // done, stopped, lapsed or crashed
  int64_t noted_ms = -1;   // when `last_seen` reached the end
  bool forgotten = false;  // the lease lapsed between the end and that
};

class Ledger {
 public:
  Ledger();

  int64_t NowMs() const;
  void Record(const std::string& text);

  // Return the index of the run.
  size_t Began(const std::string& task, int64_t run, const std::string& worker, int life);
  void Ended(size_t index, const std::string& how);
  void Noted(size_t index);
  void LeaseLapsed(const std::string& worker, int life);

  std::vector<Run> Runs() const;
  // Descriptions of all breaches of the rule TWICE, for steps without `speculative`: two runs of a
  // task at one time, or a start after a run of it was done, when that end has been taken note of.
  std::vector<std::string> Twice() const;
  void Write(const std::string& path) const;

 private:
  void RecordLocked(const std::string& text);

  const int64_t began_us_;
  mutable std::mutex mutex_;  // guards the members below
  std::vector<std::string> lines_;
  std::vector<Run> runs_;
};

}  // namespace review

#endif  // POMELOPOND_REVIEW_LEDGER_H_
