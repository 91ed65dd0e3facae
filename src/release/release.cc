#include "release/release.h"

#include <limits>

#include "planning/worker_protocol.h"
#include "release/policy.h"

namespace pomelopond::release {
namespace {

constexpr double kMaxObjectiveMs = 3600000;
constexpr double kMinShare = 0.001;
constexpr double kMaxShare = 1000000;
constexpr int64_t kMaxPerSecond = 1000000;
constexpr int64_t kMaxLimitWeight = 1000;

std::vector<std::string> ReadStrings(JsonReader* reader, const std::string& key) {
  std::vector<std::string> values;
  for (const Json& it : reader->ArrayOr(key)) {
    if (it.is_string() && !it.get_ref<const std::string&>().empty()) {
      values.push_back(it.get<std::string>());
      continue;
    }
    reader->Fail(key, ResultCode::kBadField, "must be an array of strings that are not empty");
  }
  return values;
}

// Reads a job of the section jobs or watches, which has its name as id.
planning::JobSpec ReadReleaseJob(const std::string& section, const std::string& name,
                                 const Json& object, const std::string& path, FieldErrors* errors) {
  Json spec = object;
  if (!spec.is_object()) return planning::ReadJobSpec(spec, path, errors);
  for (const char* it : {"id", "release_version"}) {
    if (!spec.contains(it)) continue;
    errors->push_back({path + "." + it, ResultCode::kUnknownField, "is not a known member"});
  }
  spec["id"] = name;
  const bool watch = section == "watches";
  if (watch && spec.value("kind", Json("watch")) != "watch") {
    errors->push_back({path + ".kind", ResultCode::kBadField, "must be watch"});
  }
  if (watch) spec["kind"] = "watch";
  return planning::ReadJobSpec(spec, path, errors);
}

void CheckQuota(const Json& object, const std::string& path, FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  reader.NumberOr("share", kMinShare, kMaxShare, 1);
  planning::ReadResources(reader.ObjectOr("most"), path + ".most", errors);
  reader.Finish();
}

void CheckLimit(const Json& object, const std::string& path, FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  reader.Int("per_second", 1, kMaxPerSecond);
  reader.IntOr("burst", 1, kMaxPerSecond, 1);
  reader.IntOr("weight", 1, kMaxLimitWeight, 1);
  reader.Finish();
}

void CheckDrain(const Json& object, const std::string& path, FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  const std::string kind = reader.String("kind");
  if (kind != "host" && kind != "failure_domain") {
    reader.Fail("kind", ResultCode::kBadField, "must be host or failure_domain");
  }
  reader.Finish();
}

}  // namespace

bool IsSection(const std::string& name) {
  for (const char* it : kSections) {
    if (name == it) return true;
  }
  return false;
}

Release EmptyRelease() {
  Release release;
  for (const char* it : kSections) release.sections[it];
  return release;
}

Json ToJson(const Release& release) {
  Json document = {{"version", release.version}};
  for (const auto& [name, section] : release.sections) document[name] = Json(section);
  document["resolved"] = Json(release.resolved);
  return document;
}

Release ReadRelease(const Json& document, FieldErrors* errors) {
  JsonReader reader(document, "", errors);
  Release release = EmptyRelease();
  release.version = reader.Int("version", 0, std::numeric_limits<int64_t>::max());
  for (const char* section : kSections) {
    for (const auto& it : reader.ObjectOr(section).items()) {
      CheckObject(section, it.key(), it.value(), std::string(section) + "." + it.key(), errors);
      release.sections[section][it.key()] = it.value();
    }
  }
  for (const auto& it : reader.ObjectOr("resolved").items()) {
    release.resolved[it.key()] = it.value();
  }
  reader.Finish();
  return release;
}

ServiceSpec ReadServiceSpec(const std::string& name, const Json& object, const std::string& path,
                            FieldErrors* errors) {
  JsonReader reader(object, path, errors);
  ServiceSpec spec;
  spec.name = name;
  spec.team = reader.String("team");
  spec.non_idempotent = ReadStrings(&reader, "non_idempotent");
  spec.objective_ms = reader.NumberOr("objective_ms", 0, kMaxObjectiveMs, 0);
  spec.objective_ratio = reader.NumberOr("objective_ratio", 0, 1, 0);
  reader.Finish();
  return spec;
}

void CheckObject(const std::string& section, const std::string& name, const Json& object,
                 const std::string& path, FieldErrors* errors) {
  if (section == "services") {
    ReadServiceSpec(name, object, path, errors);
    return;
  }
  if (section == "jobs" || section == "watches") {
    ReadReleaseJob(section, name, object, path, errors);
  } else if (section == "limits") {
    CheckLimit(object, path, errors);
  } else if (section == "quotas") {
    CheckQuota(object, path, errors);
  } else if (section == "policies") {
    CheckPolicy(object, path, errors);
  } else if (section == "members") {
    CheckMember(object, path, errors);
  } else if (section == "votes") {
    CheckVote(object, path, errors);
  } else if (section == "drains") {
    CheckDrain(object, path, errors);
  }
}

membership::Drains DrainsOf(const Release& release) {
  membership::Drains drains;
  const auto section = release.sections.find("drains");
  if (section == release.sections.end()) return drains;
  for (const auto& [name, object] : section->second) {
    const bool host = object.value("kind", "") == "host";
    (host ? drains.hosts : drains.failure_domains).insert(name);
  }
  return drains;
}

std::map<std::string, planning::TeamQuota> QuotasOf(const Release& release, int64_t shards) {
  std::map<std::string, planning::TeamQuota> quotas;
  const auto section = release.sections.find("quotas");
  if (section == release.sections.end() || shards < 1) return quotas;
  FieldErrors ignored;  // the objects were checked when the release was accepted
  for (const auto& [team, object] : section->second) {
    planning::TeamQuota& quota = quotas[team];
    quota.weight = object.value("share", 1.0);
    if (!object.contains("most")) continue;
    const Resources most = planning::ReadResources(object["most"], team, &ignored);
    quota.limit = {most.cpu_milli / shards, most.memory_mb / shards, most.accelerators / shards};
  }
  return quotas;
}

std::vector<planning::JobSpec> JobsOf(const Release& release) {
  std::vector<planning::JobSpec> jobs;
  FieldErrors ignored;  // the objects were checked when the release was accepted
  for (const char* section : {"jobs", "watches"}) {
    const auto objects = release.sections.find(section);
    if (objects == release.sections.end()) continue;
    for (const auto& [name, object] : objects->second) {
      jobs.push_back(ReadReleaseJob(section, name, object, name, &ignored));
      jobs.back().release_version = release.version;
    }
  }
  return jobs;
}

std::map<std::string, ServiceSpec> ServicesOf(const Release& release) {
  std::map<std::string, ServiceSpec> services;
  FieldErrors ignored;  // the objects were checked when the release was accepted
  const auto section = release.sections.find("services");
  if (section == release.sections.end()) return services;
  for (const auto& [name, object] : section->second) {
    services[name] = ReadServiceSpec(name, object, name, &ignored);
  }
  return services;
}

}  // namespace pomelopond::release
