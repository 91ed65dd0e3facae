#include "base/result_code.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace pomelopond {
namespace {

// Guards against codes that are missing from the documentation, so that operators cannot look them
// up, and against rows for codes that no longer exist.
TEST(ResultCodeTest, DocumentationListsEveryCodeAndNoOther) {
  std::ifstream file(POMELOPOND_SOURCE_DIR "/docs/result-codes.md");
  ASSERT_TRUE(file.good());
  size_t rows = 0;
  std::string line;
  std::ostringstream text;
  while (std::getline(file, line)) {
    text << line << "\n";
    if (line.rfind("| ", 0) == 0 && line.size() > 2 && std::isdigit(line[2]) != 0) ++rows;
  }
  for (const ResultCode it : AllResultCodes()) {
    const std::string row = "| " + std::to_string(static_cast<int>(it)) + " | `" + ResultName(it) +
                            "` | " + std::to_string(HttpStatusOf(it)) + " | " +
                            OutcomeName(OutcomeOf(it)) + " |";
    EXPECT_NE(text.str().find(row), std::string::npos) << row;
  }
  EXPECT_EQ(rows, AllResultCodes().size());
}

// Guards against an error that is reported as "not-run" although the request may have been sent.
TEST(ResultCodeTest, UnknownOutcomesAreNotCalledNotRun) {
  for (const ResultCode it :
       {ResultCode::kOutcomeUnknown, ResultCode::kRouterGone, ResultCode::kTimeout,
        ResultCode::kTruncatedAnswer, ResultCode::kStoreAnswerLost, ResultCode::kInternal}) {
    EXPECT_EQ(OutcomeOf(it), Outcome::kUnknown) << ResultName(it);
  }
  EXPECT_EQ(OutcomeOf(ResultCode::kQueueFull), Outcome::kNotRun);
  EXPECT_EQ(OutcomeOf(ResultCode::kStoreUnavailable), Outcome::kNotRun);
}

}  // namespace
}  // namespace pomelopond
