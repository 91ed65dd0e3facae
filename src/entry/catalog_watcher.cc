#include "entry/catalog_watcher.h"

#include <utility>

#include "base/log.h"

namespace pomelopond::entry {
namespace {

// Maximum wait of one watch call. A change must be known within 2 s. The wait is short enough to
// meet this bound even if a pending watch misses the change.
constexpr Duration kWatchWait = std::chrono::milliseconds(700);

}  // namespace

CatalogWatcher::CatalogWatcher(store::KeyStore* store, Timer timer, const std::string& key,
                               Reader reader, StoreHealth* health, RevisionHistory* revisions)
    : reader_(std::move(reader)) {
  WatchHandlers handlers;
  handlers.on_list = [this](const std::vector<store::Item>& items) {
    for (const store::Item& it : items) UpdateCatalog(it);
  };
  handlers.on_changes = [this](const std::vector<store::Change>& changes) {
    for (const store::Change& it : changes) {
      if (!it.deleted) UpdateCatalog(it.item);
    }
  };
  handlers.on_current = [this, revisions](TimePoint sent, int64_t revision) {
    revisions->Record(sent, revision);
    const std::lock_guard<std::mutex> lock(mutex_);
    current_.confirmed_at = sent;
  };
  handlers.on_success = [health] { health->OnSuccess(); };
  handlers.on_error = [health](std::error_code) { health->OnFailure(); };
  watcher_ = std::make_shared<PrefixWatcher>(store, std::move(timer), key, kWatchWait,
                                             std::move(handlers));
}

void CatalogWatcher::Start() { watcher_->Start(); }

void CatalogWatcher::Stop() { watcher_->Stop(); }

void CatalogWatcher::UpdateCatalog(const store::Item& item) {
  Result<jobs::Catalog> catalog = reader_(item);
  if (!catalog.ok()) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool known =
      current_.catalog != nullptr && catalog.value.version <= current_.catalog->version;
  if (known) return;
  Log(LogLevel::kInfo, "catalog", "in_force",
      {{"version", catalog.value.version}, {"queues", catalog.value.queues.size()}});
  current_.catalog = std::make_shared<const jobs::Catalog>(std::move(catalog.value));
}

CatalogView CatalogWatcher::Current() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return current_;
}

}  // namespace pomelopond::entry
