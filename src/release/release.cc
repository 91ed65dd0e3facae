#include "release/release.h"

#include <limits>

namespace pomelopond::release {
namespace {

constexpr double kMaxObjectiveMs = 3600000;

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
  if (!object.is_object()) errors->push_back({path, ResultCode::kBadField, "must be an object"});
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
