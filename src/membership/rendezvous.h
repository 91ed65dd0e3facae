// Rendezvous hashing.
#ifndef POMELOPOND_MEMBERSHIP_RENDEZVOUS_H_
#define POMELOPOND_MEMBERSHIP_RENDEZVOUS_H_

#include <cstdint>
#include <string>

namespace pomelopond::membership {

// The weight of `member` for `key`; the member with the highest weight comes first. The same in
// every process and on every machine.
uint64_t RendezvousWeight(const std::string& key, const std::string& member);

}  // namespace pomelopond::membership

#endif  // POMELOPOND_MEMBERSHIP_RENDEZVOUS_H_
