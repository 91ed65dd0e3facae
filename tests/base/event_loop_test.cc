#include "base/event_loop.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <thread>

namespace pomelopond {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr auto kPatience = std::chrono::seconds(10);

// Posts a function. The result is the time at which it runs.
std::future<TimePoint> PostClock(EventLoop* loop) {
  auto ran = std::make_shared<std::promise<TimePoint>>();
  std::future<TimePoint> out = ran->get_future();
  loop->Post([ran] { ran->set_value(Now()); });
  return out;
}

TEST(EventLoopTest, FunctionsPostedDuringThePauseShareABatchAfterIt) {
  std::atomic<int> batches{0};
  EventLoop loop({hours(1), milliseconds(500)}, [&batches] { batches += 1; });
  const TimePoint first = PostClock(&loop).get();
  std::future<TimePoint> second = PostClock(&loop);
  std::future<TimePoint> third = PostClock(&loop);
  ASSERT_EQ(third.wait_for(kPatience), std::future_status::ready);
  EXPECT_GE(second.get(), first + milliseconds(500));
  loop.Stop();
  // The first batch, the shared one and the one of Stop().
  EXPECT_EQ(batches.load(), 3);
}

TEST(EventLoopTest, StopDuringThePauseRunsWhatWasPostedAndReturnsAtOnce) {
  EventLoop loop({hours(2), hours(1)}, [] {});
  ASSERT_EQ(PostClock(&loop).wait_for(kPatience), std::future_status::ready);
  std::future<TimePoint> posted = PostClock(&loop);
  loop.Stop();
  EXPECT_EQ(posted.wait_for(milliseconds(0)), std::future_status::ready);
}

TEST(EventLoopTest, NoFunctionIsLeftWithoutAWakeUpAroundTheEndOfThePause) {
  EventLoop loop({hours(1), milliseconds(1)}, [] {});
  for (int n = 0; n < 300; ++n) {
    ASSERT_EQ(PostClock(&loop).wait_for(kPatience), std::future_status::ready) << n;
    std::this_thread::sleep_for(std::chrono::microseconds(800 + n));
  }
}

TEST(EventLoopTest, BatchesWithoutFunctionsFollowAtTheInterval) {
  std::promise<void> twice;
  std::atomic<int> batches{0};
  EventLoop loop({milliseconds(5), milliseconds(1)}, [&] {
    if (++batches == 2) twice.set_value();
  });
  EXPECT_EQ(twice.get_future().wait_for(kPatience), std::future_status::ready);
  loop.Stop();
}

}  // namespace
}  // namespace pomelopond
