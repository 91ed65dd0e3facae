#include "fakes/store/key_space.h"

#include <vector>

#include "base/result_code.h"
#include "store/txn.h"

namespace pomelopond::fakes {
namespace {

using store::DecodeBase64;
using store::EncodeBase64;
using store::ParseInt64;

// Decodes the base64 member `key` of `object`. An absent member is the empty string.
Result<std::string> DecodeBytes(const Json& object, const std::string& key) {
  const auto it = object.find(key);
  if (it == object.end()) return {{}, {}};
  if (!it->is_string()) return {ResultCode::kBadField, {}};
  return DecodeBase64(it->get_ref<const std::string&>());
}

}  // namespace

Json KeySpace::Header() const { return {{"revision", std::to_string(revision_)}}; }

void KeySpace::RemoveLease(int64_t id) {
  leases_.erase(id);
  bool removed = false;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->second.lease != id) {
      ++it;
      continue;
    }
    it = entries_.erase(it);
    removed = true;
  }
  if (removed) ++revision_;
}

void KeySpace::ExpireLeases(TimePoint now) {
  std::vector<int64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires <= now) ended.push_back(id);
  }
  for (const int64_t it : ended) RemoveLease(it);
}

Result<Json> KeySpace::Range(const Json& request, TimePoint now) {
  ExpireLeases(now);
  const Result<std::string> key = DecodeBytes(request, "key");
  const Result<std::string> end = DecodeBytes(request, "range_end");
  const Result<int64_t> limit = ParseInt64(request, "limit");
  if (!key.ok() || !end.ok() || !limit.ok() || key.value.empty()) {
    return {ResultCode::kBadField, {}};
  }
  Json values = Json::array();
  int64_t count = 0;
  for (auto it = entries_.lower_bound(key.value); it != entries_.end(); ++it) {
    const bool in_range = end.value.empty() ? it->first == key.value : it->first < end.value;
    if (!in_range) break;
    ++count;
    if (limit.value > 0 && count > limit.value) continue;
    values.push_back({{"key", EncodeBase64(it->first)},
                      {"value", EncodeBase64(it->second.value)},
                      {"mod_revision", std::to_string(it->second.mod_revision)},
                      {"create_revision", std::to_string(it->second.create_revision)},
                      {"version", std::to_string(it->second.version)}});
  }
  Json answer = {{"header", Header()}, {"count", std::to_string(count)}};
  if (!values.empty()) answer["kvs"] = values;
  return {{}, answer};
}

Result<bool> KeySpace::CompareHolds(const Json& compare) const {
  const Result<std::string> key = DecodeBytes(compare, "key");
  const Result<int64_t> expected = ParseInt64(compare, "mod_revision");
  if (!key.ok() || !expected.ok() || compare.value("target", "") != "MOD" ||
      compare.value("result", "EQUAL") != "EQUAL") {
    return {ResultCode::kBadField, {}};
  }
  const auto it = entries_.find(key.value);
  const int64_t actual = it == entries_.end() ? 0 : it->second.mod_revision;
  return {{}, actual == expected.value};
}

std::error_code KeySpace::CheckOperation(const Json& operation, TimePoint now) const {
  if (!operation.is_object()) return ResultCode::kBadField;
  if (operation.contains("request_delete_range")) {
    const Json& range = operation["request_delete_range"];
    return DecodeBytes(range, "key").ok() && DecodeBytes(range, "range_end").ok()
               ? ResultCode::kOk
               : ResultCode::kBadField;
  }
  if (!operation.contains("request_put")) return ResultCode::kBadField;
  const Json& put = operation["request_put"];
  const Result<std::string> value = DecodeBytes(put, "value");
  const Result<int64_t> lease = ParseInt64(put, "lease");
  if (!DecodeBytes(put, "key").ok() || !value.ok() || !lease.ok()) return ResultCode::kBadField;
  if (value.value.size() > kMaxValueBytes) return ResultCode::kTooLarge;
  const auto it = leases_.find(lease.value);
  if (lease.value != 0 && (it == leases_.end() || it->second.expires <= now)) {
    return ResultCode::kNotFound;
  }
  return {};
}

void KeySpace::Apply(const Json& operation) {
  if (operation.contains("request_delete_range")) {
    const Json& range = operation["request_delete_range"];
    const std::string key = DecodeBytes(range, "key").value;
    const std::string end = DecodeBytes(range, "range_end").value;
    if (end.empty()) {
      entries_.erase(key);
    } else if (key < end) {
      entries_.erase(entries_.lower_bound(key), entries_.lower_bound(end));
    }
    return;
  }
  const Json& put = operation["request_put"];
  Entry& entry = entries_[DecodeBytes(put, "key").value];
  entry.value = DecodeBytes(put, "value").value;
  entry.mod_revision = revision_;
  if (entry.version == 0) entry.create_revision = revision_;
  entry.version += 1;
  entry.lease = ParseInt64(put, "lease").value;
}

Result<Json> KeySpace::Txn(const Json& request, TimePoint now) {
  ExpireLeases(now);
  bool holds = true;
  for (const Json& it : request.value("compare", Json::array())) {
    const Result<bool> compare_holds = CompareHolds(it);
    if (!compare_holds.ok()) return {compare_holds.ec, {}};
    holds = holds && compare_holds.value;
  }
  const Json operations = request.value(holds ? "success" : "failure", Json::array());
  for (const Json& it : operations) {
    if (const std::error_code ec = CheckOperation(it, now)) return {ec, {}};
  }
  if (!operations.empty()) ++revision_;
  for (const Json& it : operations) Apply(it);
  Json answer = {{"header", Header()}};
  if (holds) answer["succeeded"] = true;
  return {{}, answer};
}

Result<Json> KeySpace::GrantLease(const Json& request, TimePoint now) {
  const Result<int64_t> ttl = ParseInt64(request, "TTL");
  if (!ttl.ok() || ttl.value <= 0) return {ResultCode::kBadField, {}};
  const int64_t id = next_lease_++;
  const Duration length = std::chrono::seconds(ttl.value);
  leases_[id] = {length, now + length};
  return {{},
          {{"header", Header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl.value)}}};
}

Result<Json> KeySpace::KeepAlive(const Json& request, TimePoint now) {
  ExpireLeases(now);
  const Result<int64_t> id = ParseInt64(request, "ID");
  if (!id.ok()) return {ResultCode::kBadField, {}};
  Json result = {{"header", Header()}, {"ID", std::to_string(id.value)}};
  const auto it = leases_.find(id.value);
  if (it != leases_.end()) {
    it->second.expires = now + it->second.ttl;
    const int64_t ttl = std::chrono::duration_cast<std::chrono::seconds>(it->second.ttl).count();
    result["TTL"] = std::to_string(ttl);
  }
  return {{}, {{"result", result}}};
}

Result<Json> KeySpace::Revoke(const Json& request, TimePoint now) {
  ExpireLeases(now);
  const Result<int64_t> id = ParseInt64(request, "ID");
  if (!id.ok()) return {ResultCode::kBadField, {}};
  RemoveLease(id.value);
  return {{}, {{"header", Header()}}};
}

}  // namespace pomelopond::fakes
