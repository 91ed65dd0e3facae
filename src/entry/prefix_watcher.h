// PrefixWatcher tracks all keys below a prefix. It lists the keys, then watches for changes, and
// lists the keys again if the store has discarded the history since the last known revision.
#ifndef POMELOPOND_ENTRY_PREFIX_WATCHER_H_
#define POMELOPOND_ENTRY_PREFIX_WATCHER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/time.h"
#include "store/key_store.h"

namespace pomelopond::entry {

// Runs a function after a delay, on any thread.
using Timer = std::function<void(Duration, std::function<void()>)>;

struct WatchHandlers {
  // Called with all keys below the prefix after each complete listing.
  std::function<void(std::vector<store::Item>)> on_list;
  // Called with the changes since the previous call of on_list or on_changes, if there are any.
  std::function<void(std::vector<store::Change>)> on_changes;
  // Called when the store has answered a call.
  std::function<void()> on_success = [] {};
  // Called once all changes up to `revision` have been passed on. It was the store's revision when
  // the store answered a call that was sent at `sent`.
  std::function<void(TimePoint sent, int64_t revision)> on_current = [](TimePoint, int64_t) {};
  // Called when a call to the store has failed.
  std::function<void(std::error_code)> on_error = [](std::error_code) {};
};

// Handlers run on the store's threads, one at a time.
class PrefixWatcher : public std::enable_shared_from_this<PrefixWatcher> {
 public:
  PrefixWatcher(store::KeyStore* store, Timer timer, std::string prefix, Duration wait,
                WatchHandlers handlers);

  void Start();
  // Stops the calls to handlers. A handler that is already running may still finish.
  void Stop();

 private:
  // `revision` is that of the first page, and `sent` when the call for it was sent.
  void List(const std::string& after, std::vector<store::Item> items, int64_t revision,
            TimePoint sent);
  void Watch(Duration wait);
  void Retry(std::error_code ec, const std::function<void()>& again);
  bool stopped();

  store::KeyStore* const store_;
  const Timer timer_;
  const std::string prefix_;
  const Duration wait_;
  const WatchHandlers handlers_;
  int64_t revision_ = 0;
  std::mutex mutex_;  // guards stopped_
  bool stopped_ = false;
};

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_PREFIX_WATCHER_H_
