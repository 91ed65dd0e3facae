// Follows all keys below a prefix: lists them, then watches for changes, and lists them again when
// the store has dropped the history in between.
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
  // All keys below the prefix, as the store has them now.
  std::function<void(std::vector<store::Item>)> on_list;
  std::function<void(std::vector<store::Change>)> on_changes;
  // The store answered a call, or did not.
  std::function<void()> on_success = [] {};
  std::function<void(std::error_code)> on_error = [](std::error_code) {};
};

// Handlers run on threads of the store, one at a time.
class PrefixWatcher : public std::enable_shared_from_this<PrefixWatcher> {
 public:
  PrefixWatcher(store::KeyStore* store, Timer timer, std::string prefix, Duration wait,
                WatchHandlers handlers);

  void Start();
  // Handlers that run at the moment may still finish.
  void Stop();

 private:
  void List(const std::string& after, std::vector<store::Item> items, int64_t revision);
  void Watch();
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
