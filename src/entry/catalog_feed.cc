#include "entry/catalog_feed.h"

#include <utility>

#include "base/log.h"

namespace pomelopond::entry {
namespace {

// Short, so that a change is known within its bound of 2 s even when a waiting watch misses it.
constexpr Duration kWatchWait = std::chrono::milliseconds(700);

}  // namespace

CatalogFeed::CatalogFeed(store::KeyStore* store, Timer timer, const std::string& key, Reader reader,
                         StoreHealth* health)
    : reader_(std::move(reader)) {
  FeedHandlers handlers;
  handlers.on_list = [this](const std::vector<store::Item>& items) {
    for (const store::Item& it : items) Take(it);
  };
  handlers.on_changes = [this](const std::vector<store::Change>& changes) {
    for (const store::Change& it : changes) {
      if (!it.deleted) Take(it.item);
    }
  };
  handlers.on_contact = [health] { health->OnAnswer(); };
  handlers.on_error = [health](std::error_code) { health->OnFailure(); };
  feed_ =
      std::make_shared<PrefixFeed>(store, std::move(timer), key, kWatchWait, std::move(handlers));
}

void CatalogFeed::Start() { feed_->Start(); }

void CatalogFeed::Stop() { feed_->Stop(); }

void CatalogFeed::Take(const store::Item& item) {
  Result<jobs::Catalog> catalog = reader_(item);
  if (!catalog.ok()) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (current_ != nullptr && catalog.value.version <= current_->version) return;
  Log(LogLevel::kInfo, "catalog", "in_force",
      {{"version", catalog.value.version}, {"queues", catalog.value.queues.size()}});
  current_ = std::make_shared<const jobs::Catalog>(std::move(catalog.value));
}

jobs::CatalogPtr CatalogFeed::Current() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return current_;
}

}  // namespace pomelopond::entry
