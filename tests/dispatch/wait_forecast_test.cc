// Forecasts of the wait for room, and the record that holds them.
#include "dispatch/wait_forecast.h"

#include <gtest/gtest.h>

#include "base/json.h"
#include "tests/dispatch/scenario.h"

namespace pomelopond::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a new record that hosts of the earlier program can't read: they read three
// entries. And against a changed record while no queue waits.
TEST(WaitingCountsTest, EarlierProgramsReadTheRecord) {
  WaitingCounts counts;
  counts.jobs_revision = 7;
  counts.by_queue["batch"] = 3;
  counts.job_bytes = 11;
  const std::string before =
      "\x93\x07\x81\xa5"
      "batch\x03\x0b";
  EXPECT_EQ(Encode(counts), before);
  counts.forecasts["batch"] = {1, 2, 3};
  const Json record = ParseMessagePack(Encode(counts));
  ASSERT_GE(record.size(), 3U);
  EXPECT_EQ(record.at(0), 7);
  EXPECT_EQ(record.at(1).at("batch"), 3);
  EXPECT_EQ(record.at(2), 11);
  EXPECT_EQ(DecodeWaitingCounts(Encode(counts)).value, counts);
  EXPECT_TRUE(DecodeWaitingCounts(before).value.forecasts.empty());
}

// Guards against a damaged forecast that makes hosts refuse every job.
TEST(WaitingCountsTest, DamagedForecastsAreNotRead) {
  for (const Json& forecast :
       {Json(5), Json::object({{"batch", {-1, 0, 0}}}), Json::object({{"batch", {1, 0}}}),
        Json::object({{"batch", "long"}})}) {
    std::string bytes;
    Json::to_msgpack(Json::array({7, Json::object(), 11, forecast}), bytes);
    EXPECT_FALSE(DecodeWaitingCounts(bytes).ok()) << forecast;
  }
}

class ForecastTest : public ::testing::Test {
 protected:
  ForecastTest() {
    state.queues["batch"].key = kKey;
    state.queues["batch"].useless_after_ms = 5000;
    state.updated = now;
  }

  // Lets time pass in which `cores` of work are started.
  void Pass(double cores, bool is_short, Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(500)) {
      now += milliseconds(500);
      state.started[kKey].since_update_ms += cores * 500;
      UpdateForecast(&state, {{"pool", is_short}}, now);
    }
  }

  int64_t WaitMs(double work_ms) {
    const auto forecasts = ForecastQueues(state, {{kKey, {work_ms, 2 * work_ms}}}, now);
    const auto it = forecasts.find("batch");
    return it == forecasts.end() ? 0 : it->second.wait_ms;
  }

  const PriorityKey kKey{"pool", 2};
  TimePoint now{std::chrono::hours(1)};
  ForecastState state;
};

// Guards against a forecast by room that more urgent jobs take.
TEST_F(ForecastTest, WaitGrowsAsMoreUrgentJobsTakeTheRoom) {
  Pass(100, true, seconds(30));
  EXPECT_EQ(WaitMs(200000), 2000);
  EXPECT_EQ(WaitMs(0), 0);
  Pass(0, true, seconds(6));
  EXPECT_GT(WaitMs(200000), 10000);
  Pass(0, true, seconds(60));
  EXPECT_EQ(WaitMs(200000), 60000);
}

// Guards against refusals because of tasks that no worker can run, or of a moment's backlog.
TEST_F(ForecastTest, NoWaitIsForecastWhileThereIsRoom) {
  Pass(100, false, seconds(10));
  EXPECT_EQ(WaitMs(200000), 0);
  Pass(100, true, milliseconds(500));
  EXPECT_EQ(WaitMs(200000), 0);
  Pass(100, true, seconds(1));
  EXPECT_GT(WaitMs(200000), 0);
}

}  // namespace
}  // namespace pomelopond::dispatch
