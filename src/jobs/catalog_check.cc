#include "jobs/catalog_check.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include "base/json.h"
#include "jobs/limits.h"

namespace pomelopond::jobs {
namespace {

static_assert(kMinBodyLimitBytes > kMaxSpecBytes);

// Positions of the first entry with a name.
using FirstByName = std::map<std::string_view, size_t>;

std::string Ms(int64_t value) { return std::to_string(value) + " ms"; }

// True for printable ASCII without spaces.
bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char it) { return it > ' ' && it <= '~'; });
}

bool IsUpper(char it) { return it >= 'A' && it <= 'Z'; }

void CheckName(const std::string& name, const Place& place, FirstByName* first,
               std::vector<Finding>* out) {
  if (name.empty() || !IsPrintable(name)) {
    out->push_back(
        {place, FindingKind::kUnusableName,
         "the name must be printable ASCII without spaces, because log lines and metrics show "
         "it, and it must not be empty"});
  }
  const auto [it, is_new] = first->emplace(name, place.index);
  if (is_new) return;
  out->push_back({place, FindingKind::kDuplicateName,
                  "entry " + std::to_string(it->second) + " has the name " + Quoted(name) +
                      " already; their counts and settings cannot be told apart"});
}

void CheckHost(const Queue& queue, size_t n, std::vector<Finding>* out) {
  const Place place{Section::kQueue, n, Field::kHost};
  if (queue.host.empty() || !IsPrintable(queue.host) || queue.host.find('/') != std::string::npos) {
    out->push_back({place, FindingKind::kUnusableHost,
                    "no request has the host " + Quoted(queue.host) +
                        ", so that callers cannot reach the queue"});
  } else if (std::any_of(queue.host.begin(), queue.host.end(), IsUpper)) {
    out->push_back(
        {place, FindingKind::kUnusableHost,
         "the host has capital letters, but most clients send hosts in lower case and the "
         "case must match, so that their requests get 404"});
  }
}

void CheckPrefix(const Queue& queue, size_t n, std::vector<Finding>* out) {
  const std::string& prefix = queue.prefix;
  const Place place{Section::kQueue, n, Field::kPrefix};
  if (prefix.empty() || prefix.front() != '/' || !IsPrintable(prefix) ||
      prefix.find_first_of("?#") != std::string::npos) {
    out->push_back({place, FindingKind::kUnusablePrefix,
                    "no request path begins with " + Quoted(prefix) +
                        ", so that callers cannot reach the queue"});
  } else if (prefix.back() != '/') {
    out->push_back({place, FindingKind::kUnusablePrefix,
                    "the prefix does not end with '/', so that a job below " +
                        Quoted(prefix + "/") + " gets 404"});
  }
}

void CheckObjective(const CatalogDraft& draft, size_t n, std::vector<Finding>* out) {
  const QueueRules& rules = draft.catalog.queues[n].rules;
  const std::optional<int64_t>& timeout_ms = draft.queues[n].timeout_ms;
  if (rules.target_duration_ms == 0 && rules.stretch < 1) {
    out->push_back({{Section::kQueue, n, Field::kStretch},
                    FindingKind::kUnreachableObjective,
                    "the objective is shorter than the critical path of any job, so that every job "
                    "is late from its start and is served last"});
  }
  if (!timeout_ms) return;
  const Place place{Section::kQueue, n, Field::kTimeout};
  if (*timeout_ms == 0) {
    out->push_back({place, FindingKind::kZeroLimit, "a timeout of 0 ms leaves a request no time"});
  } else if (*timeout_ms < rules.target_duration_ms) {
    out->push_back({place, FindingKind::kTimeoutBelowObjective,
                    "the timeout of " + Ms(*timeout_ms) +
                        " is shorter than the objective, which "
                        "is at least " +
                        Ms(rules.target_duration_ms) +
                        "; a job can be on time for the scheduler but not for its caller"});
  }
}

void CheckRules(const QueueRules& rules, size_t n, std::vector<Finding>* out) {
  if (rules.priority < 0) {
    out->push_back({{Section::kQueue, n, Field::kPriority},
                    FindingKind::kNegativePriority,
                    "the priority " + std::to_string(rules.priority) +
                        " comes before 0, the most urgent one, so that the queue takes the room of "
                        "all interactive jobs"});
  }
  if (rules.max_attempts == 0) {
    out->push_back({{Section::kQueue, n, Field::kMaxAttempts},
                    FindingKind::kNoAttempts,
                    "no attempts are allowed; the first failed run of a task fails its job, as "
                    "with 1"});
  }
}

void CheckService(const CatalogDraft& draft, const FirstByName& services, size_t n,
                  std::vector<Finding>* out) {
  const std::string& name = draft.catalog.queues[n].rules.service;
  const Place place{Section::kQueue, n, Field::kService};
  const auto it = services.find(name);
  if (it == services.end()) {
    out->push_back({place, FindingKind::kUnknownService,
                    "there is no service " + Quoted(name) +
                        "; jobs are accepted, but no worker ever runs them"});
  } else if (draft.services[it->second].standby) {
    out->push_back({place, FindingKind::kStandbyService,
                    "the service " + Quoted(name) +
                        " is on standby; jobs are accepted and wait until it has workers"});
  }
}

