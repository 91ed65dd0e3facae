#include "ledger.h"

#include <chrono>
#include <fstream>
#include <map>

namespace review {
namespace {

int64_t NowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::string NameOf(const Run& run) {
  return run.task + " run " + std::to_string(run.run) + " on " + run.worker + " life " +
         std::to_string(run.life);
}

std::string Interval(const Run& run) {
  return NameOf(run) + " [" + std::to_string(run.began_ms) + ", " +
         (run.ended_ms < 0 ? std::string("still running") : std::to_string(run.ended_ms)) + "] " +
         run.how;
}

bool Overlap(const Run& earlier, const Run& later) {
  return earlier.ended_ms < 0 || earlier.ended_ms > later.began_ms;
}

bool DoneBefore(const Run& earlier, const Run& later) {
  return earlier.how == "done" && earlier.ended_ms <= later.began_ms && earlier.noted_ms >= 0 &&
         !earlier.forgotten;
}

}  // namespace

Ledger::Ledger() : began_us_(NowUs()) {}

int64_t Ledger::NowMs() const { return (NowUs() - began_us_) / 1000; }

void Ledger::RecordLocked(const std::string& text) {
  lines_.push_back(std::to_string(NowMs()) + " ms  " + text);
}

void Ledger::Record(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RecordLocked(text);
}

size_t Ledger::Began(const std::string& task, int64_t run, const std::string& worker, int life) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Run it;
  it.task = task;
  it.run = run;
  it.worker = worker;
  it.life = life;
  it.began_ms = NowMs();
  runs_.push_back(it);
  RecordLocked("run begins: " + NameOf(it));
  return runs_.size() - 1;
}

void Ledger::Ended(size_t index, const std::string& how) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Run& it = runs_.at(index);
  it.ended_ms = NowMs();
  it.how = how;
  RecordLocked("run ends " + how + ": " + NameOf(it));
}

void Ledger::Noted(size_t index) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Run& it = runs_.at(index);
  it.noted_ms = NowMs();
  RecordLocked("end taken note of: " + NameOf(it));
}

void Ledger::LeaseLapsed(const std::string& worker, int life) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RecordLocked("lease lapses: " + worker);
  for (Run& it : runs_) {
    if (it.worker != worker || it.life != life || it.ended_ms < 0 || it.noted_ms >= 0) continue;
    it.forgotten = true;
  }
}

std::vector<Run> Ledger::Runs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

std::vector<std::string> Ledger::Twice() const {
  std::map<std::string, std::vector<Run>> by_task;
  for (const Run& it : Runs()) by_task[it.task].push_back(it);
  std::vector<std::string> out;
  for (const auto& [task, runs] : by_task) {
    // Runs are in the order of their start.
    for (size_t n = 1; n < runs.size(); ++n) {
      for (size_t k = 0; k < n; ++k) {
        if (Overlap(runs[k], runs[n])) {
          out.push_back("two runs at one time: " + Interval(runs[k]) + "; " + Interval(runs[n]));
        } else if (DoneBefore(runs[k], runs[n])) {
          out.push_back("a start after an end that was taken note of at " +
                        std::to_string(runs[k].noted_ms) + ": " + Interval(runs[k]) + "; " +
                        Interval(runs[n]));
        }
      }
    }
  }
  return out;
}

void Ledger::Write(const std::string& path) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ofstream out(path);
  for (const std::string& it : lines_) out << it << "\n";
}

}  // namespace review
