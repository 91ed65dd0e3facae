#include "base/process_usage.h"

#include <sys/resource.h>
#include <sys/time.h>

#include <filesystem>
#include <iterator>

namespace pomelopond {
namespace {

constexpr int64_t kKibibyte = 1024;
constexpr int64_t kMsPerSecond = 1000;
constexpr int64_t kUsPerMs = 1000;

int64_t ToMs(const timeval& value) {
  return value.tv_sec * kMsPerSecond + value.tv_usec / kUsPerMs;
}

int64_t CountDescriptors() {
  std::error_code ec;
  const std::filesystem::directory_iterator all("/proc/self/fd", ec);
  if (ec) return -1;
  // The directory iterator itself holds one descriptor.
  return std::distance(begin(all), end(all)) - 1;
}

}  // namespace

ProcessUsage ReadProcessUsage() {
  ProcessUsage usage;
  usage.descriptors = CountDescriptors();
  rusage all{};
  if (getrusage(RUSAGE_SELF, &all) != 0) {
    usage.peak_memory_bytes = -1;
    usage.processor_ms = -1;
    return usage;
  }
  usage.peak_memory_bytes = all.ru_maxrss * kKibibyte;
  usage.processor_ms = ToMs(all.ru_utime) + ToMs(all.ru_stime);
  return usage;
}

}  // namespace pomelopond