void CheckShadows(const Catalog& catalog, std::vector<Finding>* out) {
  using Address = std::pair<std::string_view, std::string_view>;
  std::map<Address, size_t> first;
  for (size_t n = 0; n < catalog.queues.size(); ++n) {
    const Queue& queue = catalog.queues[n];
    if (queue.host.empty() || queue.prefix.empty()) continue;
    const auto [it, is_new] = first.emplace(Address(queue.host, queue.prefix), n);
    if (is_new) continue;
    const std::string& name = catalog.queues[it->second].rules.queue;
    out->push_back({{Section::kQueue, n, Field::kPrefix},
                    FindingKind::kShadowedQueue,
                    "entry " + std::to_string(it->second) + " (" + Quoted(name) +
                        ") has the same host and prefix and gets all requests; this queue never "
                        "gets a job"});
  }
}

void CheckServices(const CatalogDraft& draft, FirstByName* first, std::vector<Finding>* out) {
  std::set<std::string_view> used;
  for (const Queue& it : draft.catalog.queues) used.insert(it.rules.service);
  for (size_t n = 0; n < draft.catalog.services.size(); ++n) {
    const std::string& name = draft.catalog.services[n].name;
    CheckName(name, {Section::kService, n, Field::kName}, first, out);
    // Without queues, all services are unused for one reason, which is a finding of its own. A
    // service on standby has no workers that could be idle.
    if (used.empty() || used.count(name) != 0 || draft.services[n].standby) continue;
    out->push_back(
        {{Section::kService, n, Field::kName},
         FindingKind::kUnusedService,
         "no queue sends jobs to the service " + Quoted(name) + ", so that its workers stay idle"});
  }
}

void CheckLimits(const LimitsDraft& limits, std::vector<Finding>* out) {
  for (const auto& [field, limit] : {std::pair(Field::kMaxHeaderBytes, limits.max_header_bytes),
                                     std::pair(Field::kMaxBodyBytes, limits.max_body_bytes),
                                     std::pair(Field::kHeaderTimeout, limits.header_timeout_ms),
                                     std::pair(Field::kIdleTimeout, limits.idle_timeout_ms)}) {
    if (limit != 0) continue;
    out->push_back({{Section::kLimits, 0, field},
                    FindingKind::kZeroLimit,
                    "a limit of 0 has no effect; hosts keep their own setting"});
  }
  const int64_t max_body_bytes = limits.max_body_bytes.value_or(0);
  if (max_body_bytes > 0 && max_body_bytes < kMinBodyLimitBytes) {
    out->push_back({{Section::kLimits, 0, Field::kMaxBodyBytes},
                    FindingKind::kSmallBodyLimit,
                    "a legal job may take " + std::to_string(kMinBodyLimitBytes) + " bytes (" +
                        std::to_string(kMaxSpecBytes) +
                        " of them its spec), and this limit refuses it with 413"});
  }
  const int64_t idle_timeout_ms = limits.idle_timeout_ms.value_or(0);
  if (idle_timeout_ms > 0 && limits.header_timeout_ms.value_or(0) > idle_timeout_ms) {
    out->push_back({{Section::kLimits, 0, Field::kHeaderTimeout},
                    FindingKind::kHeaderTimeoutAboveIdle,
                    "the time for the header, " + Ms(*limits.header_timeout_ms) +
                        ", exceeds the idle time of " + Ms(idle_timeout_ms) +
                        ", so that a client that sends slowly holds a connection longer than an "
                        "idle one"});
  }
}

}  // namespace

const char* NameOf(FindingKind kind) {
  switch (kind) {
    case FindingKind::kNoQueues:
      return "no_queues";
    case FindingKind::kUnusableName:
      return "unusable_name";
    case FindingKind::kDuplicateName:
      return "duplicate_name";
    case FindingKind::kUnusableHost:
      return "unusable_host";
    case FindingKind::kUnusablePrefix:
      return "unusable_prefix";
    case FindingKind::kShadowedQueue:
      return "shadowed_queue";
    case FindingKind::kUnknownService:
      return "unknown_service";
    case FindingKind::kStandbyService:
      return "standby_service";
    case FindingKind::kUnusedService:
      return "unused_service";
    case FindingKind::kNegativePriority:
      return "negative_priority";
    case FindingKind::kNoAttempts:
      return "no_attempts";
    case FindingKind::kUnreachableObjective:
      return "unreachable_objective";
    case FindingKind::kTimeoutBelowObjective:
      return "timeout_below_objective";
    case FindingKind::kZeroLimit:
      return "zero_limit";
    case FindingKind::kSmallBodyLimit:
      return "small_body_limit";
    case FindingKind::kHeaderTimeoutAboveIdle:
      return "header_timeout_above_idle";
    case FindingKind::kVersionNotNewer:
      return "version_not_newer";
    case FindingKind::kWithdrawnQueue:
      return "withdrawn_queue";
  }
  return "";
}

std::vector<Finding> CheckCatalog(const CatalogDraft& draft) {
  std::vector<Finding> out;
  const std::vector<Queue>& queues = draft.catalog.queues;
  if (queues.empty()) {
    out.push_back({{Section::kCatalog, 0, Field::kQueues},
                   FindingKind::kNoQueues,
                   "there are no queues, so that no job can be submitted, shown or cancelled"});
  }
  FirstByName services;
  CheckServices(draft, &services, &out);
  FirstByName names;
  for (size_t n = 0; n < queues.size(); ++n) {
    CheckName(queues[n].rules.queue, {Section::kQueue, n, Field::kName}, &names, &out);
    CheckHost(queues[n], n, &out);
    CheckPrefix(queues[n], n, &out);
    CheckObjective(draft, n, &out);
    CheckRules(queues[n].rules, n, &out);
    CheckService(draft, services, n, &out);
  }
  CheckShadows(draft.catalog, &out);
  CheckLimits(draft.limits, &out);
  return out;
}

std::string Quoted(const std::string& text) {
  return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace pomelopond::jobs
