// Keeps the newest catalog of queues, as the operators have stored it.
#ifndef POMELOPOND_ENTRY_CATALOG_FEED_H_
#define POMELOPOND_ENTRY_CATALOG_FEED_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "entry/prefix_feed.h"
#include "entry/store_health.h"
#include "jobs/catalog.h"

namespace pomelopond::entry {

class CatalogFeed {
 public:
  using Reader = std::function<Result<jobs::Catalog>(const store::Item&)>;

  CatalogFeed(store::KeyStore* store, Timer timer, const std::string& key, Reader reader,
              StoreHealth* health);

  void Start();
  void Stop();

  // Null before there is one. A catalog is never replaced by an older version.
  jobs::CatalogPtr Current() const;

 private:
  void Take(const store::Item& item);

  const Reader reader_;
  mutable std::mutex mutex_;  // guards the members below; a leaf in every lock order
  jobs::CatalogPtr current_;
  std::shared_ptr<PrefixFeed> feed_;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_CATALOG_FEED_H_
