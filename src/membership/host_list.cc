#include "membership/host_list.h"

#include <limits>

namespace pomelopond::membership {
namespace {

constexpr int64_t kMaxAmount = 1LL << 40;
constexpr int64_t kMaxSlots = 1 << 20;

HostState ReadState(JsonReader* reader) {
  const std::string state = reader->StringOr("state", "live");
  if (state == "live") return HostState::kLive;
  if (state == "leaving") return HostState::kLeaving;
  if (state == "gone") return HostState::kGone;
  reader->Fail("state", ResultCode::kBadField, "must be live, leaving or gone");
  return HostState::kLeaving;
}

TargetInfo ReadTarget(const Json& object, const std::string& path, FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  TargetInfo target;
  target.service = reader.String("service");
  target.endpoint = reader.EndpointOf("endpoint");
  target.slots = reader.Int("slots", 1, kMaxSlots);
  target.connections = reader.Int("connections", 1, kMaxSlots);
  reader.Finish();
  return target;
}

HostInfo ReadHost(const Json& object, const std::string& path, FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  HostInfo host;
  host.id = reader.String("id");
  host.failure_domain = reader.String("failure_domain");
  host.rack = reader.String("rack");
  host.state = ReadState(&reader);
  host.capacity.cpu_milli = reader.Int("cpu_milli", 0, kMaxAmount);
  host.capacity.memory_mb = reader.Int("memory_mb", 0, kMaxAmount);
  host.capacity.accelerators = reader.IntOr("accelerators", 0, kMaxAmount, 0);
  host.worker = reader.EndpointOf("worker");
  size_t n = 0;
  for (const Json& it : reader.ArrayOr("targets")) {
    host.targets.push_back(ReadTarget(it, path + ".targets[" + std::to_string(n++) + "]", errors));
  }
  reader.Finish();
  return host;
}

Json ToJson(const HostInfo& host) {
  Json targets = Json::array();
  for (const TargetInfo& it : host.targets) {
    targets.push_back({{"service", it.service},
                       {"endpoint", ToString(it.endpoint)},
                       {"slots", it.slots},
                       {"connections", it.connections}});
  }
  return {{"id", host.id},
          {"failure_domain", host.failure_domain},
          {"rack", host.rack},
          {"state", HostStateName(host.state)},
          {"cpu_milli", host.capacity.cpu_milli},
          {"memory_mb", host.capacity.memory_mb},
          {"accelerators", host.capacity.accelerators},
          {"worker", ToString(host.worker)},
          {"targets", targets}};
}

}  // namespace

const char* HostStateName(HostState state) {
  switch (state) {
    case HostState::kLive:
      return "live";
    case HostState::kLeaving:
      return "leaving";
    case HostState::kGone:
      return "gone";
  }
  return "gone";
}

Json ToJson(const HostList& list) {
  Json hosts = Json::array();
  for (const auto& [id, host] : list.hosts) hosts.push_back(ToJson(host));
  return {{"version", list.version}, {"hosts", hosts}};
}

HostList ReadHostList(const Json& document, FieldErrors* errors) {
  JsonReader reader(document, "", errors);
  HostList list;
  list.version = reader.Int("version", 0, std::numeric_limits<int64_t>::max());
  size_t n = 0;
  for (const Json& it : reader.ArrayOr("hosts")) {
    const std::string path = "hosts[" + std::to_string(n++) + "]";
    HostInfo host = ReadHost(it, path, errors);
    const std::string id = host.id;
    if (list.hosts.emplace(id, std::move(host)).second) continue;
    errors->push_back({path + ".id", ResultCode::kBadField, "is listed twice: " + id});
  }
  reader.Finish();
  return list;
}

HostList Merge(const HostList& current, const HostList& received) {
  return received.version > current.version ? received : current;
}

}  // namespace pomelopond::membership
