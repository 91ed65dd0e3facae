// Random identifiers from the system's random source.
#ifndef POMELOPOND_BASE_RANDOM_ID_H_
#define POMELOPOND_BASE_RANDOM_ID_H_

#include <cstdint>
#include <string>

namespace pomelopond {

// 128 random bits as 32 hexadecimal digits.
std::string RandomId();

// 64 random bits, never 0; used as the incarnation of a process.
uint64_t RandomIncarnation();

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_RANDOM_ID_H_
