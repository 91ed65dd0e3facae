#include "routing/fair_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace pomelopond::routing {
namespace {

std::string PopAll(FairQueue<std::string>* queue) {
  std::string out;
  while (queue->size() > 0) out += queue->Pop({});
  return out;
}

// Guards against a burst of one caller that delays all other callers.
TEST(FairQueueTest, CallersTakeTurns) {
  FairQueue<std::string> queue(100);
  for (const char* it : {"a", "A", "x"}) queue.Push({"first"}, it);
  for (const char* it : {"b", "B"}) queue.Push({"second"}, it);
  queue.Push({"third"}, "c");
  EXPECT_EQ(PopAll(&queue), "abcABx");
}

TEST(FairQueueTest, WeightIsItemsForEachRound) {
  FairQueue<std::string> queue(100);
  for (const char* it : {"a", "A", "x", "X"}) queue.Push({"first", 0, 2}, it);
  for (const char* it : {"b", "B", "y"}) queue.Push({"second"}, it);
  EXPECT_EQ(PopAll(&queue), "aAbxXBy");
}

// Guards against a caller that loses its turns to others because its requests expired.
TEST(FairQueueTest, DroppedItemsDoNotUseATurn) {
  FairQueue<std::string> queue(100);
  for (const char* it : {"a", "A", "x"}) queue.Push({"first"}, it);
  for (const char* it : {"b", "B"}) queue.Push({"second"}, it);
  EXPECT_EQ(queue.DiscardFront(), "a");
  EXPECT_EQ(queue.DiscardFront(), "A");
  EXPECT_EQ(PopAll(&queue), "xbB");
}

// Guards against a caller above its share whose requests all expire in the queue, because the
// estimate of their wait ignores requests that other callers queue later.
TEST(FairQueueTest, OwnWaitFollowsTheTimeBetweenTurns) {
  FairQueue<std::string> queue(100);
  EXPECT_EQ(queue.EstimateCallerWait({"first"}), Duration::zero());
  for (int n = 0; n < 60; ++n) queue.Push({"first"}, "a");
  EXPECT_EQ(queue.EstimateCallerWait({"first"}), Duration::zero());
  for (int n = 0; n < 10; ++n) queue.Pop(TimePoint(n * std::chrono::milliseconds(4)));
  EXPECT_EQ(queue.EstimateCallerWait({"first"}), std::chrono::milliseconds(200));
  EXPECT_EQ(queue.EstimateCallerWait({"second"}), Duration::zero());
  EXPECT_EQ(queue.EstimateCallerWait({"first", 1}), Duration::zero());
}

// Guards against serving an item of a lower rank before an item of a higher rank.
TEST(FairQueueTest, HigherRanksGoFirst) {
  FairQueue<std::string> queue(100);
  queue.Push({"first", 0}, "late");
  queue.Push({"first", 1}, "early ");
  EXPECT_EQ(PopAll(&queue), "early late");
}

// Guards against a full queue that evicts an item of a caller below its share in favor of the
// caller that filled the queue.
TEST(FairQueueTest, FullQueueTakesFromTheLongest) {
  FairQueue<std::string> queue(3);
  for (const char* it : {"a", "b", "c"}) EXPECT_FALSE(queue.Push({"greedy"}, it));
  EXPECT_EQ(queue.Push({"greedy"}, "d"), "d");
  EXPECT_EQ(queue.Push({"light"}, "e"), "c");
  EXPECT_EQ(queue.Push({"urgent", 0}, "f"), "b");
  EXPECT_EQ(queue.Push({"later", -5}, "g"), "g");
  EXPECT_EQ(queue.size(), 3U);
}

// Guards against an expired request that stays in the queue or whose removal removes another
// request.
TEST(FairQueueTest, RemovesExactlyTheItem) {
  FairQueue<std::string> queue(10);
  queue.Push({"first"}, "a");
  queue.Push({"first"}, "b");
  queue.Push({"second"}, "c");
  EXPECT_TRUE(queue.Remove({"first"}, "a"));
  EXPECT_FALSE(queue.Remove({"first"}, "a"));
  EXPECT_FALSE(queue.Remove({"third"}, "a"));
  EXPECT_FALSE(queue.Remove({"first", 7}, "b"));
  EXPECT_EQ(PopAll(&queue), "bc");
}

// Guards against an estimate that charges a light caller for the queue of a heavy caller.
TEST(FairQueueTest, AheadCountsOnlyWhatIsServedBefore) {
  FairQueue<std::string> queue(100);
  for (int n = 0; n < 50; ++n) queue.Push({"greedy"}, "a");
  EXPECT_EQ(queue.CountAhead({"light"}), 1);
  EXPECT_EQ(queue.CountAhead({"greedy"}), 50);
  queue.Push({"light"}, "b");
  EXPECT_EQ(queue.CountAhead({"light"}), 3);
  EXPECT_EQ(queue.CountAhead({"light", -1}), 51);
  EXPECT_EQ(queue.CountAhead({"light", 1}), 0);
}

// Guards against items that are lost, returned twice or reordered within one caller.
TEST(FairQueueTest, KeepsEveryItemOnceAndEachCallersOrder) {
  EXPECT_TRUE(rc::check([](const std::vector<uint8_t>& steps) {
    FairQueue<int> queue(8);
    std::map<int, int> last;
    int pushed = 0;
    int out = 0;
    for (const uint8_t step : steps) {
      if (step % 3 == 0 && queue.size() > 0) {
        const int item = queue.Pop({});
        const int caller = item % 10;
        RC_ASSERT(last.count(caller) == 0 || last[caller] < item);
        last[caller] = item;
        out += 1;
        continue;
      }
      const int caller = step % 4;
      const auto refused =
          queue.Push({std::to_string(caller), step % 2, 1 + step % 3}, 10 * pushed + caller);
      pushed += 1;
      if (refused) out += 1;
      RC_ASSERT(queue.size() <= 8U);
    }
    while (queue.size() > 0) {
      queue.Pop({});
      out += 1;
    }
    RC_ASSERT(out == pushed);
  }));
}

}  // namespace
}  // namespace pomelopond::routing
