// CatalogWatcher keeps what the operators have stored: the newest catalog of queues and the
// evacuated failure domains. One watch covers both.
#ifndef POMELOPOND_ENTRY_CATALOG_WATCHER_H_
#define POMELOPOND_ENTRY_CATALOG_WATCHER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "entry/prefix_watcher.h"
#include "entry/revision_history.h"
#include "entry/store_health.h"
#include "jobs/catalog.h"

namespace pomelopond::entry {

// Keys of the operators.
struct OperatorKeys {
  std::string prefix;             // of all their keys
  std::string catalog;            // holds the catalog
  std::string evacuation_prefix;  // followed by the name of an evacuated failure domain
};

using DomainsPtr = std::shared_ptr<const std::set<std::string>>;

// What this host knows of the operators' keys.
struct CatalogView {
  jobs::CatalogPtr catalog;  // null if none has been read yet
  // Evacuated failure domains; null until the keys have been listed.
  DomainsPtr evacuated;
  // All this was the newest when the store answered a call that was sent at this time.
  TimePoint confirmed_at;
};

class CatalogWatcher {
 public:
  using Reader = std::function<Result<jobs::Catalog>(const store::Item&)>;

  // Each answer of the store is recorded in `health` and `revisions`.
  CatalogWatcher(store::KeyStore* store, Timer timer, OperatorKeys keys, Reader reader,
                 StoreHealth* health, RevisionHistory* revisions);

  void Start();
  void Stop();

  // Returns the newest catalog that has been read. An older version never replaces a newer one.
  CatalogView Current() const;

 private:
  void UpdateCatalog(const store::Item& item);
  void OnList(const std::vector<store::Item>& items);
  void OnChanges(const std::vector<store::Change>& changes);
  // Returns the failure domain that the key evacuates, or nothing.
  std::optional<std::string> EvacuatedDomain(const std::string& key) const;
  void SetEvacuated(std::set<std::string> domains);

  const OperatorKeys keys_;
  const Reader reader_;
  mutable std::mutex mutex_;  // guards the members below; a leaf in every lock order
  CatalogView current_;
  std::shared_ptr<PrefixWatcher> watcher_;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_CATALOG_WATCHER_H_
