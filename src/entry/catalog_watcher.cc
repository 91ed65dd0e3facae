#include "entry/catalog_watcher.h"

#include <utility>

#include "base/json.h"
#include "base/log.h"

namespace pomelopond::entry {
namespace {

// Maximum wait of one watch call. A change must be known within 2 s. The wait is short enough to
// meet this bound even if a pending watch misses the change.
constexpr Duration kWatchWait = std::chrono::milliseconds(700);

}  // namespace

CatalogWatcher::CatalogWatcher(store::KeyStore* store, Timer timer, OperatorKeys keys,
                               Reader reader, StoreHealth* health, RevisionHistory* revisions)
    : keys_(std::move(keys)), reader_(std::move(reader)) {
  WatchHandlers handlers;
  handlers.on_list = [this](const std::vector<store::Item>& items) { OnList(items); };
  handlers.on_changes = [this](const std::vector<store::Change>& changes) { OnChanges(changes); };
  handlers.on_current = [this, revisions](TimePoint sent, int64_t revision) {
    revisions->Record(sent, revision);
    const std::lock_guard<std::mutex> lock(mutex_);
    current_.confirmed_at = sent;
  };
  handlers.on_success = [health] { health->OnSuccess(); };
  handlers.on_error = [health](std::error_code) { health->OnFailure(); };
  watcher_ = std::make_shared<PrefixWatcher>(store, std::move(timer), keys_.prefix, kWatchWait,
                                             std::move(handlers));
}

void CatalogWatcher::Start() { watcher_->Start(); }

void CatalogWatcher::Stop() { watcher_->Stop(); }

std::optional<std::string> CatalogWatcher::EvacuatedDomain(const std::string& key) const {
  const std::string& prefix = keys_.evacuation_prefix;
  if (key.size() <= prefix.size() || key.compare(0, prefix.size(), prefix) != 0) return {};
  return key.substr(prefix.size());
}

// A key that was deleted while this host could not watch is missing from the list.
void CatalogWatcher::OnList(const std::vector<store::Item>& items) {
  std::set<std::string> domains;
  for (const store::Item& it : items) {
    if (it.key == keys_.catalog) UpdateCatalog(it);
    if (const auto domain = EvacuatedDomain(it.key)) domains.insert(*domain);
  }
  SetEvacuated(std::move(domains));
}

void CatalogWatcher::OnChanges(const std::vector<store::Change>& changes) {
  const DomainsPtr known = Current().evacuated;
  std::set<std::string> domains = known == nullptr ? std::set<std::string>() : *known;
  for (const store::Change& it : changes) {
    if (it.item.key == keys_.catalog && !it.deleted) UpdateCatalog(it.item);
    const std::optional<std::string> domain = EvacuatedDomain(it.item.key);
    if (!domain) continue;
    if (it.deleted) {
      domains.erase(*domain);
    } else {
      domains.insert(*domain);
    }
  }
  SetEvacuated(std::move(domains));
}

void CatalogWatcher::SetEvacuated(std::set<std::string> domains) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (current_.evacuated != nullptr && *current_.evacuated == domains) return;
  Log(LogLevel::kInfo, "catalog", "evacuated_domains", {{"domains", Json(domains).dump()}});
  current_.evacuated = std::make_shared<const std::set<std::string>>(std::move(domains));
}

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
