#include "entry/settings.h"

#include <algorithm>

#include "base/log.h"

namespace pomelopond::entry {
namespace {

// A change of the owner takes its lease of 2 s, the competition, and a round of reports.
constexpr Duration kOwnerChangeTime = std::chrono::seconds(5);
constexpr int64_t kDayMs = 86400000;

Duration Milliseconds(JsonReader* reader, const std::string& key) {
  return std::chrono::milliseconds(reader->Int(key, 1, kDayMs));
}

int64_t ToMs(Duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

}  // namespace

Settings ReadSettings(const Json& document, FieldErrors* errors) {
  Settings settings;
  JsonReader reader(document, "", errors);
  settings.host = reader.String("host");
  settings.failure_domain = reader.String("failure_domain");
  settings.callers = reader.EndpointOf("callers");
  settings.readiness = reader.EndpointOf("readiness");
  settings.metrics_port = static_cast<uint16_t>(reader.IntOr("metrics_port", 0, 65535, 0));
  settings.store = reader.EndpointOf("store");
  if (reader.Has("policy")) settings.policy = reader.EndpointOf("policy");
  settings.log_level = reader.StringOr("log_level", settings.log_level);
  settings.http_threads =
      static_cast<int>(reader.IntOr("http_threads", 1, 64, settings.http_threads));
  settings.max_body_bytes = reader.IntOr("max_body_bytes", 1024, 1 << 30, settings.max_body_bytes);
  settings.max_lease = Milliseconds(&reader, "max_lease_ms");
  settings.stop_limit = Milliseconds(&reader, "stop_limit_ms");
  settings.status_time = Milliseconds(&reader, "status_time_ms");
  LogLevel level = LogLevel::kInfo;
  if (!ParseLogLevel(settings.log_level, &level)) {
    reader.Fail("log_level", ResultCode::kBadField, "is not debug, info, warn or error");
  }
  reader.Finish();
  return settings;
}

Json ToJson(const Settings& settings) {
  Json out = {{"host", settings.host},
              {"failure_domain", settings.failure_domain},
              {"callers", ToString(settings.callers)},
              {"readiness", ToString(settings.readiness)},
              {"metrics_port", settings.metrics_port},
              {"store", ToString(settings.store)},
              {"log_level", settings.log_level},
              {"http_threads", settings.http_threads},
              {"max_body_bytes", settings.max_body_bytes},
              {"max_lease_ms", ToMs(settings.max_lease)},
              {"stop_limit_ms", ToMs(settings.stop_limit)},
              {"status_time_ms", ToMs(settings.status_time)}};
  if (settings.policy) out["policy"] = ToString(*settings.policy);
  return out;
}

Duration RunLease(const Settings& settings) {
  return std::min(settings.max_lease, kOwnerChangeTime);
}

}  // namespace pomelopond::entry
