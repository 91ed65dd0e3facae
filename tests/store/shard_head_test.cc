#include "store/shard_head.h"

#include <gtest/gtest.h>

#include "fakes/store/key_space.h"

namespace pomelopond::store {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};

ShardHead HeadAt(int64_t epoch, int64_t position, const std::string& write_id) {
  ShardHead head;
  head.epoch = epoch;
  head.position = position;
  head.write_id = write_id;
  head.owner = "entry-1";
  return head;
}

bool Commit(fakes::KeySpace* keys, const Txn& txn) {
  const Result<Json> answer = keys->Txn(ToJson(txn), kStart);
  return answer.ok() && ParseTxnResult(answer.value).value.succeeded;
}

VersionedHead ReadHead(fakes::KeySpace* keys) {
  const Json request = {{"key", EncodeBase64(HeadKey("s"))}};
  const auto values = ParseRangeResult(keys->Range(request, kStart).value).value;
  return values.empty() ? VersionedHead{} : ToVersionedHead(values.front()).value;
}

// Guards against a replaced owner whose late append succeeds because the successor has already
// compacted the journal entry at that position.
TEST(ShardHeadTest, LateWriteOfReplacedOwnerFailsEvenAfterCompaction) {
  fakes::KeySpace keys;
  ASSERT_TRUE(Commit(&keys, MakeAppend("s", {}, HeadAt(1, 1, "a"), "r1")));
  const VersionedHead stale_head = ReadHead(&keys);
  ASSERT_TRUE(Commit(&keys, MakeAppend("s", stale_head, HeadAt(2, 2, "b"), "r2")));
  Txn compact = MakeAppend("s", ReadHead(&keys), HeadAt(2, 3, "c"), "r3");
  compact.deletes.push_back({JournalKey("s", 0), JournalKey("s", 3)});
  ASSERT_TRUE(Commit(&keys, compact));
  EXPECT_FALSE(Commit(&keys, MakeAppend("s", stale_head, HeadAt(1, 2, "late"), "late")));
  EXPECT_EQ(ReadHead(&keys).head.write_id, "c");
}

// Guards against a wrong verdict on an append whose answer was lost.
TEST(ShardHeadTest, ResolveTellsTheFourCasesApart) {
  const VersionedHead from{HeadAt(1, 4, "p"), 10};
  const ShardHead to = HeadAt(1, 5, "mine");
  EXPECT_EQ(ResolveAppend(from, to, from, ""), AppendOutcome::kNotApplied);
  EXPECT_EQ(ResolveAppend(from, to, {to, 11}, "mine"), AppendOutcome::kApplied);
  EXPECT_EQ(ResolveAppend(from, to, {HeadAt(2, 5, "x"), 11}, "x"), AppendOutcome::kReplaced);
  EXPECT_EQ(ResolveAppend(from, to, {HeadAt(2, 6, "x"), 12}, "mine"),
            AppendOutcome::kAppliedReplaced);
  ShardHead compacted = HeadAt(2, 9, "x");
  compacted.snapshot = 8;
  EXPECT_EQ(ResolveAppend(from, to, {compacted, 20}, ""), AppendOutcome::kUnknown);
}

TEST(ShardHeadTest, HeadSurvivesItsEncoding) {
  ShardHead head = HeadAt(3, 7, "w");
  head.incarnation = 18446744073709551615u;
  head.released = true;
  EXPECT_EQ(DecodeHead(Encode(head)).value, head);
  EXPECT_FALSE(DecodeHead("{}").ok());
  EXPECT_FALSE(DecodeHead("x").ok());
}

}  // namespace
}  // namespace pomelopond::store
