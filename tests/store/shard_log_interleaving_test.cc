#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <vector>

#include "base/result_code.h"
#include "fakes/store/key_space.h"
#include "store/shard_log.h"

namespace pomelopond::store {
namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr size_t kWriteIdBytes = 32;

std::string WriteId(int64_t n) {
  std::string id = std::to_string(n);
  return std::string(kWriteIdBytes - id.size(), '0') + id;
}

// The fault that one commit meets; kAnswered is a commit without a fault.
enum class CommitFault { kAnswered, kAnswerLost, kDropped, kDelayed, kNotSent };

// A key space that counts how often each journal record took effect, and holds back delayed
// commits.
class CountingStore {
 public:
  Result<KeyValue> Get(const std::string& key) {
    const Json request = {{"key", EncodeBase64(key)}};
    const auto values = ParseRangeResult(keys_.Range(request, kStart).value).value;
    return {{}, values.empty() ? KeyValue{key, {}, 0} : values.front()};
  }

  Result<TxnResult> Commit(const Txn& txn) {
    const Result<TxnResult> result = ParseTxnResult(keys_.Txn(ToJson(txn), kStart).value);
    if (!result.ok() || !result.value.succeeded) return result;
    for (const Put& it : txn.puts) {
      if (it.key.find("/journal/") == std::string::npos) continue;
      applied_[it.value.substr(0, kWriteIdBytes)] += 1;
    }
    return result;
  }

  Result<TxnResult> Commit(const Txn& txn, CommitFault fault) {
    const Result<TxnResult> lost{ResultCode::kStoreAnswerLost, {}};
    switch (fault) {
      case CommitFault::kAnswered:
        return Commit(txn);
      case CommitFault::kAnswerLost:
        Commit(txn);
        return lost;
      case CommitFault::kDropped:
        return lost;
      case CommitFault::kDelayed:
        delayed_.push_back(txn);
        return lost;
      case CommitFault::kNotSent:
        return {ResultCode::kStoreUnavailable, {}};
    }
    return lost;
  }

  void DeliverDelayed() {
    if (delayed_.empty()) return;
    Commit(delayed_.front());
    delayed_.pop_front();
  }

  bool has_delayed() const { return !delayed_.empty(); }
  int64_t applied(const std::string& write_id) const {
    const auto it = applied_.find(write_id);
    return it == applied_.end() ? 0 : it->second;
  }

  Result<std::vector<KeyValue>> Range(const std::string& first, const std::string& end,
                                      int64_t limit) {
    const Json request = {{"key", EncodeBase64(first)},
                          {"range_end", EncodeBase64(end)},
                          {"limit", std::to_string(limit)}};
    return ParseRangeResult(keys_.Range(request, TimePoint{}).value);
  }

 private:
  fakes::KeySpace keys_;
  std::map<std::string, int64_t> applied_;
  std::deque<Txn> delayed_;
};

std::function<Result<std::vector<KeyValue>>(const std::string&, const std::string&, int64_t)>
RangeOf(CountingStore* store) {
  return [store](const std::string& first, const std::string& end, int64_t limit) {
    return store->Range(first, end, limit);
  };
}

StoreCalls CallsOf(CountingStore* store) {
  return {[store](const std::string& key) { return store->Get(key); },
          [store](const Txn& txn) { return store->Commit(txn); }, RangeOf(store)};
}

// Guards against reporting a record as absent from the journal although its append took effect.
// This happens if the successor compacts the record between the two reads that resolve a lost
// answer.
TEST(ShardLogInterleavingTest, CompactionBetweenTheReadsIsNotTakenForAbsence) {
  CountingStore store;
  ShardLog successor("s", CallsOf(&store));
  bool lose_answers = false;
  bool compact = false;
  ShardLog owner(
      "s", StoreCalls{[&](const std::string& key) {
                        if (compact && key.find("/journal/") != std::string::npos) {
                          compact = false;
                          EXPECT_FALSE(successor.Compact("snapshot", WriteId(3)));
                        }
                        return store.Get(key);
                      },
                      [&](const Txn& txn) {
                        if (!lose_answers) return store.Commit(txn);
                        const auto lost = store.Commit(txn, CommitFault::kAnswerLost);
                        EXPECT_TRUE(successor.TakeOver(successor.Read().value, {"b", 2}, {}).ok());
                        compact = true;
                        return lost;
                      },
                      RangeOf(&store)});
  ASSERT_TRUE(owner.TakeOver(owner.Read().value, {"a", 1}, {}).ok());
  lose_answers = true;
  const std::error_code ec = owner.Append("record", WriteId(1));
  EXPECT_EQ(store.applied(WriteId(1)), 1);
  EXPECT_EQ(ec, ResultCode::kOutcomeUnknown);
}

// Guards against an owner that gives up its own shard: it compacts the journal, the answer is lost,
// and it mistakes its own compaction for the write of another owner.
TEST(ShardLogInterleavingTest, AppendAfterCompactionWithLostAnswerKeepsTheShard) {
  CountingStore store;
  bool lose_answers = false;
  bool fail_reads = false;
  ShardLog owner("s", StoreCalls{[&](const std::string& key) -> Result<KeyValue> {
                                   if (fail_reads) return {ResultCode::kStoreUnavailable, {}};
                                   return store.Get(key);
                                 },
                                 [&](const Txn& txn) {
                                   return store.Commit(txn, lose_answers ? CommitFault::kAnswerLost
                                                                         : CommitFault::kAnswered);
                                 },
                                 RangeOf(&store)});
  ASSERT_TRUE(owner.TakeOver(owner.Read().value, {"a", 1}, {}).ok());
  ASSERT_FALSE(owner.Append("one", WriteId(1)));
  lose_answers = fail_reads = true;
  EXPECT_EQ(owner.Compact("", WriteId(2)), ResultCode::kStoreAnswerLost);
  // While the outcome of the compaction is unknown, no other write is sent.
  EXPECT_EQ(owner.Append("two", WriteId(3)), ResultCode::kStoreUnavailable);
  EXPECT_TRUE(owner.pending());
  lose_answers = fail_reads = false;
  EXPECT_FALSE(owner.Append("two", WriteId(4)));
  EXPECT_EQ(store.applied(WriteId(2)), 1);
  EXPECT_EQ(store.applied(WriteId(3)), 0);
  EXPECT_EQ(store.applied(WriteId(4)), 1);
  EXPECT_EQ(owner.position(), 4);
}

// The result that an owner's log reported for one append or compaction.
struct ReportedResult {
  std::string write_id;
  std::error_code ec;
};

// Two owners of the same shard on one store. Every store call of either owner may fail, and steps
// of the other owner are interleaved between the calls.
class TwoOwners {
 public:
  TwoOwners() {
    for (int64_t n = 0; n < 2; ++n) {
      logs_.emplace_back(
          "s", StoreCalls{[this, n](const std::string& key) { return Get(n, key); },
                          [this, n](const Txn& txn) { return Commit(n, txn); }, RangeOf(&store_)});
    }
  }

