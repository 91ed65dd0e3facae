// The record of a case: what was sent, answered and run, one line each.
#ifndef POMELOPOND_REVIEW_HARNESS_RECORD_H_
#define POMELOPOND_REVIEW_HARNESS_RECORD_H_

#include <fstream>
#include <mutex>
#include <string>

#include "http_io.h"

namespace pomelopond::review {

// Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path), began_(Clock::now()) {}

  int64_t NowMs() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - began_).count();
  }

  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    out_ << NowMs() << " ms  " << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  const Clock::time_point began_;
};

}  // namespace pomelopond::review

#endif  // POMELOPOND_REVIEW_HARNESS_RECORD_H_
