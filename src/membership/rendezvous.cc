#include "membership/rendezvous.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pomelopond::membership {

uint64_t RendezvousWeight(const std::string& key, const std::string& member) {
  const uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

}  // namespace pomelopond::membership
