#include "review/lab/throttle.h"

#include <signal.h>
#include <time.h>

#include <chrono>
#include <cstdint>

namespace pomelopond::lab {
namespace {

constexpr auto kPeriod = std::chrono::milliseconds(100);
constexpr auto kPoll = std::chrono::milliseconds(1);

// Processor time that the process has used, in ns.
int64_t UsedNs(pid_t pid) {
  clockid_t clock{};
  timespec time{};
  if (pid <= 0 || clock_getcpuclockid(pid, &clock) != 0) return 0;
  if (clock_gettime(clock, &time) != 0) return 0;
  return int64_t{time.tv_sec} * 1000000000 + time.tv_nsec;
}

struct Allowance {
  pid_t pid = 0;
  int64_t used_ns = 0;  // at the start of the period
  bool stopped = false;
};

}  // namespace

Throttle::Throttle(std::vector<Machine>* machines, double share)
    : thread_([this, machines, share] {
        const auto allowance_ns = static_cast<int64_t>(
            share * static_cast<double>(std::chrono::nanoseconds(kPeriod).count()));
        std::vector<Allowance> all(machines->size());
        auto period_ends = Clock::now() + kPeriod;
        while (!ends_.load()) {
          std::this_thread::sleep_for(kPoll);
          const bool renews = Clock::now() >= period_ends;
          if (renews) period_ends = Clock::now() + kPeriod;
          for (size_t n = 0; n < all.size(); ++n) {
            Allowance& it = all[n];
            const pid_t pid = (*machines)[n].pid;
            if (renews || pid != it.pid) {
              if (it.stopped && pid == it.pid) kill(pid, SIGCONT);
              it = {pid, UsedNs(pid), false};
            }
            if (pid <= 0 || it.stopped || UsedNs(pid) - it.used_ns < allowance_ns) continue;
            kill(pid, SIGSTOP);
            it.stopped = true;
          }
        }
        for (const Allowance& it : all) {
          if (it.stopped) kill(it.pid, SIGCONT);
        }
      }) {}

Throttle::~Throttle() {
  ends_.store(true);
  thread_.join();
}

}  // namespace pomelopond::lab
