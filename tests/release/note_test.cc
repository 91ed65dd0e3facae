#include "release/note.h"

#include <gtest/gtest.h>

#include "release/chunks.h"

namespace pomelopond::release {
namespace {

Note Parse(const std::string& text, FieldErrors* errors) {
  return ReadNote(ParseJson(text).value, errors);
}

TEST(NoteTest, AddsChangesAndWithdraws) {
  FieldErrors errors;
  const Release first = ApplyNote(
      EmptyRelease(),
      Parse(R"({"base":0,"author":"a","add":{"services":{"x":{"team":"t"},"y":{"team":"t"}}}})",
            &errors),
      &errors);
  const Release second =
      ApplyNote(first,
                Parse(R"({"base":1,"author":"a","change":{"services":{"x":{"team":"u"}}},
                "withdraw":{"services":["y"]}})",
                      &errors),
                &errors);
  EXPECT_TRUE(errors.empty()) << ToString(errors);
  EXPECT_EQ(second.version, 2);
  EXPECT_EQ(ServicesOf(second).at("x").team, "u");
  EXPECT_EQ(ServicesOf(second).count("y"), 0u);
}

// Guards against a note with errors of which only a part is accepted, and against a report of only
// the first error.
TEST(NoteTest, AllErrorsAreReportedByPath) {
  FieldErrors errors;
  Parse(R"({"base":-1,"author":"","add":{"services":{"x":{"objective_ratio":2}},"shops":{}}})",
        &errors);
  std::set<std::string> paths;
  for (const FieldError& it : errors) paths.insert(it.path);
  EXPECT_EQ(paths, (std::set<std::string>{"add.services.x.objective_ratio", "add.services.x.team",
                                          "add.shops", "author", "base"}));
}

// Guards against a note that undoes a change accepted after the note was written.
TEST(NoteTest, StaleBaseIsRefused) {
  FieldErrors errors;
  Release release = EmptyRelease();
  release.version = 5;
  const Note note =
      Parse(R"({"base":4,"author":"a","add":{"services":{"x":{"team":"t"}}}})", &errors);
  ASSERT_TRUE(errors.empty());
  ApplyNote(release, note, &errors);
  ASSERT_EQ(errors.size(), 1u);
  EXPECT_EQ(errors[0].code, ResultCode::kStaleBase);
}

// Guards against a team that exceeds its quota because each shard grants the whole quota.
TEST(ReleaseQuotaTest, ShardsTogetherStayWithinTheQuota) {
  Release release = EmptyRelease();
  release.sections["quotas"]["t"] = {{"share", 2}, {"most", {{"cpu_milli", 10000}}}};
  release.sections["quotas"]["u"] = {{"share", 0.5}};
  const auto quotas = QuotasOf(release, 3);
  EXPECT_EQ(quotas.at("t").limit, (Resources{3333, 0, 0}));
  EXPECT_EQ(quotas.at("t").weight, 2);
  EXPECT_EQ(quotas.at("u").limit, planning::kUnlimited);
}

// Guards against chunks above the store's limit of 1 MB per value, and against the use of damaged
// chunks.
TEST(ChunksTest, LargeReleaseSurvivesSplitAndJoin) {
  Release release = EmptyRelease();
  release.version = 3;
  for (int n = 0; n < 20000; ++n) {
    release.sections["services"]["service-" + std::to_string(n)] = {
        {"team", "team-" + std::string(50, 'x')}};
  }
  ChunkedRelease chunked = SplitIntoChunks(release, "w");
  EXPECT_GT(chunked.manifest.chunks.at("services").size(), 2u);
  for (const auto& [digest, bytes] : chunked.chunks) EXPECT_LE(bytes.size(), kMaxChunkBytes);
  EXPECT_EQ(DecodeManifest(Encode(chunked.manifest)).value, chunked.manifest);
  EXPECT_EQ(JoinChunks(chunked.manifest, chunked.chunks).value, release);
  chunked.chunks.begin()->second[0] ^= 1;
  EXPECT_FALSE(JoinChunks(chunked.manifest, chunked.chunks).ok());
}

}  // namespace
}  // namespace pomelopond::release
