#include "base/reload.h"

#include <gtest/gtest.h>

namespace pomelopond {
namespace {

// Guards against a reload that reports a member as applied although it needs a restart.
TEST(ReloadTest, MembersThatCannotChangeNeedARestart) {
  const Json before = {{"log_level", "info"}, {"store", "10.0.0.1:1"}, {"host", "a"}};
  const Json after = {{"log_level", "debug"}, {"store", "10.0.0.2:1"}, {"host", "a"}};
  const SettingsChange expected{{"log_level"}, {"store"}};
  EXPECT_EQ(CompareSettings(before, after, {"log_level"}), expected);
}

// Guards against a reload that does not report added or removed members.
TEST(ReloadTest, AddedAndRemovedMembersAreChanges) {
  const Json before = {{"policy", "10.0.0.1:1"}};
  const Json after = {{"log_levels", Json::object()}};
  const SettingsChange expected{{"log_levels"}, {"policy"}};
  EXPECT_EQ(CompareSettings(before, after, {"log_levels"}), expected);
}

// Guards against a reload that reports changes although the settings are equal.
TEST(ReloadTest, EqualSettingsAreNoChange) {
  const Json settings = {{"log_level", "info"}};
  EXPECT_EQ(CompareSettings(settings, settings, {"log_level"}), SettingsChange{});
}

}  // namespace
}  // namespace pomelopond
