// The platform's store as PROTOCOL.md describes it, in memory.
#ifndef POMELOPOND_REVIEW_LAB_STORE_H_
#define POMELOPOND_REVIEW_LAB_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "review/lab/net.h"

namespace pomelopond::lab {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

class Store {
 public:
  // Called before a call is carried out; may block. A response with a status other than 0 is given
  // instead of carrying the call out.
  using Hook = std::function<Response(const Request&)>;

  Store();

  // Returns the port, or 0.
  int Start(const std::string& address);
  void SetHook(Hook hook);

  // As the operator and the executors write.
  void Put(const std::string& key, const std::string& value);
  bool Has(const std::string& key);
  // The stored bytes; empty without the key.
  std::string ValueOf(const std::string& key);
  // Keys with the prefix.
  std::vector<std::string> Keys(const std::string& prefix);

  // Carries out a call.
  Response Handle(const Request& request);

 private:
  struct Item {
    std::string value;  // base64
    int64_t rev = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Lease {
    std::chrono::milliseconds ttl;
    Clock::time_point ends;
  };

  // These require the lock.
  void EndLeases();
  void Write(const std::string& key, const std::string& value, int64_t lease, int64_t rev);
  void Remove(const std::string& key, int64_t rev);
  Response Get(const Request& request);
  Response Range(const Request& request);
  Response Txn(const Request& request);
  Response Grant(const Request& request);
  Response Keep(int64_t id);

  Response Watch(const Request& request);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::map<int64_t, Lease> leases_;
  std::deque<std::pair<int64_t, Json>> events_;
  int64_t rev_ = 1;
  int64_t last_lease_ = 0;
  Hook hook_;
};

std::string ToBase64(const std::string& bytes);

}  // namespace pomelopond::lab

#endif  // POMELOPOND_REVIEW_LAB_STORE_H_
