// Random identifiers from a cryptographically secure random source.
#ifndef POMELOPOND_BASE_RANDOM_ID_H_
#define POMELOPOND_BASE_RANDOM_ID_H_

#include <cstdint>
#include <string>

namespace pomelopond {

// Returns 128 random bits as 32 hexadecimal digits.
std::string RandomId();

// Returns 64 random bits, never 0. They identify the run, or incarnation, of a process.
uint64_t RandomIncarnation();

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_RANDOM_ID_H_
