// Stand-in for the platform's metadata store: linearizable, loses nothing that it has acknowledged.
#ifndef POMELOPOND_REVIEW_STORE_H_
#define POMELOPOND_REVIEW_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.h"

namespace review {

class Store {
 public:
  explicit Store(const std::string& address);

  void Start() { server_.Open(); }
  // The store's process ends and keeps its data: connections are reset and new ones refused.
  void GoDown() { server_.Reset(); }
  void Return() { server_.Open(); }
  void SilenceOpenConnections() { server_.SilenceOpenConnections(); }
  std::string Endpoint() const { return server_.Endpoint(); }

  // Writes as the operator and the workers do.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // The value of a key, decoded; empty if it does not exist.
  std::string ValueOf(const std::string& key);

  // Number of transactions that were refused because a value was too long.
  int RefusedValues();

  // Called after each transaction that took effect, with its keys. If it returns true, the
  // transaction gets no answer and the store goes down.
  std::function<bool(const std::vector<std::string>& keys)> crash_after;

 private:
  struct Item {
    std::string value;  // base64
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Event {
    std::string key;
    int64_t revision = 0;
    bool deleted = false;
    Item item;
  };
  using Clock = std::chrono::steady_clock;

  Response Handle(const Request& request);
  Response Get(const Request& request);
  Response Range(const Request& request);
  Response Watch(const Request& request);
  Response Txn(const Request& request);
  Response GrantLease(const Request& request);
  Response KeepLease(const Request& request);
  Response EndLease(const Request& request);
  void ExpireLeases();
  void DropLease(int64_t id);
  void Write(const std::string& key, const std::string& value, int64_t lease);
  void Erase(const std::string& key);

  Server server_;
  std::mutex mutex_;  // guards the members below
  std::condition_variable changed_;
  int64_t revision_ = 100;
  int64_t next_lease_ = 1;
  int refused_values_ = 0;
  std::map<std::string, Item> items_;
  std::vector<Event> history_;
  struct Lease {
    std::chrono::milliseconds ttl;
    Clock::time_point ends;
  };
  std::map<int64_t, Lease> leases_;
};

std::string ToBase64(const std::string& bytes);
std::string FromBase64(const std::string& text);

}  // namespace review

#endif  // POMELOPOND_REVIEW_STORE_H_
