// Faults of the store stand-in.
#ifndef POMELOPOND_FAKES_STORE_STORE_FAULTS_H_
#define POMELOPOND_FAKES_STORE_STORE_FAULTS_H_

#include <cstdint>

#include "base/json_reader.h"
#include "base/time.h"

namespace pomelopond::fakes {

// Set with POST /fault. Absent members take their default, so {} ends all faults.
struct StoreFaults {
  Duration latency{};        // before each call takes effect
  bool outage = false;       // every call is refused before it takes effect
  bool hang = false;         // no call takes effect or is answered while this is set
  int64_t lose_answers = 0;  // that many next writes take effect and are answered with an error
  int64_t hang_answers = 0;  // that many next writes take effect and get no answer
  int64_t writes_per_second = 0;  // 0: no limit; calls above it are refused
  int64_t reads_per_second = 0;
};

StoreFaults ReadStoreFaults(const Json& document, FieldErrors* errors);

// Counts calls in one-second windows.
struct RateWindow {
  TimePoint start;
  int64_t count = 0;
};

// True when one more call at `now` stays within `per_second` (0: no limit).
bool Admit(RateWindow* window, int64_t per_second, TimePoint now);

}  // namespace pomelopond::fakes

#endif  // POMELOPOND_FAKES_STORE_STORE_FAULTS_H_
