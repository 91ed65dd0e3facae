// Compares a catalog that is not in force yet with the one in force.
#ifndef POMELOPOND_JOBS_CATALOG_CHANGES_H_
#define POMELOPOND_JOBS_CATALOG_CHANGES_H_

#include <string>
#include <vector>

#include "jobs/catalog_check.h"

namespace pomelopond::jobs {

enum class ChangeKind { kAdded, kRemoved, kChanged };

// A difference from the catalog in force. Removed entries have their place in the one in force.
struct Change {
  Place place;
  ChangeKind kind = ChangeKind::kChanged;
  std::string text;
};

struct Comparison {
  std::vector<Change> changes;
  std::vector<Finding> findings;  // changes that are probably mistakes
};

// Returns the name of a kind, for example "added".
const char* NameOf(ChangeKind kind);

// Compares the queues and services by name (the first entry if a name occurs twice), the limits,
// and the versions. The results are in no particular order.
Comparison CompareCatalogs(const CatalogDraft& in_force, const CatalogDraft& next);

}  // namespace pomelopond::jobs

#endif  // POMELOPOND_JOBS_CATALOG_CHANGES_H_
