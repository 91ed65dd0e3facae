// Provides the keys, leases and transactions of the fake store.
#ifndef POMELOPOND_FAKES_STORE_KEY_SPACE_H_
#define POMELOPOND_FAKES_STORE_KEY_SPACE_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/json.h"
#include "base/result.h"
#include "base/time.h"

namespace pomelopond::fakes {

// Largest size of a value; a put of a larger value fails with kTooLarge.
inline constexpr size_t kMaxValueBytes = 1 << 20;

// An in-memory key-value store with the subset of the etcd v3 JSON gateway's requests and answers
// that the system uses. A request that the gateway would reject as malformed fails with kBadField.
// Not thread-safe.
class KeySpace {
 public:
  Result<Json> Range(const Json& request, TimePoint now);
  Result<Json> Txn(const Json& request, TimePoint now);
  Result<Json> GrantLease(const Json& request, TimePoint now);
  Result<Json> KeepAlive(const Json& request, TimePoint now);
  Result<Json> Revoke(const Json& request, TimePoint now);

 private:
  struct Entry {
    std::string value;            // decoded bytes
    int64_t mod_revision = 0;     // store revision of the last put
    int64_t create_revision = 0;  // store revision of the first put
    int64_t version = 0;          // number of puts since the key was created
    int64_t lease = 0;            // ID of the lease that the key is attached to; 0: none
  };
  struct Lease {
    Duration ttl{};     // validity after a grant or renewal
    TimePoint expires;  // end of the current validity
  };

  // Returns the header of an answer, with the store revision.
  Json Header() const;
  // Removes the leases that have expired at `now`, with their keys.
  void ExpireLeases(TimePoint now);
  // Removes a lease and the keys that are attached to it.
  void RemoveLease(int64_t id);
  // Evaluates one comparison of a transaction. The only supported one is the equality of the
  // modification revision, which is 0 for a key that does not exist.
  Result<bool> CompareHolds(const Json& compare) const;
  // Checks that Apply() can execute `operation`. Txn() checks all operations before it applies any.
  std::error_code CheckOperation(const Json& operation, TimePoint now) const;
  void Apply(const Json& operation);

  std::map<std::string, Entry> entries_;  // by key
  std::map<int64_t, Lease> leases_;       // by lease ID
  int64_t revision_ = 1;                  // store revision, incremented by each change
  int64_t next_lease_ = 1000;
};

}  // namespace pomelopond::fakes

#endif  // POMELOPOND_FAKES_STORE_KEY_SPACE_H_
