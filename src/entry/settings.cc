#include "entry/settings.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"

namespace pomelopond::entry {
namespace {

// A failover of the owner takes the expiry of its lease (2 s), the election and a round of worker
// reports.
constexpr Duration kOwnerFailoverTime = std::chrono::seconds(5);
constexpr double kMinMs = 1;
constexpr double kDayMs = 86400000;
constexpr double kMsPerSecond = 1000;
constexpr double kMilli = 1000;
constexpr double kMaxCores = 4096;
constexpr double kMaxLinkMbps = 1e9;
constexpr int64_t kMaxMemoryMb = 1 << 30;
constexpr int64_t kMaxDescriptors = 1 << 30;
constexpr int64_t kMinValueBytes = 1024;
constexpr int64_t kMaxValueBytes = 1 << 30;

using Milliseconds = std::chrono::duration<double, std::milli>;

// Durations may be fractional, because a deployment gives them in its own units.
Duration MillisecondsOr(JsonReader* reader, const std::string& key, Duration fallback) {
  const double ms = reader->NumberOr(key, kMinMs, kDayMs, Milliseconds(fallback).count());
  return std::chrono::duration_cast<Duration>(Milliseconds(ms));
}

Duration SecondsOr(JsonReader* reader, const std::string& key, Duration fallback) {
  const double s = reader->NumberOr(key, kMinMs / kMsPerSecond, kDayMs / kMsPerSecond,
                                    Milliseconds(fallback).count() / kMsPerSecond);
  return std::chrono::duration_cast<Duration>(Milliseconds(s * kMsPerSecond));
}

void ReadRequestLimits(JsonReader* reader, Settings* settings) {
  settings->max_header_bytes =
      reader->IntOr("max_header_bytes", 1024, 1 << 20, settings->max_header_bytes);
  settings->max_header_fields =
      reader->IntOr("max_header_fields", 16, 1 << 16, settings->max_header_fields);
  settings->max_body_bytes =
      reader->IntOr("max_body_bytes", 1024, 1 << 30, settings->max_body_bytes);
  settings->header_timeout = MillisecondsOr(reader, "header_timeout_ms", settings->header_timeout);
  settings->body_timeout = MillisecondsOr(reader, "body_timeout_ms", settings->body_timeout);
  settings->write_timeout = MillisecondsOr(reader, "write_timeout_ms", settings->write_timeout);
  settings->idle_timeout = MillisecondsOr(reader, "idle_timeout_ms", settings->idle_timeout);
}

double ToMs(Duration value) { return Milliseconds(value).count(); }

double ToSeconds(Duration value) { return ToMs(value) / kMsPerSecond; }

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
  settings.processor_share = reader.NumberOr("processor_share", 0, kMaxCores, 0);
  settings.processor_cores = reader.NumberOr("processor_cores", 0, kMaxCores, 1);
  settings.link_mbps = reader.NumberOr("link_mbps", 0, kMaxLinkMbps, 0);
  settings.memory_mb = reader.IntOr("memory_mb", 0, kMaxMemoryMb, 0);
  settings.max_fds = reader.IntOr("max_fds", 0, kMaxDescriptors, 0);
  settings.store_value_bytes =
      reader.IntOr("store_value_bytes", kMinValueBytes, kMaxValueBytes, settings.store_value_bytes);
  settings.http_threads =
      static_cast<int>(reader.IntOr("http_threads", 1, 64, settings.http_threads));
  ReadRequestLimits(&reader, &settings);
  settings.max_lease = MillisecondsOr(&reader, "max_lease_ms", settings.max_lease);
  settings.stop_limit = SecondsOr(&reader, "stop_limit_s", settings.stop_limit);
  settings.status_time = SecondsOr(&reader, "status_time_s", settings.status_time);
  settings.rescue_slow_runs = reader.BoolOr("rescue_slow_runs", settings.rescue_slow_runs);
  settings.order_by_work = reader.BoolOr("order_by_work", settings.order_by_work);
  settings.admission_control = reader.BoolOr("admission_control", settings.admission_control);
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
              {"processor_share", settings.processor_share},
              {"processor_cores", settings.processor_cores},
              {"link_mbps", settings.link_mbps},
              {"memory_mb", settings.memory_mb},
              {"max_fds", settings.max_fds},
              {"store_value_bytes", settings.store_value_bytes},
              {"http_threads", settings.http_threads},
              {"max_header_bytes", settings.max_header_bytes},
              {"max_header_fields", settings.max_header_fields},
              {"max_body_bytes", settings.max_body_bytes},
              {"header_timeout_ms", ToMs(settings.header_timeout)},
              {"body_timeout_ms", ToMs(settings.body_timeout)},
              {"write_timeout_ms", ToMs(settings.write_timeout)},
              {"idle_timeout_ms", ToMs(settings.idle_timeout)},
              {"max_lease_ms", ToMs(settings.max_lease)},
              {"stop_limit_s", ToSeconds(settings.stop_limit)},
              {"status_time_s", ToSeconds(settings.status_time)},
              {"rescue_slow_runs", settings.rescue_slow_runs},
              {"order_by_work", settings.order_by_work},
              {"admission_control", settings.admission_control}};
  if (settings.policy) out["policy"] = ToString(*settings.policy);
  return out;
}

int64_t ProcessorMilli(const Settings& settings) {
  return std::llround(settings.processor_share * settings.processor_cores * kMilli);
}

Duration RunLease(const Settings& settings) {
  return std::min(settings.max_lease, kOwnerFailoverTime);
}

}  // namespace pomelopond::entry
