// Checks that any data that other processes write or send is decoded without an exception. An
// exception that leaves a decoder terminates the process, and the next owner of the pool would read
// the same bytes.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>

#include "base/result_code.h"
#include "dispatch/dispatcher.h"
#include "dispatch/lease_bounds.h"
#include "entry/term.h"
#include "jobs/job.h"
#include "jobs/progress.h"
#include "planning/event.h"
#include "planning/shard_state.h"
#include "platform/decode.h"
#include "platform/policy_api.h"
#include "platform/worker_api.h"
#include "tests/platform/mutate.h"

namespace pomelopond::platform {
namespace {

std::string MaybeTruncate(std::string bytes) {
  if (!bytes.empty() && *rc::gen::inRange(0, 8) == 0) {
    bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
  }
  return bytes;
}

// Serializes `in` without an exception on invalid UTF-8, whose bytes are left out of the text.
std::string AsText(const Json& in) {
  return MaybeTruncate(in.dump(-1, ' ', false, Json::error_handler_t::ignore));
}

std::string AsMessagePack(const Json& in) {
  std::string bytes;
  Json::to_msgpack(in, bytes);
  return MaybeTruncate(bytes);
}

store::Item ItemOf(const std::string& key, const std::string& value) {
  store::Item item;
  item.key = key;
  item.value = value;
  return item;
}

http::HttpResult AnswerWith(const std::string& body) {
  http::HttpResult result;
  result.response.status = 200;
  result.response.body = body;
  return result;
}

const Json kStep = {{"replicas", 4},   {"cpu", 500},     {"mem_mb", 256},
                    {"after", {0}},    {"image", "web"}, {"estimate_ms", 900},
                    {"target_ms", 25}, {"fills", true},  {"requires", "a"}};

// Guards against a worker or policy service whose response terminates the owner's process.
TEST(HostileInputTest, AnswersOfOthersAreDecodedWithoutAnException) {
  EXPECT_TRUE(rc::check([] {
    const Json report = {{"clock_ms", 1},
                         {"born", 5},
                         {"running", {{"a.0.0.1", 1, "s", 40, 7}}},
                         {"ended", {{1, "a.0.0.1", 1, "done", ""}}}};
    const Json permits = {{"good", Json::array({Json::array({"w", "ticket"})})}, {"valid_ms", 5}};
    ReadReport(AnswerWith(AsText(Mutate(report))));
    ReadAnswer(AnswerWith(AsText(Mutate(report))));
    ReadPermits(AnswerWith(AsText(Mutate(permits))));
  }));
}

// Guards against an entry or a configuration of another writer that terminates a process.
TEST(HostileInputTest, EntriesOfTheStoreAreDecodedWithoutAnException) {
  EXPECT_TRUE(rc::check([] {
    const Json worker = {{"service", "s"},
                         {"address", "10.0.0.1:80"},
                         {"zone", "z"},
                         {"state", "ready"},
                         {"capacity", {{"cpu", 16000}, {"mem_mb", 1}, {"gpu", 2}}},
                         {"labels", {"a", "r1-3"}},
                         {"born", 1}};
    const Json config = {
        {"version", 3},
        {"routes",
         {{{"host", "h"}, {"prefix", "/p/"}, {"name", "q"}, {"service", "s"}, {"priority", 1}}}}};
    ReadExecutor(ItemOf("servers/i-1", AsText(Mutate(worker))));
    ReadConfig(ItemOf("op/config", AsText(Mutate(config))));
  }));
}

// Guards against a stored record that is decoded but cannot be run or sent. Each owner in turn
// would terminate on it.
TEST(HostileInputTest, StoredRecordsAreRefusedOrUsable) {
  EXPECT_TRUE(rc::check([] {
    jobs::Job job;
    job.id = "0123456789abcdef";
    job.spec = "text";
    job.steps.resize(2);
    job.steps[1].after = {0};
    const Result<jobs::Job> read =
        jobs::DecodeJob(AsMessagePack(Mutate(Json::from_msgpack(jobs::Encode(job)))));
    if (read.ok()) {
      RC_ASSERT(jobs::ValidationError(read.value).empty());
      RC_ASSERT(!Json(read.value.spec).dump().empty());
    }
    jobs::JobProgress progress;
    progress.tasks[{0, 0, 0}] = {};
    jobs::DecodeProgress(AsMessagePack(Mutate(Json::from_msgpack(jobs::Encode(progress)))));
    entry::DecodeTerm(AsMessagePack(Mutate(Json::array({1, "owner", 7}))));
    dispatch::DecodeWorkersInUse(AsMessagePack(Mutate(Json::array({{"w", "s", "10.0.0.1:80"}}))));
  }));
}

// Returns whether the bytes are refused as a record of each kind.
bool IsNoRecord(const std::string& bytes) {
  return jobs::DecodeJob(bytes).ec == ResultCode::kStoreBadAnswer &&
         jobs::DecodeProgress(bytes).ec == ResultCode::kStoreBadAnswer &&
         entry::DecodeTerm(bytes).ec == ResultCode::kStoreBadAnswer &&
         dispatch::DecodeLeaseBounds(bytes).ec == ResultCode::kStoreBadAnswer &&
         dispatch::DecodeWorkersInUse(bytes).ec == ResultCode::kStoreBadAnswer &&
         dispatch::DecodeWaitingCounts(bytes).ec == ResultCode::kStoreBadAnswer &&
         planning::DecodeEvents(bytes).ec == ResultCode::kStoreBadAnswer &&
         planning::DecodeSnapshot(bytes).ec == ResultCode::kStoreBadAnswer;
}

// Guards against a stored record whose nesting exhausts the stack of each process that reads it.
TEST(HostileInputTest, DeeplyNestedRecordsAreRefused) {
  constexpr size_t kDepth = 100000;
  const std::string arrays(kDepth, '\x91');  // each has one element
  EXPECT_TRUE(IsNoRecord(arrays));
  EXPECT_TRUE(IsNoRecord(arrays + "\xc0"));
  std::string objects;  // each has one member
  for (size_t n = 0; n < kDepth; ++n) objects.append("\x81\xa1k");
  EXPECT_TRUE(IsNoRecord(objects));
  EXPECT_TRUE(IsNoRecord(objects + "\xc0"));
}

// Replaces each number of `record` in turn by each of `values` and returns the changed records.
std::vector<Json> WithEachNumberReplaced(const Json& record, const std::vector<Json>& values) {
  std::vector<Json> changed;
  const Json flat = record.flatten();
  for (const auto& [path, it] : flat.items()) {
    if (!it.is_number()) continue;
    for (const Json& value : values) {
      changed.push_back(record);
      changed.back()[Json::json_pointer(path)] = value;
    }
  }
  return changed;
}

std::string PackedForm(const Json& in) {
  std::string bytes;
  Json::to_msgpack(in, bytes);
  return bytes;
}

const std::vector<Json>& NumbersOutOfRange() {
  static const std::vector<Json> values = {1e300,        -1e300,   INT64_MAX, INT64_MIN, UINT64_MAX,
                                           std::nan(""), HUGE_VAL, true,      "1",       nullptr};
  return values;
}

// Guards against stored numbers that another type cannot hold. Their conversion is undefined, and
// sums and products with them overflow.
TEST(HostileInputTest, StoredNumbersOutOfRangeAreRefused) {
  jobs::Job job;
  job.steps.resize(2);
  job.steps[1].after = {0};
  jobs::JobProgress progress;
  progress.tasks[{0, 0, 0}] = {false, {100001}, "c", 100001};
  const auto check = [](const Json& record, const auto& decode) {
    ASSERT_TRUE(decode(PackedForm(record)).ok()) << record;
    for (const Json& it : WithEachNumberReplaced(record, NumbersOutOfRange())) {
      EXPECT_EQ(decode(PackedForm(it)).ec, ResultCode::kStoreBadAnswer) << it;
    }
  };
  check(Json::from_msgpack(jobs::Encode(job)), jobs::DecodeJob);
  check(Json::from_msgpack(jobs::Encode(progress)), jobs::DecodeProgress);
  check(Json::array({2, "owner", 7, 500}), entry::DecodeTerm);
  check(Json::array({2, {{"w", 30}}}), dispatch::DecodeLeaseBounds);
  check(Json::array({2, {{"queue", 3}}}), dispatch::DecodeWaitingCounts);
}

// Guards against a submission that terminates the process, or that is accepted but cannot be run.
TEST(HostileInputTest, SubmissionsAreRefusedOrUsable) {
  EXPECT_TRUE(rc::check([] {
    const Json submission = {{"spec", "text"}, {"steps", {kStep, kStep}}, {"times", 2}};
    std::string fault;
    const Result<jobs::Job> read = ReadSubmission(AsText(Mutate(submission)), &fault);
    RC_ASSERT(read.ok() == fault.empty());
    if (read.ok()) RC_ASSERT(jobs::ValidationError(read.value).empty());
  }));
}

}  // namespace
}  // namespace pomelopond::platform
