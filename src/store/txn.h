// Keys, comparisons and operations of store transactions, with their JSON gateway encoding.
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

// Holds when the key's mod revision is `mod_revision`; 0 means that the key must not exist.
struct Compare {
  std::string key;
  int64_t mod_revision = 0;
};

struct Put {
  std::string key;
  std::string value;
  int64_t lease = 0;  // 0: no lease
};

// Deletes [key, range_end); an empty range_end means the one key.
struct Delete {
  std::string key;
  std::string range_end;
};

// Puts and deletes that take effect together, only when all comparisons hold.
struct Txn {
  std::vector<Compare> compares;
  std::vector<Put> puts;
  std::vector<Delete> deletes;
};

struct TxnResult {
  bool succeeded = false;
  int64_t revision = 0;  // mod revision of all keys put, when it succeeded
};

// The first key after all keys that start with `prefix`.
std::string PrefixEnd(std::string prefix);

std::string EncodeBase64(const std::string& bytes);
Result<std::string> DecodeBase64(const std::string& text);

Json ToJson(const Txn& txn);
Result<TxnResult> ParseTxnResult(const Json& answer);
Result<std::vector<KeyValue>> ParseRangeResult(const Json& answer);

// The gateway prints 64-bit numbers as strings; plain numbers are accepted too.
Result<int64_t> ParseInt64(const Json& object, const std::string& key);

}  // namespace pomelopond::store

#endif  // POMELOPOND_STORE_TXN_H_
