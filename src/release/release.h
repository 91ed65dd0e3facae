// The accepted configuration of the whole system.
#ifndef POMELOPOND_RELEASE_RELEASE_H_
#define POMELOPOND_RELEASE_RELEASE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/json_reader.h"
#include "membership/drain.h"
#include "planning/placement.h"
#include "planning/task.h"

namespace pomelopond::release {

// The parts of a release. Each maps names to objects; a note adds, changes or withdraws names.
inline constexpr const char* kSections[] = {"services", "jobs",    "watches", "limits", "quotas",
                                            "policies", "members", "votes",   "drains"};

// Names of one section with their checked objects.
using Section = std::map<std::string, Json>;

// Versions grow by one with every accepted note; version 0 is the empty release.
struct Release {
  int64_t version = 0;
  std::map<std::string, Section> sections;  // all of kSections
  std::map<std::string, Json> resolved;     // policy values by subject, computed at acceptance

  friend bool operator==(const Release& a, const Release& b) {
    return a.version == b.version && a.sections == b.sections && a.resolved == b.resolved;
  }
};

Release EmptyRelease();

Json ToJson(const Release& release);
Release ReadRelease(const Json& document, FieldErrors* errors);

// True when `name` names a section.
bool IsSection(const std::string& name);

// Checks one object of a section; every error is added with its path.
void CheckObject(const std::string& section, const std::string& name, const Json& object,
                 const std::string& path, FieldErrors* errors);

// What a router needs to know of a service.
struct ServiceSpec {
  std::string name;
  std::string team;
  // Operations (first part of the path below the service) that must run at most once.
  std::vector<std::string> non_idempotent;
  double objective_ms = 0;     // latency objective
  double objective_ratio = 0;  // share of requests that must meet it

  friend bool operator==(const ServiceSpec& a, const ServiceSpec& b) {
    return a.name == b.name && a.team == b.team && a.non_idempotent == b.non_idempotent &&
           a.objective_ms == b.objective_ms && a.objective_ratio == b.objective_ratio;
  }
};

ServiceSpec ReadServiceSpec(const std::string& name, const Json& object, const std::string& path,
                            FieldErrors* errors);

// The hosts and failure domains that the release drains.
membership::Drains DrainsOf(const Release& release);

// The batch jobs, services and watches of the sections jobs and watches.
std::vector<planning::JobSpec> JobsOf(const Release& release);

// Each team's quota in one of `shards` shards. A limit is divided evenly, so that the shards
// together never exceed it; the remainder of the division is not used.
std::map<std::string, planning::TeamQuota> QuotasOf(const Release& release, int64_t shards);

// All services of a release, by name.
std::map<std::string, ServiceSpec> ServicesOf(const Release& release);

}  // namespace pomelopond::release

#endif  // POMELOPOND_RELEASE_RELEASE_H_
