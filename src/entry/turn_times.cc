#include "entry/turn_times.h"

#include <algorithm>
#include <cstddef>

#include "base/log.h"

namespace pomelopond::entry {

const char* OwnerWorkName(OwnerWork work) {
  switch (work) {
    case OwnerWork::kDecide:
      return "decide";
    case OwnerWork::kSend:
      return "send";
    case OwnerWork::kAnswers:
      return "answers";
    case OwnerWork::kJobs:
      return "jobs";
    case OwnerWork::kCommit:
      return "commit";
    case OwnerWork::kSummary:
      return "summary";
  }
  return "";
}

void RecordPiece(TurnTimes* times, OwnerWork work, Duration took) {
  Duration& longest = times->longest[static_cast<size_t>(work)];
  longest = std::max(longest, took);
  if (took < times->slow) return;
  Log(LogLevel::kWarn, "owner", "slow_work",
      {{"work", OwnerWorkName(work)}, {"ms", Milliseconds(took)}});
}

void ReportPieces(TurnTimes* times, metrics::Registry* metrics) {
  const auto ms = [times](OwnerWork work) {
    return Milliseconds(times->longest[static_cast<size_t>(work)]);
  };
  Log(LogLevel::kInfo, "owner", "longest_work",
      {{"decide_ms", ms(OwnerWork::kDecide)},
       {"send_ms", ms(OwnerWork::kSend)},
       {"answers_ms", ms(OwnerWork::kAnswers)},
       {"jobs_ms", ms(OwnerWork::kJobs)},
       {"commit_ms", ms(OwnerWork::kCommit)},
       {"summary_ms", ms(OwnerWork::kSummary)}});
  for (int n = 0; n < kOwnerWorkKinds; ++n) {
    const auto work = static_cast<OwnerWork>(n);
    metrics->Set(metrics::Labelled("owner_longest_work_ms", "work", OwnerWorkName(work)), ms(work));
  }
  times->longest.fill(Duration::zero());
}

}  // namespace pomelopond::entry
