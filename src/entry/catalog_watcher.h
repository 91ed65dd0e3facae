// CatalogWatcher keeps the newest catalog of queues that the operators have stored.
#ifndef POMELOPOND_ENTRY_CATALOG_WATCHER_H_
#define POMELOPOND_ENTRY_CATALOG_WATCHER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "entry/prefix_watcher.h"
#include "entry/revision_history.h"
#include "entry/store_health.h"
#include "jobs/catalog.h"

namespace pomelopond::entry {

// What this host knows of the operators' catalog.
struct CatalogView {
  jobs::CatalogPtr catalog;  // null if none has been read yet
  // The catalog was the newest one when the store answered a call that was sent at this time.
  TimePoint confirmed_at;
};

class CatalogWatcher {
 public:
  using Reader = std::function<Result<jobs::Catalog>(const store::Item&)>;

  // Each answer of the store is recorded in `health` and `revisions`.
  CatalogWatcher(store::KeyStore* store, Timer timer, const std::string& key, Reader reader,
                 StoreHealth* health, RevisionHistory* revisions);

  void Start();
  void Stop();

  // Returns the newest catalog that has been read. An older version never replaces a newer one.
  CatalogView Current() const;

 private:
  void UpdateCatalog(const store::Item& item);

  const Reader reader_;
  mutable std::mutex mutex_;  // guards the members below; a leaf in every lock order
  CatalogView current_;
  std::shared_ptr<PrefixWatcher> watcher_;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_CATALOG_WATCHER_H_
