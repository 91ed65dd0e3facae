// Comparisons and operations of store transactions, and their encoding for the JSON gateway.
#ifndef POMELOPOND_STORE_TXN_H_
#define POMELOPOND_STORE_TXN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/result.h"

namespace pomelopond::store {

struct KeyValue {
  std::string key;
  std::string value;
  int64_t mod_revision = 0;  // 0: the key does not exist

  friend bool operator==(const KeyValue& a, const KeyValue& b) {
    return a.key == b.key && a.value == b.value && a.mod_revision == b.mod_revision;
  }
};

// Holds if the key's mod revision equals `mod_revision`; 0 requires that the key does not exist.
struct Compare {
  std::string key;
  int64_t mod_revision = 0;
};

struct Put {
  std::string key;
  std::string value;
  int64_t lease = 0;  // id of the lease that the key is attached to; 0: no lease
};

// Deletes the keys in [key, range_end), or only `key` if `range_end` is empty.
struct Delete {
  std::string key;
  std::string range_end;
};

// Puts and deletes that take effect atomically, and only if all comparisons hold.
struct Txn {
  std::vector<Compare> compares;
  std::vector<Put> puts;
  std::vector<Delete> deletes;
};

struct TxnResult {
  bool succeeded = false;  // whether all comparisons held
  int64_t revision = 0;    // if it succeeded, the mod revision of all keys that were put
};

// Returns the first key that sorts after all keys that start with `prefix`.
std::string PrefixEnd(std::string prefix);

std::string EncodeBase64(const std::string& bytes);
Result<std::string> DecodeBase64(const std::string& text);

Json ToJson(const Txn& txn);
Result<TxnResult> ParseTxnResult(const Json& answer);
Result<std::vector<KeyValue>> ParseRangeResult(const Json& answer);

// Reads a 64-bit member. The gateway encodes 64-bit numbers as strings; plain numbers are accepted
// too. An absent member is 0.
Result<int64_t> ParseInt64(const Json& object, const std::string& key);

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_TXN_H_
