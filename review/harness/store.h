// Stand-in of the platform's metadata store: items, transactions, watches and leases.
#ifndef POMELOPOND_REVIEW_HARNESS_STORE_H_
#define POMELOPOND_REVIEW_HARNESS_STORE_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "http_io.h"

namespace pomelopond::review {

using Json = nlohmann::json;

class Store {
 public:
  explicit Store(const Address& address);
  ~Store();

  bool listening() const { return server_->listening(); }
  // Writes that the operator and the servers make; the system's calls go over the network.
  void Put(const std::string& key, const Json& value);
  void Remove(const std::string& key);
  // Time that each later answer takes.
  void SetDelay(milliseconds delay) { delay_ms_.store(delay.count()); }
  // Number of transactions that were refused because a value is too large.
  int64_t refused() const { return refused_.load(); }
  milliseconds delay() const { return milliseconds(delay_ms_.load()); }

 private:
  struct Item {
    std::string value;  // base64
    int64_t rev = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Lease {
    int64_t ttl_ms = 0;
    Clock::time_point ends;
  };
  struct Event {
    int64_t rev = 0;
    std::string key;
    Json body;
  };

  Response Handle(const Request& request);
  Response Get(const Request& request);
  Response Range(const Request& request);
  Response Watch(const Request& request);
  Response Commit(const Request& request);
  Response GrantLease(const Request& request);
  Response KeepLease(int64_t id);
  Response EndLease(int64_t id);
  // These require the lock.
  Json ToJson(const std::string& key, const Item& item) const;
  void Write(const std::string& key, const std::string& value, int64_t lease);
  void Erase(const std::string& key);
  void DropLease(int64_t id);
  void ExpireLeases();

  std::atomic<int64_t> delay_ms_{4};
  std::atomic<int64_t> refused_{0};
  std::mutex mutex_;  // guards the members below
  std::condition_variable changed_;
  bool stopped_ = false;
  int64_t rev_ = 100;
  int64_t next_lease_ = 1;
  std::map<std::string, Item> items_;
  std::map<int64_t, Lease> leases_;
  std::deque<Event> events_;
  std::thread expiry_;
  std::unique_ptr<Server> server_;
};

}  // namespace pomelopond::review

#endif  // POMELOPOND_REVIEW_HARNESS_STORE_H_
