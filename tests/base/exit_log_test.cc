#include "base/exit_log.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <stdexcept>
#include <thread>

#include "base/process_usage.h"

namespace pomelopond {
namespace {

// Guards against a process that is killed by a signal without a log line that names the signal.
TEST(ExitLogTest, SignalIsNamedAndStillEndsTheProcess) {
  const auto hang_up = [] {
    InstallExitLog("test-program");
    raise(SIGHUP);
  };
  EXPECT_EXIT(hang_up(), testing::KilledBySignal(SIGHUP),
              "level=ERROR program=test-program module=main event=killed signal=HUP\n");
}

// Guards against an uncaught exception whose text is lost or breaks the format of the log line.
TEST(ExitLogTest, UncaughtExceptionIsNamed) {
  const auto fail = [] {
    InstallExitLog("test-program");
    std::thread([] { throw std::runtime_error("bad \"value\"\nsecond line"); }).join();
  };
  EXPECT_EXIT(fail(), testing::KilledBySignal(SIGABRT),
              "event=terminated error=\"bad  value  second line\"\n.*event=killed signal=ABRT\n");
}

// Guards against a long text that overflows the buffer and removes the line break.
TEST(ExitLogTest, LongTextIsCutBeforeTheEndOfTheLine) {
  const auto fail = [] {
    InstallExitLog("test-program");
    std::thread([] { throw std::runtime_error(std::string(2000, 'x')); }).join();
  };
  EXPECT_EXIT(fail(), testing::KilledBySignal(SIGABRT), "event=terminated error=\"x+\nlevel=ERROR");
}

// Guards against usage values that stay zero or belong to another process.
TEST(ProcessUsageTest, CountsDescriptorsAndMemory) {
  const ProcessUsage before = ReadProcessUsage();
  const int descriptor = dup(STDERR_FILENO);
  ASSERT_GE(descriptor, 0);
  EXPECT_EQ(ReadProcessUsage().descriptors, before.descriptors + 1);
  close(descriptor);
  EXPECT_EQ(ReadProcessUsage().descriptors, before.descriptors);
  EXPECT_GT(before.peak_memory_bytes, 1 << 20);
}

}  // namespace
}  // namespace pomelopond
