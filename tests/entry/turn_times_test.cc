#include "entry/turn_times.h"

#include <gtest/gtest.h>

#include <string>

namespace pomelopond::entry {
namespace {

using std::chrono::milliseconds;

// Guards against a piece of work that outlasts the lease and leaves no trace in the metrics, so
// that it cannot be told apart from a slow store.
TEST(TurnTimesTest, ReportsTheLongestPieceOfEachKindSinceTheLastReport) {
  TurnTimes times;
  times.slow = milliseconds(500);
  metrics::Registry metrics;
  RecordPiece(&times, OwnerWork::kDecide, milliseconds(700));
  RecordPiece(&times, OwnerWork::kDecide, milliseconds(20));
  RecordPiece(&times, OwnerWork::kJobs, milliseconds(30));
  ReportPieces(&times, &metrics);
  const std::string first = metrics.ExpositionText();
  EXPECT_NE(first.find("owner_longest_work_ms{work=\"decide\"} 700"), std::string::npos) << first;
  EXPECT_NE(first.find("owner_longest_work_ms{work=\"jobs\"} 30"), std::string::npos) << first;
  ReportPieces(&times, &metrics);
  const std::string second = metrics.ExpositionText();
  EXPECT_NE(second.find("owner_longest_work_ms{work=\"decide\"} 0"), std::string::npos) << second;
}

}  // namespace
}  // namespace pomelopond::entry
