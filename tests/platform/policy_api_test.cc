#include "platform/policy_api.h"

#include <gtest/gtest.h>

#include "base/result_code.h"

namespace pomelopond::platform {
namespace {

http::HttpResult AnswerWith(int status, const std::string& body) {
  http::HttpResult result;
  result.response.status = status;
  result.response.body = body;
  return result;
}

TEST(PolicyApiTest, ReadsWorkersWithTheirPermits) {
  const dispatch::PermitAnswer answer =
      ReadPermits(AnswerWith(200, R"({"good":[["i-1","t-1"],["i-2","t-2"]],"valid_ms":3000})"));
  EXPECT_TRUE(answer.ok);
  EXPECT_EQ(answer.valid, Duration(std::chrono::seconds(3)));
  EXPECT_EQ(answer.granted,
            (std::vector<std::pair<std::string, std::string>>{{"i-1", "t-1"}, {"i-2", "t-2"}}));
}

// Guards against workers that are treated as denied because the service was busy or unavailable.
TEST(PolicyApiTest, RefusedOrUnreadableAnswersDecideNothing) {
  EXPECT_FALSE(ReadPermits(AnswerWith(429, "{}")).ok);
  EXPECT_FALSE(ReadPermits(AnswerWith(200, "no json")).ok);
  EXPECT_FALSE(ReadPermits(AnswerWith(200, R"({"good":[["i-1"]],"valid_ms":3000})")).ok);
  http::HttpResult lost;
  lost.ec = ResultCode::kTimeout;
  EXPECT_FALSE(ReadPermits(lost).ok);
}

// Guards against a validity that wraps or overflows, which would let a permit count too long or not
// at all.
TEST(PolicyApiTest, ValidityOutOfRangeDecidesNothing) {
  for (const char* odd : {"1e300", "-1e300", "-1", "9223372036854775807", "18446744073709551615",
                          "31536000001", "true", "null"}) {
    const std::string body = std::string(R"({"good":[["i-1","t-1"]],"valid_ms":)") + odd + "}";
    EXPECT_FALSE(ReadPermits(AnswerWith(200, body)).ok) << odd;
  }
}

}  // namespace
}  // namespace pomelopond::platform
