// Provides the faults and rate limits of the fake store.
#ifndef POMELOPOND_FAKES_STORE_STORE_FAULTS_H_
#define POMELOPOND_FAKES_STORE_STORE_FAULTS_H_

#include <cstdint>

#include "base/json_reader.h"
#include "base/time.h"

namespace pomelopond::fakes {

// Faults set by POST /fault. An absent member takes its default, so {} ends all faults.
struct StoreFaults {
  Duration latency{};             // delay before a call takes effect
  bool outage = false;            // every call is refused before it takes effect
  bool hang = false;              // no call takes effect or is answered while this is set
  int64_t lose_answers = 0;       // number of next writes that take effect but return an error
  int64_t hang_answers = 0;       // number of next writes that take effect but get no answer
  int64_t writes_per_second = 0;  // writes above this rate are refused; 0: no limit
  int64_t reads_per_second = 0;   // reads above this rate are refused; 0: no limit
};

// Reads the body of POST /fault. Adds every invalid field to `errors`.
StoreFaults ReadStoreFaults(const Json& document, FieldErrors* errors);

// Counts calls in one-second windows.
struct RateWindow {
  TimePoint start;    // start of the current window
  int64_t count = 0;  // calls in the current window, including refused ones
};

// Counts a call at `now`. Returns true if it stays within `per_second` (0: no limit).
bool Admit(RateWindow* window, int64_t per_second, TimePoint now);

}  // namespace pomelopond::fakes

#endif  // POMELOPOND_FAKES_STORE_STORE_FAULTS_H_
