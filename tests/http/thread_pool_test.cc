#include "http/thread_pool.h"

#include <gtest/gtest.h>
#include <pplx/pplxtasks.h>

#include <atomic>
#include <future>
#include <thread>

namespace pomelopond::http {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(20);

// Guards against a drain that ends while running work is about to queue more.
TEST(ThreadPoolTest, DrainRunsWorkThatOtherWorkQueues) {
  constexpr int kSteps = 20;
  constexpr int kChains = 50;  // more than the pool's threads
  std::atomic<int> done{0};
  for (int chain = 0; chain < kChains; ++chain) {
    pplx::task<void> task = pplx::create_task([] {});
    for (int n = 0; n < kSteps; ++n) {
      task = task.then([&done] {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        done.fetch_add(1);
      });
    }
  }
  EXPECT_TRUE(DrainThreadPool(kTimeout));
  EXPECT_EQ(done.load(), kChains * kSteps);
}

TEST(ThreadPoolTest, DrainEndsAtItsTimeout) {
  std::promise<void> blocked;
  const pplx::task<void> task =
      pplx::create_task([it = blocked.get_future().share()] { it.wait(); });
  EXPECT_FALSE(DrainThreadPool(std::chrono::milliseconds(50)));
  blocked.set_value();
  EXPECT_TRUE(DrainThreadPool(kTimeout));
  EXPECT_TRUE(task.is_done());
}

}  // namespace
}  // namespace pomelopond::http
