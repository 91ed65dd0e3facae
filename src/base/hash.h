// A hash that is the same in all processes and versions.
#ifndef POMELOPOND_BASE_HASH_H_
#define POMELOPOND_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace pomelopond {

// FNV-1a with its halves mixed, as the low bits of similar texts differ little.
constexpr uint64_t StableHash(std::string_view text) {
  constexpr uint64_t kOffset = 14695981039346656037U;
  constexpr uint64_t kPrime = 1099511628211U;
  constexpr unsigned kHalf = 32;
  uint64_t hash = kOffset;
  for (const char it : text) hash = (hash ^ static_cast<unsigned char>(it)) * kPrime;
  return hash ^ (hash >> kHalf);
}

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_HASH_H_
