// Part of each test program whose tests use the HTTP client.
#include <gtest/gtest.h>

#include "http/thread_pool.h"

namespace pomelopond::support {
namespace {

constexpr Duration kDrainTimeout = std::chrono::seconds(20);

// Drains the pool before the process ends. At exit, the library discards the work still queued and
// does not free it, which the leak check reports for whichever test ran last.
class DrainedExit : public testing::Environment {
 public:
  void TearDown() override { EXPECT_TRUE(http::DrainThreadPool(kDrainTimeout)); }
};

const testing::Environment* const kDrainedExit = testing::AddGlobalTestEnvironment(new DrainedExit);

}  // namespace
}  // namespace pomelopond::support
