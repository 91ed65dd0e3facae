// Checks a catalog that is not in force yet for what its author probably did not intend.
#ifndef POMELOPOND_JOBS_CATALOG_CHECK_H_
#define POMELOPOND_JOBS_CATALOG_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/catalog.h"

namespace pomelopond::jobs {

// Members that the scheduler does not use, by name, with their values as text.
using OtherMembers = std::map<std::string, std::string>;

// What a queue and a service state beyond the catalog.
struct QueueDraft {
  std::optional<int64_t> timeout_ms;  // of one request
  OtherMembers others;
};

struct ServiceDraft {
  bool standby = false;  // the service has no running workers
  OtherMembers others;
};

// Limits on the requests of callers; absent ones have defaults.
struct LimitsDraft {
  std::optional<int64_t> max_header_bytes;
  std::optional<int64_t> max_body_bytes;
  std::optional<int64_t> header_timeout_ms;
  std::optional<int64_t> idle_timeout_ms;
};

// A catalog before it is in force. `queues` and `services` have the positions of the catalog's.
struct CatalogDraft {
  Catalog catalog;
  std::vector<QueueDraft> queues;
  std::vector<ServiceDraft> services;
  LimitsDraft limits;
};

enum class Section { kCatalog, kQueue, kService, kLimits };

enum class Field {
  kEntry,  // the whole entry
  kVersion,
  kQueues,
  kName,
  kHost,
  kPrefix,
  kService,
  kPriority,
  kMaxAttempts,
  kStretch,
  kTargetDuration,
  kTimeout,
  kPermits,
  kColdStarts,
  kStandby,
  kMaxHeaderBytes,
  kMaxBodyBytes,
  kHeaderTimeout,
  kIdleTimeout,
  kOther,  // see Place::other
};

// The place of a member in a draft.
struct Place {
  Section section = Section::kCatalog;
  size_t index = 0;  // position of the queue or service
  Field field = Field::kEntry;
  std::string other = {};  // name of a member that the scheduler does not use
  bool in_force = false;   // in the draft in force instead of the next one
};

enum class FindingKind {
  kNoQueues,
  kUnusableName,
  kDuplicateName,
  kUnusableHost,
  kUnusablePrefix,
  kShadowedQueue,
  kUnknownService,
  kStandbyService,
  kUnusedService,
  kNegativePriority,
  kNoAttempts,
  kUnreachableObjective,
  kTimeoutBelowObjective,
  kZeroLimit,
  kSmallBodyLimit,
  kHeaderTimeoutAboveIdle,
  kVersionNotNewer,
  kWithdrawnQueue,
};

// Something that is probably a mistake.
struct Finding {
  Place place;
  FindingKind kind = FindingKind::kNoQueues;
  std::string text;  // what is wrong and why it matters
};

// Smallest limit of a request's body with which every job of one step can be submitted: the longest
// spec, and 1,000 bytes for the JSON around it, which takes 429 bytes if all members are present.
inline constexpr int64_t kMinBodyLimitBytes = 5000;

// Returns the name of a kind, for example "shadowed_queue".
const char* NameOf(FindingKind kind);

// Returns the findings in a draft alone, in no particular order.
std::vector<Finding> CheckCatalog(const CatalogDraft& draft);

// Returns the text in double quotes and on one line.
std::string Quoted(const std::string& text);

}  // namespace pomelopond::jobs

#endif  // POMELOPOND_JOBS_CATALOG_CHECK_H_
