#include "base/entry_settings.h"

#include <set>

namespace pomelopond {
namespace {

constexpr int64_t kMaxEntryHosts = 64;
constexpr int64_t kDayMs = 24LL * 3600 * 1000;
constexpr int64_t kWeekMs = 7 * kDayMs;

Duration MillisecondsOr(JsonReader* reader, const std::string& key, int64_t min, int64_t max,
                        int64_t fallback) {
  return std::chrono::milliseconds(reader->IntOr(key, min, max, fallback));
}

int64_t ToMs(Duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

EntryHost ReadEntryHost(const Json& object, const std::string& path, FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  EntryHost host;
  host.id = reader.String("id");
  host.failure_domain = reader.String("failure_domain");
  host.router = reader.EndpointOf("router");
  host.scheduler = reader.EndpointOf("scheduler");
  host.admin = reader.EndpointOf("admin");
  host.peer = reader.EndpointOf("peer");
  reader.Finish();
  return host;
}

AccessKey ReadAccessKey(const Json& object, const std::string& path, FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  AccessKey key;
  key.name = reader.String("name");
  key.key = reader.String("key");
  key.role = reader.String("role");
  key.team = reader.StringOr("team", "*");
  if (key.role != "read" && key.role != "operate" && key.role != "approve") {
    reader.Fail("role", ResultCode::kBadField, "must be read, operate or approve");
  }
  reader.Finish();
  return key;
}

void CheckHosts(const EntrySettings& settings, JsonReader* reader) {
  std::set<std::string> ids;
  for (const EntryHost& it : settings.entry_hosts) {
    if (!ids.insert(it.id).second) {
      reader->Fail("entry_hosts", ResultCode::kBadField, "has two hosts with the id " + it.id);
    }
  }
  if (ids.count(settings.host) == 0) {
    reader->Fail("host", ResultCode::kBadField, "must be the id of one of entry_hosts");
  }
  if (settings.entry_hosts.size() > static_cast<size_t>(kMaxEntryHosts)) {
    reader->Fail("entry_hosts", ResultCode::kBadField,
                 "must have at most " + std::to_string(kMaxEntryHosts) + " hosts");
  }
}

void ReadLogLevels(const Json& object, JsonReader* reader, EntrySettings* settings) {
  LogLevel ignored;
  if (!ParseLogLevel(settings->log_level, &ignored)) {
    reader->Fail("log_level", ResultCode::kBadField, "must be debug, info, warn or error");
  }
  for (const auto& it : object.items()) {
    if (!it.value().is_string() ||
        !ParseLogLevel(it.value().get_ref<const std::string&>(), &ignored)) {
      reader->Fail("log_levels." + it.key(), ResultCode::kBadField,
                   "must be debug, info, warn or error");
      continue;
    }
    settings->log_levels[it.key()] = it.value().get<std::string>();
  }
}

}  // namespace

EntrySettings ReadEntrySettings(const Json& document, FieldErrors* errors) {
  JsonReader reader(document, "", errors);
  EntrySettings settings;
  settings.host = reader.String("host");
  size_t n = 0;
  for (const Json& it : reader.ArrayOr("entry_hosts")) {
    const std::string path = "entry_hosts[" + std::to_string(n++) + "]";
    settings.entry_hosts.push_back(ReadEntryHost(it, path, errors));
  }
  CheckHosts(settings, &reader);
  settings.store = reader.EndpointOf("store");
  settings.host_list = reader.EndpointOf("host_list");
  settings.log_level = reader.StringOr("log_level", "info");
  ReadLogLevels(reader.ObjectOr("log_levels"), &reader, &settings);
  settings.http_threads = static_cast<int>(reader.IntOr("http_threads", 2, 64, 4));
  settings.drain_grace = MillisecondsOr(&reader, "drain_grace_ms", 0, 60000, 3000);
  settings.max_body_bytes = reader.IntOr("max_body_bytes", 1024, 64 << 20, 1 << 20);
  settings.store_timeout = MillisecondsOr(&reader, "store_timeout_ms", 10, 60000, 2000);
  settings.release_poll = MillisecondsOr(&reader, "release_poll_ms", 50, 2000, 500);
  settings.commit_interval = MillisecondsOr(&reader, "commit_interval_ms", 1, 2000, 50);
  settings.lease_ttl = MillisecondsOr(&reader, "lease_ttl_ms", 500, 600000, 20000);
  settings.member_ttl = MillisecondsOr(&reader, "member_ttl_ms", 1000, 600000, 10000);
  settings.exchange_interval = MillisecondsOr(&reader, "exchange_interval_ms", 50, 60000, 2000);
  settings.hold_limit = MillisecondsOr(&reader, "hold_limit_ms", 1000, kWeekMs, kDayMs);
  if (settings.exchange_interval * 3 > settings.lease_ttl) {
    reader.Fail("exchange_interval_ms", ResultCode::kBadField,
                "must be at most a third of lease_ttl_ms, or one lost message ends a lease");
  }
  n = 0;
  for (const Json& it : reader.ArrayOr("keys")) {
    const std::string path = "keys[" + std::to_string(n++) + "]";
    settings.keys.push_back(ReadAccessKey(it, path, errors));
  }
  reader.Finish();
  return settings;
}

Json ToJson(const EntrySettings& settings) {
  Json hosts = Json::array();
  for (const EntryHost& it : settings.entry_hosts) {
    hosts.push_back({{"id", it.id},
                     {"failure_domain", it.failure_domain},
                     {"router", ToString(it.router)},
                     {"scheduler", ToString(it.scheduler)},
                     {"admin", ToString(it.admin)},
                     {"peer", ToString(it.peer)}});
  }
  Json keys = Json::array();
  for (const AccessKey& it : settings.keys) {
    keys.push_back({{"name", it.name}, {"key", "withheld"}, {"role", it.role}, {"team", it.team}});
  }
  return {{"host", settings.host},
          {"entry_hosts", hosts},
          {"store", ToString(settings.store)},
          {"host_list", ToString(settings.host_list)},
          {"log_level", settings.log_level},
          {"log_levels", settings.log_levels},
          {"http_threads", settings.http_threads},
          {"drain_grace_ms", ToMs(settings.drain_grace)},
          {"max_body_bytes", settings.max_body_bytes},
          {"store_timeout_ms", ToMs(settings.store_timeout)},
          {"release_poll_ms", ToMs(settings.release_poll)},
          {"commit_interval_ms", ToMs(settings.commit_interval)},
          {"lease_ttl_ms", ToMs(settings.lease_ttl)},
          {"member_ttl_ms", ToMs(settings.member_ttl)},
          {"exchange_interval_ms", ToMs(settings.exchange_interval)},
          {"hold_limit_ms", ToMs(settings.hold_limit)},
          {"keys", keys}};
}

const EntryHost& LocalEntryHost(const EntrySettings& settings) {
  for (const EntryHost& it : settings.entry_hosts) {
    if (it.id == settings.host) return it;
  }
  return settings.entry_hosts.front();
}

}  // namespace pomelopond
