// Provides releases: the accepted, versioned configuration of the whole system.
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

// The sections of a release. Each maps names to objects; a note adds, changes or withdraws objects
// by name.
inline constexpr const char* kSections[] = {"services", "jobs",    "watches", "limits", "quotas",
                                            "policies", "members", "votes",   "drains"};

// The checked objects of one section, by name.
using Section = std::map<std::string, Json>;

// One version of the configuration.
struct Release {
  int64_t version = 0;                      // grows by 1 with every accepted note; 0: empty release
  std::map<std::string, Section> sections;  // by section name; holds every name of kSections
  std::map<std::string, Json> resolved;     // policy values by subject, computed at acceptance

  friend bool operator==(const Release& a, const Release& b) {
    return a.version == b.version && a.sections == b.sections && a.resolved == b.resolved;
  }
};

// Returns version 0, in which every section is empty.
Release EmptyRelease();

Json ToJson(const Release& release);

// Reads a release. Adds every invalid field to `errors` with its path.
Release ReadRelease(const Json& document, FieldErrors* errors);

// Returns true when `name` is the name of a section.
bool IsSection(const std::string& name);

// Checks one object of a section and adds every invalid field to `errors` with its path.
void CheckObject(const std::string& section, const std::string& name, const Json& object,
                 const std::string& path, FieldErrors* errors);

// The properties of a service that routers use.
struct ServiceSpec {
  std::string name;
  std::string team;  // team that owns the service
  // Operations that must run at most once. The operation of a request is the first path segment
  // after the service.
  std::vector<std::string> non_idempotent;
  double objective_ms = 0;     // latency objective in milliseconds
  double objective_ratio = 0;  // fraction of requests that must meet objective_ms, in [0, 1]

  friend bool operator==(const ServiceSpec& a, const ServiceSpec& b) {
    return a.name == b.name && a.team == b.team && a.non_idempotent == b.non_idempotent &&
           a.objective_ms == b.objective_ms && a.objective_ratio == b.objective_ratio;
  }
};

// Reads one object of the section services. Adds every invalid field to `errors` with its path.
ServiceSpec ReadServiceSpec(const std::string& name, const Json& object, const std::string& path,
                            FieldErrors* errors);

// Returns the hosts and failure domains that the release drains.
membership::Drains DrainsOf(const Release& release);

// Returns the batch jobs, services and watches in the sections jobs and watches.
std::vector<planning::JobSpec> JobsOf(const Release& release);

// Returns the quota of each team in one of `shards` shards, by team. A limit is divided evenly and
// rounded down, so that the shards together never exceed it; the remainder is not used.
std::map<std::string, planning::TeamQuota> QuotasOf(const Release& release, int64_t shards);

// Returns all services of a release, by name.
std::map<std::string, ServiceSpec> ServicesOf(const Release& release);

}  // namespace pomelopond::release

#endif  // POMELOPOND_RELEASE_RELEASE_H_
