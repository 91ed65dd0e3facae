#include "fakes/store/store_faults.h"

namespace pomelopond::fakes {
namespace {

constexpr int64_t kMaxCount = 1000000000;
constexpr int64_t kMaxLatencyMs = 60000;

}  // namespace

StoreFaults ReadStoreFaults(const Json& document, FieldErrors* errors) {
  JsonReader reader(document, "", errors);
  StoreFaults faults;
  faults.latency = std::chrono::milliseconds(reader.IntOr("latency_ms", 0, kMaxLatencyMs, 0));
  faults.outage = reader.BoolOr("outage", false);
  faults.hang = reader.BoolOr("hang", false);
  faults.hang_answers = reader.IntOr("hang_answers", 0, kMaxCount, 0);
  faults.lose_answers = reader.IntOr("lose_answers", 0, kMaxCount, 0);
  faults.writes_per_second = reader.IntOr("writes_per_second", 0, kMaxCount, 0);
  faults.reads_per_second = reader.IntOr("reads_per_second", 0, kMaxCount, 0);
  reader.Finish();
  return faults;
}

bool Admit(RateWindow* window, int64_t per_second, TimePoint now) {
  if (now - window->start >= std::chrono::seconds(1)) *window = {now, 0};
  window->count += 1;
  return per_second == 0 || window->count <= per_second;
}

}  // namespace pomelopond::fakes
