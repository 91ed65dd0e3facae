#include "base/random_id.h"

#include <openssl/rand.h>

#include <array>
#include <cstdlib>

namespace pomelopond {
namespace {

// Fills `buf` with `n` random bytes. Aborts the process if the system provides no randomness,
// because repeated ids would break every guarantee that relies on their uniqueness.
void FillRandom(unsigned char* buf, int n) {
  if (RAND_bytes(buf, n) != 1) std::abort();
}

}  // namespace

std::string RandomId() {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::array<unsigned char, 16> buf{};
  FillRandom(buf.data(), static_cast<int>(buf.size()));
  std::string id;
  id.reserve(2 * buf.size());
  for (const unsigned char it : buf) {
    id.push_back(kDigits[it >> 4]);
    id.push_back(kDigits[it & 15]);
  }
  return id;
}

uint64_t RandomIncarnation() {
  uint64_t value = 0;
  while (value == 0) FillRandom(reinterpret_cast<unsigned char*>(&value), sizeof(value));
  return value;
}

}  // namespace pomelopond
