// The keys, leases and transactions of the store stand-in.
#ifndef POMELOPOND_FAKES_STORE_KEY_SPACE_H_
#define POMELOPOND_FAKES_STORE_KEY_SPACE_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/json.h"
#include "base/result.h"
#include "base/time.h"

namespace pomelopond::fakes {

inline constexpr size_t kMaxValueBytes = 1 << 20;

// Requests and answers are those of the etcd v3 JSON gateway, as far as the system uses them.
// Requests that the gateway would refuse fail with kBadField. Not thread-safe.
class KeySpace {
 public:
  Result<Json> Range(const Json& request, TimePoint now);
  Result<Json> Txn(const Json& request, TimePoint now);
  Result<Json> GrantLease(const Json& request, TimePoint now);
  Result<Json> KeepAlive(const Json& request, TimePoint now);
  Result<Json> Revoke(const Json& request, TimePoint now);

 private:
  struct Entry {
    std::string value;
    int64_t mod_revision = 0;
    int64_t create_revision = 0;
    int64_t version = 0;
    int64_t lease = 0;
  };
  struct Lease {
    Duration ttl{};
    TimePoint expires;
  };

  Json Header() const;
  void ExpireLeases(TimePoint now);
  void RemoveLease(int64_t id);
  Result<bool> CompareHolds(const Json& compare) const;
  std::error_code CheckOperation(const Json& operation, TimePoint now) const;
  void Apply(const Json& operation);

  std::map<std::string, Entry> entries_;
  std::map<int64_t, Lease> leases_;
  int64_t revision_ = 1;
  int64_t next_lease_ = 1000;
};

}  // namespace pomelopond::fakes

#endif  // POMELOPOND_FAKES_STORE_KEY_SPACE_H_
