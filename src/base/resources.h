// Amounts of CPU, memory and accelerators, and their arithmetic.
#ifndef POMELOPOND_BASE_RESOURCES_H_
#define POMELOPOND_BASE_RESOURCES_H_

#include <cstdint>
#include <tuple>

namespace pomelopond {

// Largest amount that any input may state, in every dimension: 10^9 cores, or an exbibyte of
// memory. Sums and differences over up to 9 million workers or runs then stay within int64_t.
inline constexpr int64_t kMaxResourceAmount = 1000000000000;

struct Resources {
  int64_t cpu_milli = 0;     // thousandths of a core
  int64_t memory_mb = 0;     // mebibytes
  int64_t accelerators = 0;  // whole devices

  friend bool operator==(const Resources& a, const Resources& b) {
    return std::tie(a.cpu_milli, a.memory_mb, a.accelerators) ==
           std::tie(b.cpu_milli, b.memory_mb, b.accelerators);
  }
  friend bool operator!=(const Resources& a, const Resources& b) { return !(a == b); }
  friend Resources operator+(const Resources& a, const Resources& b) {
    return {a.cpu_milli + b.cpu_milli, a.memory_mb + b.memory_mb, a.accelerators + b.accelerators};
  }
  friend Resources operator-(const Resources& a, const Resources& b) {
    return {a.cpu_milli - b.cpu_milli, a.memory_mb - b.memory_mb, a.accelerators - b.accelerators};
  }
};

// Returns true if `need` is at most `available` in every dimension.
inline bool Fits(const Resources& need, const Resources& available) {
  return need.cpu_milli <= available.cpu_milli && need.memory_mb <= available.memory_mb &&
         need.accelerators <= available.accelerators;
}

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_RESOURCES_H_
