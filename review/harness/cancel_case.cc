// A submission that was sent before its cancelling was acknowledged runs after it.
#include <csignal>

#include "cases.h"
#include "deployment.h"

namespace pomelopond::review {
namespace {

constexpr milliseconds kFreeze{4000};      // node_freeze, for_s = 4
constexpr milliseconds kClientWaits{300};  // then the client gives up
constexpr int64_t kCancelMs = 3000;        // bounds.cancel_ms
constexpr milliseconds kObserved{6000};

}  // namespace

int RunCancelCase(bool trouble, Record* record) {
  Journal journal;
  Deployment deployment({}, record, &journal);
  if (!deployment.Start()) return kCannotRun;
  const int owner = deployment.Owner();
  if (owner < 0) return kCannotRun;
  const int taker = (owner + 1) % deployment.daemons();
  const int other = (owner + 2) % deployment.daemons();
  const std::string id = MakeId(7);
  if (trouble) deployment.Signal(taker, SIGSTOP);
  const auto frozen = Clock::now();
  const int fd = deployment.SendSubmission(taker, id, MakeJob("work 2000", 1, 100));
  const auto answer = ReadAnswer(fd, kClientWaits);
  record->Line(answer ? "client has " + std::to_string(answer->status) : "client gives up");
  const int status = deployment.Cancel(other, id);
  const int64_t acknowledged = record->NowMs();
  if (status != 200 && status != 410) return kCannotRun;
  std::this_thread::sleep_until(frozen + kFreeze);
  if (trouble) deployment.Signal(taker, SIGCONT);
  std::this_thread::sleep_for(kObserved);
  const std::string task = id + ".0.0.0";
  const std::lock_guard<std::mutex> lock(journal.mutex);
  const auto it = journal.started.find(task);
  if (it == journal.started.end()) return kHeld;
  record->Line("cancel acknowledged at " + std::to_string(acknowledged) + " ms, last start at " +
               std::to_string(it->second) + " ms");
  return it->second > acknowledged + kCancelMs ? kBroken : kHeld;
}

}  // namespace pomelopond::review
