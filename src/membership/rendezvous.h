// Provides the weights for rendezvous (highest random weight) hashing.
#ifndef POMELOPOND_MEMBERSHIP_RENDEZVOUS_H_
#define POMELOPOND_MEMBERSHIP_RENDEZVOUS_H_

#include <cstdint>
#include <string>

namespace pomelopond::membership {

// Returns the weight of `member` for `key`; the member with the highest weight ranks first. The
// weight is the same in every process and on every machine.
uint64_t RendezvousWeight(const std::string& key, const std::string& member);

}  // namespace pomelopond::membership

#endif  // POMELOPOND_MEMBERSHIP_RENDEZVOUS_H_
