// Resource usage of a process.
#ifndef POMELOPOND_BASE_PROCESS_USAGE_H_
#define POMELOPOND_BASE_PROCESS_USAGE_H_

#include <cstdint>

namespace pomelopond {

struct ProcessUsage {
  int64_t peak_memory_bytes = 0;  // peak resident set size
  int64_t descriptors = 0;        // number of open file descriptors
  int64_t processor_ms = 0;       // processor time used in user and system mode

  friend bool operator==(const ProcessUsage& a, const ProcessUsage& b) {
    return a.peak_memory_bytes == b.peak_memory_bytes && a.descriptors == b.descriptors &&
           a.processor_ms == b.processor_ms;
  }
};

// Returns the usage of the calling process. A member that the system does not report is -1.
ProcessUsage ReadProcessUsage();

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_PROCESS_USAGE_H_
