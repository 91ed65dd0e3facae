// Random draws of the soak.
#ifndef POMELOPOND_TESTS_SOAK_RANDOM_H_
#define POMELOPOND_TESTS_SOAK_RANDOM_H_

#include <cstdint>
#include <random>

#include "base/time.h"

namespace pomelopond {

class Random {
 public:
  explicit Random(uint64_t seed) : random_(seed) {}
  int Between(int low, int high) { return std::uniform_int_distribution<>(low, high)(random_); }
  Duration MsBetween(int low, int high) { return std::chrono::milliseconds(Between(low, high)); }

 private:
  std::mt19937_64 random_;
};

}  // namespace pomelopond

#endif  // POMELOPOND_TESTS_SOAK_RANDOM_H_
