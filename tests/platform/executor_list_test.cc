// Checks that an odd entry among those of the executors neither ends the owner's process nor stops
// it from using and following the other entries.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "entry/pool_owner.h"
#include "http/http_client.h"
#include "platform/decode.h"
#include "tests/entry/memory_store.h"

namespace pomelopond::platform {
namespace {

constexpr int kMaxPolls = 1000;
constexpr Duration kPollInterval = std::chrono::milliseconds(10);

// Records which workers get heartbeats and answers no call.
class RecordingWorkers : public dispatch::WorkerCalls {
 public:
  void Heartbeat(const dispatch::HeartbeatOrder& order,
                 std::function<void(dispatch::Report)>) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    called_.insert(order.to.worker);
  }
  void Start(const dispatch::StartOrder&, std::function<void(dispatch::Answer)>) override {}
  void Stop(const dispatch::StopOrder&, std::function<void(dispatch::Answer)>) override {}
  void Pace(const dispatch::PaceOrder&, std::function<void(dispatch::Answer)>) override {}

  std::set<std::string> called() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return called_;
  }

 private:
  mutable std::mutex mutex_;  // guards called_
  std::set<std::string> called_;
};

// Runs delayed work until Close(). The owner of a process is never destroyed, but that of a test
// is, and work that is due afterwards would use it.
class Timers {
 public:
  entry::Timer Get() {
    return [state = state_](Duration delay, std::function<void()> work) {
      http::RunAfter(delay, [state, work = std::move(work)] {
        const std::lock_guard<std::mutex> lock(state->mutex);
        if (!state->closed) work();
      });
    };
  }
  void Close() {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    state_->closed = true;
  }

 private:
  struct State {
    std::mutex mutex;  // guards closed
    bool closed = false;
  };
  const std::shared_ptr<State> state_ = std::make_shared<State>();
};

std::string Entry(const std::string& capacity, const std::string& address = "10.0.0.1:1") {
  return R"({"service":"s","address":")" + address + R"(","state":"ready","capacity":)" + capacity +
         "}";
}

const char* const kUsable = R"({"cpu":16000,"mem_mb":32768})";

class ExecutorListTest : public ::testing::Test {
 protected:
  void Write(const std::string& id, const std::string& value) {
    const std::lock_guard<std::recursive_mutex> lock(store.mutex);
    store.Apply({{}, {{kExecutorPrefix + id, value, 0}}, {}});
  }

  bool WaitForCalls(const std::set<std::string>& expected) {
    for (int n = 0; n < kMaxPolls && workers.called() != expected; ++n) {
      std::this_thread::sleep_for(kPollInterval);
    }
    return workers.called() == expected;
  }

  entry::OwnerOptions Options() {
    entry::OwnerOptions options;
    options.process = "host-1";
    options.worker_prefix = kExecutorPrefix;
    options.read_worker = ReadExecutor;
    return options;
  }

  entry::MemoryStore store;
  RecordingWorkers workers;
  Timers timers;
  metrics::Registry metrics;
};

// Guards against an owner that ends, or no longer follows the list, because of one odd entry.
TEST_F(ExecutorListTest, OddEntriesLeaveTheOthersInUse) {
  // DecodeTest parses deeper entries. The list is read again and again here, under the sanitizers
  // too.
  constexpr int kDepth = 2000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  Write("a-nested", deep);
  Write("b-nested-member", Entry(deep));
  Write("c-unfinished", std::string(kDepth, '['));
  Write("d-float", Entry(R"({"cpu":1e300})"));
  Write("e-integer", Entry(R"({"cpu":9223372036854775807})"));
  Write("f-unsigned", Entry(R"({"cpu":18446744073709551615})"));
  Write("g-infinite", Entry(R"({"cpu":1e999})"));
  Write("h-negative", Entry(R"({"cpu":-5})"));
  Write("i-port", Entry(kUsable, "10.0.0.1:99999"));
  Write("j-no-port", Entry(kUsable, "10.0.0.1:0"));
  Write("k bad id", Entry(kUsable));
  Write("", Entry(kUsable));
  Write("m-bytes", "\xff\xfe");
  Write("usable-1", Entry(kUsable));
  entry::PoolOwner owner(Options(), &store, &workers, timers.Get(), &metrics);
  owner.Start();
  EXPECT_TRUE(WaitForCalls({"usable-1"})) << ::testing::PrintToString(workers.called());
  Write("usable-2", Entry(kUsable));
  EXPECT_TRUE(WaitForCalls({"usable-1", "usable-2"})) << ::testing::PrintToString(workers.called());
  owner.Stop();
  timers.Close();
}

}  // namespace
}  // namespace pomelopond::platform
