#include "store/txn.h"

#include <openssl/evp.h>

#include <charconv>

#include "base/result_code.h"

namespace pomelopond::store {
namespace {

Json ToJson(const Compare& it) {
  return {{"key", EncodeBase64(it.key)},
          {"target", "MOD"},
          {"result", "EQUAL"},
          {"mod_revision", std::to_string(it.mod_revision)}};
}

Json ToJson(const Put& it) {
  Json put = {{"key", EncodeBase64(it.key)}, {"value", EncodeBase64(it.value)}};
  if (it.lease != 0) put["lease"] = std::to_string(it.lease);
  return {{"request_put", put}};
}

Json ToJson(const Delete& it) {
  Json range = {{"key", EncodeBase64(it.key)}};
  if (!it.range_end.empty()) range["range_end"] = EncodeBase64(it.range_end);
  return {{"request_delete_range", range}};
}

Result<std::string> Base64Member(const Json& object, const std::string& key) {
  const auto it = object.find(key);
  if (it == object.end()) return {{}, {}};
  if (!it->is_string()) return {ResultCode::kStoreBadAnswer, {}};
  return DecodeBase64(it->get_ref<const std::string&>());
}

}  // namespace

std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty() && prefix.back() == '\xff') prefix.pop_back();
  if (prefix.empty()) return std::string(1, '\0');
  prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

std::string EncodeBase64(const std::string& bytes) {
  std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                reinterpret_cast<const unsigned char*>(bytes.data()),
                                static_cast<int>(bytes.size()));
  out.resize(static_cast<size_t>(n));
  return out;
}

Result<std::string> DecodeBase64(const std::string& text) {
  if (text.empty()) return {{}, {}};
  if (text.size() % 4 != 0) return {ResultCode::kStoreBadAnswer, {}};
  std::string out(text.size() / 4 * 3, '\0');
  const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                reinterpret_cast<const unsigned char*>(text.data()),
                                static_cast<int>(text.size()));
  if (n < 0) return {ResultCode::kStoreBadAnswer, {}};
  size_t padding = 0;
  if (text[text.size() - 1] == '=') ++padding;
  if (text[text.size() - 2] == '=') ++padding;
  out.resize(static_cast<size_t>(n) - padding);
  return {{}, std::move(out)};
}

Json ToJson(const Txn& txn) {
  Json compares = Json::array();
  for (const Compare& it : txn.compares) compares.push_back(ToJson(it));
  Json operations = Json::array();
  for (const Delete& it : txn.deletes) operations.push_back(ToJson(it));
  for (const Put& it : txn.puts) operations.push_back(ToJson(it));
  return {{"compare", compares}, {"success", operations}, {"failure", Json::array()}};
}

Result<int64_t> ParseInt64(const Json& object, const std::string& key) {
  if (!object.is_object()) return {ResultCode::kStoreBadAnswer, {}};
  const auto it = object.find(key);
  if (it == object.end()) return {{}, 0};
  if (it->is_number_integer()) return {{}, it->get<int64_t>()};
  if (!it->is_string()) return {ResultCode::kStoreBadAnswer, {}};
  const auto& text = it->get_ref<const std::string&>();
  int64_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return {ResultCode::kStoreBadAnswer, {}};
  }
  return {{}, n};
}

Result<TxnResult> ParseTxnResult(const Json& answer) {
  if (!answer.is_object() || !answer.contains("header")) return {ResultCode::kStoreBadAnswer, {}};
  const Result<int64_t> revision = ParseInt64(answer["header"], "revision");
  if (!revision.ok()) return {revision.ec, {}};
  const auto it = answer.find("succeeded");
  if (it != answer.end() && !it->is_boolean()) return {ResultCode::kStoreBadAnswer, {}};
  return {{}, {it != answer.end() && it->get<bool>(), revision.value}};
}

Result<std::vector<KeyValue>> ParseRangeResult(const Json& answer) {
  if (!answer.is_object() || !answer.contains("header")) return {ResultCode::kStoreBadAnswer, {}};
  std::vector<KeyValue> values;
  const auto list = answer.find("kvs");
  if (list == answer.end()) return {{}, values};
  if (!list->is_array()) return {ResultCode::kStoreBadAnswer, {}};
  for (const Json& it : *list) {
    const Result<int64_t> revision = ParseInt64(it, "mod_revision");
    if (!revision.ok()) return {revision.ec, {}};
    const Result<std::string> key = Base64Member(it, "key");
    const Result<std::string> value = Base64Member(it, "value");
    if (!key.ok() || !value.ok()) return {ResultCode::kStoreBadAnswer, {}};
    values.push_back({key.value, value.value, revision.value});
  }
  return {{}, std::move(values)};
}

}  // namespace pomelopond::store
