#include "jobs/catalog_changes.h"

#include <set>
#include <string_view>
#include <utility>

#include "base/json.h"

namespace pomelopond::jobs {
namespace {

using Changes = std::vector<Change>;

constexpr const char* kAbsent = "absent";
constexpr const char* kNewJobsOnly = "; accepted jobs keep the old value";

std::string TextOf(const std::string& value) { return Quoted(value); }
std::string TextOf(bool value) { return value ? "true" : "false"; }
std::string TextOf(int value) { return std::to_string(value); }
std::string TextOf(int64_t value) { return std::to_string(value); }
std::string TextOf(double value) { return Json(value).dump(); }
std::string TextOf(const std::optional<int64_t>& value) {
  return value ? std::to_string(*value) : kAbsent;
}

void AddChanged(const Place& place, const std::string& before, const std::string& after,
                const char* remark, Changes* out) {
  out->push_back({place, ChangeKind::kChanged, "from " + before + " to " + after + remark});
}

template <class T>
void Compare(Place place, Field field, const T& before, const T& after, const char* remark,
             Changes* out) {
  if (before == after) return;
  place.field = field;
  AddChanged(place, TextOf(before), TextOf(after), remark, out);
}

void CompareOthers(Place place, const OtherMembers& before, const OtherMembers& after,
                   Changes* out) {
  std::set<std::string> names;
  for (const auto& it : before) names.insert(it.first);
  for (const auto& it : after) names.insert(it.first);
  place.field = Field::kOther;
  for (const std::string& name : names) {
    const auto old_value = before.find(name);
    const auto new_value = after.find(name);
    const std::string old_text = old_value == before.end() ? kAbsent : old_value->second;
    const std::string new_text = new_value == after.end() ? kAbsent : new_value->second;
    if (old_text == new_text) continue;
    place.other = name;
    AddChanged(place, old_text, new_text, "", out);
  }
}

void CompareQueue(const CatalogDraft& in_force, size_t old_index, const CatalogDraft& next,
                  size_t n, Changes* out) {
  const Place place{Section::kQueue, n};
  const Queue& before = in_force.catalog.queues[old_index];
  const Queue& after = next.catalog.queues[n];
  const QueueRules& was = before.rules;
  const QueueRules& is = after.rules;
  Compare(place, Field::kHost, before.host, after.host, "", out);
  Compare(place, Field::kPrefix, before.prefix, after.prefix, "", out);
  Compare(place, Field::kService, was.service, is.service, kNewJobsOnly, out);
  Compare(place, Field::kPriority, was.priority, is.priority, kNewJobsOnly, out);
  Compare(place, Field::kMaxAttempts, was.max_attempts, is.max_attempts, kNewJobsOnly, out);
  Compare(place, Field::kStretch, was.stretch, is.stretch, kNewJobsOnly, out);
  Compare(place, Field::kTargetDuration, was.target_duration_ms, is.target_duration_ms,
          kNewJobsOnly, out);
  Compare(place, Field::kPermits, was.needs_permits, is.needs_permits, kNewJobsOnly, out);
  Compare(place, Field::kTimeout, in_force.queues[old_index].timeout_ms, next.queues[n].timeout_ms,
          "", out);
  CompareOthers(place, in_force.queues[old_index].others, next.queues[n].others, out);
}

void CompareService(const CatalogDraft& in_force, size_t old_index, const CatalogDraft& next,
                    size_t n, Changes* out) {
  const Place place{Section::kService, n};
  const ServiceDraft& before = in_force.services[old_index];
  const ServiceDraft& after = next.services[n];
  Compare(place, Field::kColdStarts, in_force.catalog.services[old_index].cold_starts_per_s,
          next.catalog.services[n].cold_starts_per_s, "", out);
  Compare(place, Field::kStandby, before.standby, after.standby, "", out);
  CompareOthers(place, before.others, after.others, out);
}

void CompareLimits(const LimitsDraft& before, const LimitsDraft& after, Changes* out) {
  const Place place{Section::kLimits};
  Compare(place, Field::kMaxHeaderBytes, before.max_header_bytes, after.max_header_bytes, "", out);
  Compare(place, Field::kMaxBodyBytes, before.max_body_bytes, after.max_body_bytes, "", out);
  Compare(place, Field::kHeaderTimeout, before.header_timeout_ms, after.header_timeout_ms, "", out);
  Compare(place, Field::kIdleTimeout, before.idle_timeout_ms, after.idle_timeout_ms, "", out);
}

// Positions of the first entry of each name.
using Index = std::map<std::string_view, size_t>;

Index IndexOf(const std::vector<Queue>& queues) {
  Index index;
  for (size_t n = 0; n < queues.size(); ++n) index.emplace(queues[n].rules.queue, n);
  return index;
}

Index IndexOf(const std::vector<Service>& services) {
  Index index;
  for (size_t n = 0; n < services.size(); ++n) index.emplace(services[n].name, n);
  return index;
}

// Adds the names that only one of the indexes has, and calls `compare` for those that both have.
template <class CompareEntries>
void CompareIndexes(Section section, const char* kind, const Index& before, const Index& after,
                    Changes* out, const CompareEntries& compare) {
  for (const auto& [name, n] : after) {
    const auto old_entry = before.find(name);
    if (old_entry != before.end()) {
      compare(old_entry->second, n);
    } else {
      out->push_back({{section, n}, ChangeKind::kAdded, kind + Quoted(std::string(name))});
    }
  }
  for (const auto& [name, n] : before) {
    if (after.count(name) != 0) continue;
    const Place place{section, n, Field::kEntry, {}, true};
    out->push_back({place, ChangeKind::kRemoved, kind + Quoted(std::string(name))});
  }
}

void CheckVersion(int64_t before, int64_t after, std::vector<Finding>* out) {
  if (after > before) return;
  out->push_back({{Section::kCatalog, 0, Field::kVersion},
                  FindingKind::kVersionNotNewer,
                  "version " + std::to_string(after) + " is not newer than version " +
                      std::to_string(before) +
                      " in force; hosts keep the highest version that "
                      "they know and ignore this one"});
}

// The path of a job's state begins with the address of its queue, so that callers lose their jobs
// with it.
void CheckWithdrawn(const Catalog& in_force, const Catalog& next, std::vector<Finding>* out) {
  std::set<std::pair<std::string_view, std::string_view>> addresses;
  for (const Queue& it : next.queues) addresses.emplace(it.host, it.prefix);
  for (size_t n = 0; n < in_force.queues.size(); ++n) {
    const Queue& queue = in_force.queues[n];
    if (addresses.count({queue.host, queue.prefix}) != 0) continue;
    out->push_back({{Section::kQueue, n, Field::kEntry, {}, true},
                    FindingKind::kWithdrawnQueue,
                    "no queue has the host and prefix of " + Quoted(queue.rules.queue) +
                        " any more; its accepted jobs run on, but their callers get 404 when they "
                        "ask for them or cancel them"});
  }
}

}  // namespace

const char* NameOf(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
  }
  return "";
}

Comparison CompareCatalogs(const CatalogDraft& in_force, const CatalogDraft& next) {
  Comparison out;
  const Catalog& before = in_force.catalog;
  const Catalog& after = next.catalog;
  Compare({}, Field::kVersion, before.version, after.version, "", &out.changes);
  CompareIndexes(Section::kQueue, "queue ", IndexOf(before.queues), IndexOf(after.queues),
                 &out.changes, [&](size_t old_index, size_t n) {
                   CompareQueue(in_force, old_index, next, n, &out.changes);
                 });
  CompareIndexes(Section::kService, "service ", IndexOf(before.services), IndexOf(after.services),
                 &out.changes, [&](size_t old_index, size_t n) {
                   CompareService(in_force, old_index, next, n, &out.changes);
                 });
  CompareLimits(in_force.limits, next.limits, &out.changes);
  CheckVersion(before.version, after.version, &out.findings);
  CheckWithdrawn(before, after, &out.findings);
  return out;
}

}  // namespace pomelopond::jobs
