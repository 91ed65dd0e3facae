#include "entry/prefix_watcher.h"

#include <utility>

#include "base/result_code.h"

namespace pomelopond::entry {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
// Wait of the watch call that follows a failed one. Its answer confirms what is known as soon as
// the store answers again; an owner starts nothing before that.
constexpr Duration kWaitAfterFailure = std::chrono::milliseconds(1);

}  // namespace

PrefixWatcher::PrefixWatcher(store::KeyStore* store, Timer timer, std::string prefix, Duration wait,
                             WatchHandlers handlers)
    : store_(store),
      timer_(std::move(timer)),
      prefix_(std::move(prefix)),
      wait_(wait),
      handlers_(std::move(handlers)) {}

void PrefixWatcher::Start() { List({}, {}, 0, Now()); }

void PrefixWatcher::Stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopped_ = true;
}

bool PrefixWatcher::stopped() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stopped_;
}

void PrefixWatcher::Retry(std::error_code ec, const std::function<void()>& again) {
  handlers_.on_error(ec);
  timer_(kRetryDelay, again);
}

void PrefixWatcher::List(const std::string& after, std::vector<store::Item> items, int64_t revision,
                         TimePoint sent) {
  if (stopped()) return;
  store_->List(prefix_, after,
               [self = shared_from_this(), items = std::move(items), revision,
                sent](Result<store::Page> page) mutable {
                 if (self->stopped()) return;
                 if (!page.ok()) return self->Retry(page.ec, [self] { self->Start(); });
                 self->handlers_.on_success();
                 // The pages do not form one snapshot. The watch therefore starts at the revision
                 // of the first page.
                 if (revision == 0) revision = page.value.revision;
                 for (store::Item& it : page.value.items) items.push_back(std::move(it));
                 if (page.value.has_more && !items.empty()) {
                   const std::string last = items.back().key;
                   return self->List(last, std::move(items), revision, sent);
                 }
                 self->revision_ = revision;
                 self->handlers_.on_list(std::move(items));
                 self->handlers_.on_current(sent, revision);
                 self->Watch(self->wait_);
               });
}

void PrefixWatcher::Watch(Duration wait) {
  if (stopped()) return;
  store_->Watch(prefix_, revision_, wait,
                [self = shared_from_this(), sent = Now()](Result<store::Changes> result) {
                  if (self->stopped()) return;
                  if (result.ec == ResultCode::kNotFound) return self->Start();
                  if (!result.ok()) {
                    return self->Retry(result.ec, [self] { self->Watch(kWaitAfterFailure); });
                  }
                  self->handlers_.on_success();
                  self->revision_ = result.value.revision;
                  if (!result.value.changes.empty()) {
                    self->handlers_.on_changes(std::move(result.value.changes));
                  }
                  self->handlers_.on_current(sent, self->revision_);
                  self->Watch(self->wait_);
                });
}

}  // namespace pomelopond::entry
