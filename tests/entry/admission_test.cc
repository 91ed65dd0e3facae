// Which jobs a host refuses, and what it needs to know for it.
#include "entry/admission.h"

#include <gtest/gtest.h>

#include <deque>
#include <set>

#include "dispatch/waiting_counts.h"
#include "entry/forecast_reader.h"
#include "entry/job_service.h"
#include "entry/keys.h"
#include "tests/dispatch/simulated_load.h"
#include "tests/entry/memory_store.h"

namespace pomelopond::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kRevision = 5;
constexpr int kManyJobs = 20;

// A job with an objective of 3 s, which is of no use after 8 s of waiting.
jobs::Job MakeJob(const std::string& id = "00000000000000aa") {
  jobs::Job job;
  job.id = id;
  job.rules.queue = "batch";
  job.rules.stretch = 2;
  job.rules.target_duration_ms = 1000;
  job.steps.resize(1);
  job.steps[0].estimate_ms = 1000;
  return job;
}

dispatch::WaitingCounts Counts(int64_t wait_ms, int64_t useless_after_ms) {
  dispatch::WaitingCounts counts;
  counts.jobs_revision = kRevision;
  counts.forecasts["batch"] = {wait_ms, useless_after_ms, 12000};
  return counts;
}

bool IsAccepted(const jobs::Job& job, const dispatch::WaitingCounts& counts,
                std::optional<Duration> age = seconds(1)) {
  return DecideAdmission(job, {&counts, age}).accepted;
}

// Guards against refused jobs that would only have been late, by their own estimates or by what the
// owner has learned.
TEST(AdmissionTest, OnlyJobsOfNoUseAreRefused) {
  EXPECT_FALSE(IsAccepted(MakeJob(), Counts(9000, 8000)));
  EXPECT_TRUE(IsAccepted(MakeJob(), Counts(8000, 5000)));
  EXPECT_TRUE(IsAccepted(MakeJob(), Counts(9000, 10000)));
}

// Guards against a host that refuses jobs by what it does not know, or knows no longer.
TEST(AdmissionTest, WithoutARecentForecastAllJobsAreAccepted) {
  const dispatch::WaitingCounts counts = Counts(60000, 0);
  EXPECT_FALSE(IsAccepted(MakeJob(), counts));
  EXPECT_TRUE(IsAccepted(MakeJob(), counts, seconds(4)));
  EXPECT_TRUE(IsAccepted(MakeJob(), counts, std::nullopt));
  EXPECT_TRUE(DecideAdmission(MakeJob(), {}).accepted);
  jobs::Job other = MakeJob();
  other.rules.queue = "other";
  EXPECT_TRUE(IsAccepted(other, counts));
}

// Guards against refused jobs that have no completion which could be late.
TEST(AdmissionTest, PerpetualAndRecurringJobsAreAccepted) {
  jobs::Job perpetual = MakeJob();
  perpetual.steps[0].perpetual = true;
  jobs::Job recurring = MakeJob();
  recurring.occurrences = 3;
  EXPECT_TRUE(IsAccepted(perpetual, Counts(60000, 0)));
  EXPECT_TRUE(IsAccepted(recurring, Counts(60000, 0)));
}

// Guards against refused callers that all come again at the same time.
TEST(AdmissionTest, RetriesAreSpread) {
  std::set<int64_t> after_1s;
  std::set<int64_t> after_12s;
  for (int n = 0; n < 100; ++n) {
    const std::string id = "0000000000000" + std::to_string(100 + n);
    after_1s.insert(SpreadRetryAfter(seconds(1), id));
    after_12s.insert(SpreadRetryAfter(seconds(12), id));
  }
  EXPECT_EQ(after_1s, (std::set<int64_t>{1, 2}));
  EXPECT_EQ(after_12s, (std::set<int64_t>{9, 10, 11, 12, 13, 14, 15}));
}

class HostAdmissionTest : public ::testing::Test {
 protected:
  // A store whose stale reads are counted and, on request, held back.
  struct StaleStore : MemoryStore {
    void GetStale(const std::string& key, store::StoreCallback<store::Item> done) override {
      stale_reads += 1;
      if (holds) return held.push_back(std::move(done));
      Get(key, std::move(done));
    }
    int stale_reads = 0;
    bool holds = false;
    std::vector<store::StoreCallback<store::Item>> held;
  };

  HostAdmissionTest()
      : service(
            Options(), &store, [](Duration, const std::function<void()>&) {}, &metrics, &health,
            &revisions) {
    revisions.Record(Now(), kRevision);
  }

  static JobServiceOptions Options() {
    JobServiceOptions options;
    options.admission_control = true;
    return options;
  }

  void Publish(const std::string& record) { store.Apply({{}, {{kWaitingKey, record, 0}}, {}}); }

  std::error_code Submit(int n) {
    std::error_code result = ResultCode::kInternal;
    service.Submit(
        MakeJob("0000000000000" + std::to_string(100 + n)), Now() + seconds(3),
        [&result](std::error_code ec) { result = ec; }, [this](Duration it) { retry_after = it; });
    return result;
  }