  void Run(int64_t steps) {
    for (int64_t n = 0; n < steps; ++n) Step(*rc::gen::inRange(0, 2));
  }

  // Ends fault injection, delivers the delayed commits, resolves the pending appends and checks all
  // reported results.
  void Check() {
    faults_ = false;
    while (store_.has_delayed()) store_.DeliverDelayed();
    for (int64_t n = 0; n < 2; ++n) {
      for (int tries = 0; logs_[n].pending() && tries < 3; ++tries) Finish(n, logs_[n].Resolve());
      RC_ASSERT(!logs_[n].pending());
    }
    for (const ReportedResult& it : reported_results_) {
      const int64_t applied = store_.applied(it.write_id);
      RC_ASSERT(applied <= 1);
      if (!it.ec) RC_ASSERT(applied == 1);
      if (it.ec == ResultCode::kNotOwner || it.ec == ResultCode::kStoreUnavailable) {
        RC_ASSERT(applied == 0);
      }
    }
  }

 private:
  void Step(int64_t n) {
    if (busy_[n]) return;
    busy_[n] = true;
    if (logs_[n].pending()) {
      Finish(n, logs_[n].Resolve());
    } else if (!owns_[n]) {
      const Result<VersionedHead> head = logs_[n].Read();
      owns_[n] = head.ok() &&
                 logs_[n].TakeOver(head.value, {"host", static_cast<uint64_t>(n) + 1}, {}).ok();
    } else {
      unresolved_write_ids_[n] = WriteId(next_++);
      const int choice = *rc::gen::inRange(0, 5);
      Finish(n, choice == 0 ? logs_[n].Compact("x", unresolved_write_ids_[n])
                            : logs_[n].Append("r", unresolved_write_ids_[n]));
    }
    busy_[n] = false;
  }

  void Finish(int64_t n, std::error_code ec) {
    if (ec == ResultCode::kNotOwner || ec == ResultCode::kOutcomeUnknown) owns_[n] = false;
    if (ec == ResultCode::kStoreAnswerLost || unresolved_write_ids_[n].empty()) return;
    reported_results_.push_back({unresolved_write_ids_[n], ec});
    unresolved_write_ids_[n].clear();
  }

  // Runs a step of the other owner or delivers a delayed commit between two calls.
  void Interleave(int64_t n) {
    if (!faults_) return;
    const int choice = *rc::gen::inRange(0, 6);
    if (choice == 0) store_.DeliverDelayed();
    if (choice <= 2) Step(1 - n);
  }

  Result<KeyValue> Get(int64_t n, const std::string& key) {
    Interleave(n);
    if (faults_ && *rc::gen::inRange(0, 10) == 0) return {ResultCode::kStoreAnswerLost, {}};
    return store_.Get(key);
  }

  Result<TxnResult> Commit(int64_t n, const Txn& txn) {
    Interleave(n);
    const int draw = faults_ ? *rc::gen::inRange(0, 10) : 0;
    return store_.Commit(txn, draw < 5 ? static_cast<CommitFault>(draw) : CommitFault::kAnswered);
  }

  CountingStore store_;
  std::vector<ShardLog> logs_;
  bool owns_[2] = {};
  bool busy_[2] = {};
  std::string unresolved_write_ids_[2];  // by owner: write id of the unresolved append
  std::vector<ReportedResult> reported_results_;
  int64_t next_ = 1;
  bool faults_ = true;
};

// Guards against a record that is in the journal twice, and against a reported result that is
// wrong, when answers are lost, copies arrive late and two owners take over from each other.
TEST(ShardLogInterleavingTest, ClaimsAreTrueUnderLostAnswersLateCopiesAndTwoOwners) {
  EXPECT_TRUE(rc::check([] {
    TwoOwners owners;
    owners.Run(40);
    owners.Check();
  }));
}

}  // namespace
}  // namespace pomelopond::store
