#include "store/shard_head.h"

#include <cinttypes>
#include <cstdio>
#include <limits>

#include "base/json_reader.h"
#include "base/result_code.h"

namespace pomelopond::store {
namespace {

constexpr int64_t kMaxInt = std::numeric_limits<int64_t>::max();

// Zero-padding to a fixed width makes the lexicographic order of the store's keys equal to the
// numeric order of the positions.
std::string ZeroPadded(int64_t n) {
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%019" PRId64, n);
  return buf;
}

}  // namespace

std::string HeadKey(const std::string& shard) { return "shard/" + shard + "/head"; }

std::string JournalKey(const std::string& shard, int64_t position) {
  return "shard/" + shard + "/journal/" + ZeroPadded(position);
}

std::string SnapshotKey(const std::string& shard, int64_t position, int64_t chunk) {
  return "shard/" + shard + "/snapshot/" + ZeroPadded(position) + "/" + ZeroPadded(chunk);
}

std::string Encode(const ShardHead& head) {
  Json unproved = Json::array();
  for (const OwnerId& it : head.unproved) {
    unproved.push_back({{"host", it.host}, {"incarnation", std::to_string(it.incarnation)}});
  }
  const Json object = {{"epoch", head.epoch},
                       {"position", head.position},
                       {"write_id", head.write_id},
                       {"owner", head.owner},
                       {"incarnation", std::to_string(head.incarnation)},
                       {"snapshot", head.snapshot},
                       {"snapshot_size", head.snapshot_size},
                       {"unproved", unproved},
                       {"released", head.released}};
  return object.dump();
}

Result<ShardHead> DecodeHead(const std::string& bytes) {
  const Result<Json> object = ParseJson(bytes);
  if (!object.ok()) return {ResultCode::kStoreBadAnswer, {}};
  FieldErrors errors;
  JsonReader reader(object.value, "", &errors);
  ShardHead head;
  head.epoch = reader.Int("epoch", 0, kMaxInt);
  head.position = reader.Int("position", 0, kMaxInt);
  head.write_id = reader.String("write_id");
  head.owner = reader.String("owner");
  const std::string incarnation = reader.String("incarnation");
  head.snapshot = reader.Int("snapshot", 0, kMaxInt);
  head.snapshot_size = reader.Int("snapshot_size", 0, kMaxInt);
  size_t n = 0;
  for (const Json& it : reader.ArrayOr("unproved")) {
    JsonReader owner(it, reader.PathOf("unproved") + "[" + std::to_string(n++) + "]", &errors);
    const std::string host = owner.String("host");
    head.unproved.push_back(
        {host, std::strtoull(owner.String("incarnation").c_str(), nullptr, 10)});
    owner.Finish();
  }
  head.released = reader.BoolOr("released", false);
  reader.Finish();
  if (!errors.empty()) return {ResultCode::kStoreBadAnswer, {}};
  head.incarnation = std::strtoull(incarnation.c_str(), nullptr, 10);
  return {{}, std::move(head)};
}

Result<VersionedHead> ToVersionedHead(const KeyValue& value) {
  if (value.mod_revision == 0) return {{}, {}};
  Result<ShardHead> head = DecodeHead(value.value);
  if (!head.ok()) return {head.ec, {}};
  return {{}, {std::move(head.value), value.mod_revision}};
}

Txn MakeAppend(const std::string& shard, const VersionedHead& from, const ShardHead& to,
               const std::string& record) {
  Txn txn;
  txn.compares.push_back({HeadKey(shard), from.mod_revision});
  txn.puts.push_back({HeadKey(shard), Encode(to), 0});
  txn.puts.push_back({JournalKey(shard, to.position), record, 0});
  return txn;
}

AppendOutcome ResolveAppend(const VersionedHead& from, const ShardHead& to,
                            const VersionedHead& found, const std::string& entry_write_id) {
  if (found.mod_revision == from.mod_revision) return AppendOutcome::kNotApplied;
  if (found.head.write_id == to.write_id) return AppendOutcome::kApplied;
  if (entry_write_id == to.write_id) return AppendOutcome::kAppliedReplaced;
  if (found.head.snapshot >= to.position) return AppendOutcome::kUnknown;
  return AppendOutcome::kReplaced;
}

}  // namespace pomelopond::store