  StaleStore store;
  metrics::Registry metrics;
  StoreHealth health;
  RevisionHistory revisions;
  JobService service;
  Duration retry_after{};
};

// Guards against a first job that waits for a read, and against a read for each job.
TEST_F(HostAdmissionTest, RecordIsReadOnceWhileJobsArrive) {
  Publish(Encode(Counts(60000, 0)));
  EXPECT_FALSE(Submit(0));
  EXPECT_EQ(store.stale_reads, 0);
  EXPECT_FALSE(Submit(1));
  EXPECT_EQ(store.stale_reads, 1);
  for (int n = 2; n < kManyJobs; ++n) EXPECT_EQ(Submit(n), ResultCode::kOverloaded);
  EXPECT_EQ(store.stale_reads, 1);
  EXPECT_EQ(retry_after, seconds(12));
}

// Guards against a refusal of a job that was accepted before: its caller would submit it elsewhere.
TEST_F(HostAdmissionTest, RepeatedCreationOfAnAcceptedJobSucceeds) {
  Publish(Encode(Counts(60000, 0)));
  EXPECT_FALSE(Submit(0));
  EXPECT_FALSE(Submit(1));
  EXPECT_EQ(Submit(2), ResultCode::kOverloaded);
  EXPECT_FALSE(Submit(0));
  EXPECT_EQ(store.items.count(JobKey("0000000000000102")), 0U);
}

// Guards against jobs that wait for the store's answer to a read that only refusals need.
TEST_F(HostAdmissionTest, JobsAreAcceptedWhileARecordIsBeingRead) {
  store.holds = true;
  for (int n = 0; n < kManyJobs; ++n) EXPECT_FALSE(Submit(n));
  EXPECT_EQ(store.stale_reads, 1);
}

// Guards against a host that refuses jobs by a record that it cannot read or that an earlier
// program has written.
TEST_F(HostAdmissionTest, ForeignRecordsRefuseNothing) {
  dispatch::WaitingCounts earlier = Counts(0, 0);
  earlier.forecasts.clear();
  for (const std::string& record : {std::string(), std::string("no record"), Encode(earlier)}) {
    Publish(record);
    ForecastReader reader(&store, &revisions, &metrics);
    for (int n = 0; n < 3; ++n) EXPECT_TRUE(reader.Admit(MakeJob(), Now()).accepted);
  }
  EXPECT_EQ(store.stale_reads, 3);
}

// Guards against refusals by a record of which only an old revision is known.
TEST_F(HostAdmissionTest, OutdatedRecordsRefuseNothing) {
  dispatch::WaitingCounts counts = Counts(60000, 0);
  counts.jobs_revision = kRevision - 1;
  Publish(Encode(counts));
  for (int n = 0; n < 3; ++n) EXPECT_FALSE(Submit(n));
}

struct Refusals {
  size_t jobs = 0;
  size_t refused = 0;
  size_t useful = 0;  // refused ones that would have been of use if all were accepted
};

Refusals CompareWithAcceptance(dispatch::LoadShape shape) {
  shape.order_by_work = true;
  const std::vector<dispatch::LoadedJob> accepted = dispatch::SimulatedLoad(shape).Run();
  shape.refuses = [](const jobs::Job& job, const dispatch::WaitingCounts& counts) {
    return !IsAccepted(job, counts);
  };
  const std::vector<dispatch::LoadedJob> decided = dispatch::SimulatedLoad(shape).Run();
  Refusals out;
  for (size_t n = 0; n < decided.size(); ++n) {
    out.jobs += 1;
    out.refused += decided[n].refused ? 1 : 0;
    out.useful += decided[n].refused && accepted[n].IsUseful() ? 1 : 0;
  }
  std::printf(
      "load %.1f urgent %.1f: jobs %zu refused %zu of use otherwise %zu; value %.3f, %.3f\n",
      shape.load, shape.urgent_share, out.jobs, out.refused, out.useful,
      dispatch::ValueShare(accepted), dispatch::ValueShare(decided));
  return out;
}

// Guards against refusals while there is room, or while jobs that wait are still of use.
TEST(AdmissionLoadTest, NothingIsRefusedWhileJobsAreOfUse) {
  dispatch::LoadShape shape;
  shape.load = 0.8;
  EXPECT_EQ(CompareWithAcceptance(shape).refused, 0U);
  shape.load = 1.2;
  EXPECT_EQ(CompareWithAcceptance(shape).refused, 0U);
}

// Guards against callers who wait for jobs that more urgent ones keep from running, and against
// refusals of jobs that would have been served.
TEST(AdmissionLoadTest, JobsThatUrgentOnesKeepFromRunningAreRefused) {
  dispatch::LoadShape shape;
  shape.load = 2.5;
  shape.urgent_share = 0.8;
  const Refusals refusals = CompareWithAcceptance(shape);
  EXPECT_GT(refusals.refused, 0U);
  EXPECT_LE(refusals.useful * 10, refusals.refused);
}

}  // namespace
}  // namespace pomelopond::entry
