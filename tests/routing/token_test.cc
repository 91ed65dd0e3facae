#include <gtest/gtest.h>

#include "base/result_code.h"
#include "routing/token_table.h"

namespace pomelopond::routing {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};

struct TokenTest : testing::Test {
  TokenTest() {
    table.host = "entry-1";
    table.incarnation = 9;
    table.secret = "secret";
  }

  TokenUse Use(const std::string& text, const std::string& fingerprint, TimePoint now = kNow) {
    return RedeemToken<int>(
        &table, ParseToken(text).value, text, fingerprint,
        [this](int answer) { waited.push_back(answer); }, now, &replay);
  }

  TokenTable<int> table;
  std::vector<int> waited;
  int replay = 0;
};

// Guards against a second dispatch when the caller, the load balancer or a library resends a
// request.
TEST_F(TokenTest, OnlyTheFirstUseDispatches) {
  const std::string text = IssueToken(&table, kNow);
  EXPECT_EQ(Use(text, "f"), TokenUse::kDispatch);
  EXPECT_EQ(Use(text, "f"), TokenUse::kWait);
  for (const auto& it : FinishToken(&table, 1, 42)) it(42);
  EXPECT_EQ(waited, std::vector<int>{42});
  EXPECT_EQ(Use(text, "f"), TokenUse::kReplay);
  EXPECT_EQ(replay, 42);
}

// Guards against sending the answer of one request to a different request that reuses its token.
TEST_F(TokenTest, AnotherRequestCannotUseTheToken) {
  const std::string text = IssueToken(&table, kNow);
  EXPECT_EQ(Use(text, "f"), TokenUse::kDispatch);
  EXPECT_EQ(Use(text, "g"), TokenUse::kInvalid);
}

TEST_F(TokenTest, ForgedAndForeignTokensAreRefused) {
  std::string text = IssueToken(&table, kNow);
  text.back() = text.back() == '0' ? '1' : '0';
  EXPECT_EQ(Use(text, "f"), TokenUse::kInvalid);
  const Token foreign{"entry-1", 8, 1, kNow.time_since_epoch() + kTokenLifetime};
  EXPECT_EQ(Use(FormatToken(foreign, "secret"), "f"), TokenUse::kInvalid);
  for (const char* it : {"", "a", "a.b.c.d.e", "....", "h.1.1.1", "h.1.1.99999999999999999999.x"}) {
    EXPECT_EQ(ParseToken(it).ec, ResultCode::kTokenRequired) << it;
  }
}

// Guards against a second dispatch after the record of the first dispatch was removed.
TEST_F(TokenTest, ExpiredTokenIsNeverDispatched) {
  const std::string text = IssueToken(&table, kNow);
  EXPECT_EQ(Use(text, "f"), TokenUse::kDispatch);
  FinishToken(&table, 1, 42);
  RemoveExpiredTokens(&table, kNow + kTokenLifetime);
  EXPECT_TRUE(table.records.empty());
  EXPECT_EQ(Use(text, "f", kNow + kTokenLifetime), TokenUse::kExpired);
}

}  // namespace
}  // namespace pomelopond::routing
