#include "membership/shard_assignment.h"

#include <gtest/gtest.h>

#include "membership/slot_share.h"

namespace pomelopond::membership {
namespace {

std::set<std::string> Names(const std::string& prefix, int n) {
  std::set<std::string> names;
  for (int it = 0; it < n; ++it) names.insert(prefix + std::to_string(it));
  return names;
}

// Guards against an assignment that gives one member far more shards than the others.
TEST(ShardAssignmentTest, NoMemberGetsMoreThanTheCap) {
  for (int members = 1; members <= 9; ++members) {
    for (const int shards : {1, 6, 8, 100}) {
      const auto table = AssignShards(Names("s", shards), Names("m", members));
      ASSERT_EQ(table.size(), static_cast<size_t>(shards));
      std::map<std::string, int> load;
      for (const auto& [shard, member] : table) load[member] += 1;
      for (const auto& [member, n] : load) EXPECT_LE(n, (shards + members - 1) / members);
    }
  }
}

// Guards against routers that together send a target more requests than it has slots because their
// shares sum to more than the slots.
TEST(SlotShareTest, SharesSumToTheSlots) {
  for (size_t count = 1; count <= 12; ++count) {
    std::vector<std::string> hosts;
    for (size_t n = 0; n < count; ++n) hosts.push_back("entry-" + std::to_string(n));
    for (const int64_t slots : {1, 7, 8, 64}) {
      int64_t sum = 0;
      for (const std::string& it : hosts) sum += SlotShare("127.0.0.1:7600", slots, it, hosts);
      EXPECT_EQ(sum, slots) << count;
    }
  }
  EXPECT_EQ(SlotShare("t", 8, "stranger", {"a", "b"}), 0);
}

}  // namespace
}  // namespace pomelopond::membership
