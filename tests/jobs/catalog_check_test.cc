#include "jobs/catalog_check.h"

#include <gtest/gtest.h>

#include <functional>

#include "jobs/catalog_changes.h"

namespace pomelopond::jobs {
namespace {

// Two queues on one service; nothing in it is a finding.
CatalogDraft SoundDraft() {
  CatalogDraft draft;
  draft.catalog.version = 8;
  draft.catalog.queues = {{"jobs.example", "/a/", {"a", "pool", 0, 3, 1.5, 300}},
                          {"jobs.example", "/b/", {"b", "pool", 2, 3, 2, 1000}}};
  draft.catalog.services = {{"pool", 0}};
  draft.queues = {{3000, {}}, {3000, {}}};
  draft.services.resize(1);
  draft.limits = {16384, 262144, 3000, 15000};
  return draft;
}

// The fault that a change of the sound draft makes.
struct Fault {
  FindingKind kind;
  Section section;
  size_t index;
  Field field;
  std::function<void(CatalogDraft*)> make;
};

std::vector<Fault> Faults() {
  const Section queue = Section::kQueue;
  const Section service = Section::kService;
  const Section limits = Section::kLimits;
  using D = CatalogDraft;
  return {
      // A withdrawn list that leaves callers without any queue.
      {FindingKind::kNoQueues, Section::kCatalog, 0, Field::kQueues,
       [](D* it) { it->catalog.queues.clear(); }},
      // Names that break log lines or stand for nothing.
      {FindingKind::kUnusableName, queue, 1, Field::kName,
       [](D* it) { it->catalog.queues[1].rules.queue = "b "; }},
      {FindingKind::kUnusableName, queue, 1, Field::kName,
       [](D* it) { it->catalog.queues[1].rules.queue = ""; }},
      // A copied entry whose name was not changed.
      {FindingKind::kDuplicateName, queue, 1, Field::kName,
       [](D* it) { it->catalog.queues[1].rules.queue = "a"; }},
      {FindingKind::kDuplicateName, service, 1, Field::kName,
       [](D* it) {
         it->catalog.services.push_back({"pool", 3});
         it->services.emplace_back();
       }},
      // Hosts and prefixes that no request has.
      {FindingKind::kUnusableHost, queue, 0, Field::kHost,
       [](D* it) { it->catalog.queues[0].host = "Jobs.example"; }},
      {FindingKind::kUnusableHost, queue, 0, Field::kHost,
       [](D* it) { it->catalog.queues[0].host = "http://jobs.example"; }},
      {FindingKind::kUnusablePrefix, queue, 0, Field::kPrefix,
       [](D* it) { it->catalog.queues[0].prefix = "/a"; }},
      {FindingKind::kUnusablePrefix, queue, 0, Field::kPrefix,
       [](D* it) { it->catalog.queues[0].prefix = "a/"; }},
      {FindingKind::kUnusablePrefix, queue, 0, Field::kPrefix,
       [](D* it) { it->catalog.queues[0].prefix = "/a?x=/"; }},
      // A queue that gets no job, because an earlier one has its address.
      {FindingKind::kShadowedQueue, queue, 1, Field::kPrefix,
       [](D* it) { it->catalog.queues[1].prefix = "/a/"; }},
      // Jobs that are accepted and never run.
      {FindingKind::kUnknownService, queue, 1, Field::kService,
       [](D* it) { it->catalog.queues[1].rules.service = "Pool"; }},
      {FindingKind::kStandbyService, queue, 1, Field::kService,
       [](D* it) { it->services[0].standby = true; }},
      // Workers that are paid for and stay idle.
      {FindingKind::kUnusedService, service, 1, Field::kName,
       [](D* it) {
         it->catalog.services.push_back({"spare", 0});
         it->services.emplace_back();
       }},
      // A batch queue that comes before interactive ones.
      {FindingKind::kNegativePriority, queue, 1, Field::kPriority,
       [](D* it) { it->catalog.queues[1].rules.priority = -1; }},
      {FindingKind::kNoAttempts, queue, 1, Field::kMaxAttempts,
       [](D* it) { it->catalog.queues[1].rules.max_attempts = 0; }},
      // Objectives that no job and limits that no request can meet.
      {FindingKind::kUnreachableObjective, queue, 1, Field::kStretch,
       [](D* it) {
         it->catalog.queues[1].rules.stretch = 0;
         it->catalog.queues[1].rules.target_duration_ms = 0;
       }},
      {FindingKind::kTimeoutBelowObjective, queue, 1, Field::kTimeout,
       [](D* it) { it->queues[1].timeout_ms = 999; }},
      {FindingKind::kZeroLimit, queue, 1, Field::kTimeout,
       [](D* it) { it->queues[1].timeout_ms = 0; }},
      {FindingKind::kZeroLimit, limits, 0, Field::kMaxHeaderBytes,
       [](D* it) { it->limits.max_header_bytes = 0; }},
      {FindingKind::kSmallBodyLimit, limits, 0, Field::kMaxBodyBytes,
       [](D* it) { it->limits.max_body_bytes = 4999; }},
      {FindingKind::kHeaderTimeoutAboveIdle, limits, 0, Field::kHeaderTimeout,
       [](D* it) { it->limits.header_timeout_ms = 15001; }},
  };
}

// Guards against a finding that is missing, names another place, or brings others with it.
TEST(CatalogCheckTest, EachFaultIsOneFindingAtItsPlace) {
  for (const Fault& it : Faults()) {
    CatalogDraft draft = SoundDraft();
    it.make(&draft);
    std::vector<Finding> findings = CheckCatalog(draft);
    const std::string name = NameOf(it.kind);
    // Both queues use the service on standby.
    ASSERT_EQ(findings.size(), it.kind == FindingKind::kStandbyService ? 2U : 1U) << name;
    EXPECT_EQ(NameOf(findings.back().kind), name);
    EXPECT_EQ(findings.back().place.section, it.section) << name;
    EXPECT_EQ(findings.back().place.index, it.index) << name;
    EXPECT_EQ(findings.back().place.field, it.field) << name;
    EXPECT_FALSE(findings.back().text.empty()) << name;
  }
}

// Guards against false alarms: values at the bounds, one prefix inside of another, one prefix on
// two hosts, and a service on standby, which no queue should use.
TEST(CatalogCheckTest, SoundDraftsHaveNoFindings) {
  CatalogDraft draft = SoundDraft();
  EXPECT_TRUE(CheckCatalog(draft).empty());
  draft.catalog.queues[1].prefix = "/a/b/";
  draft.queues[1].timeout_ms = 1000;
  draft.limits = {1, kMinBodyLimitBytes, 15000, 15000};
  EXPECT_TRUE(CheckCatalog(draft).empty());
  draft.catalog.queues[1] = {"other.example", "/a/", {"b", "pool", 0, 1, 1, 0}};
  draft.queues[1].timeout_ms.reset();
  draft.limits = {};
  draft.catalog.services.push_back({"spare", 0});
  draft.services.push_back({true, {}});
  EXPECT_TRUE(CheckCatalog(draft).empty());
}

// Returns the kinds of the changes with their fields and texts.
std::vector<std::string> TextsOf(const Comparison& comparison) {
  std::vector<std::string> texts;
  for (const Change& it : comparison.changes) {
    texts.push_back(std::string(NameOf(it.kind)) + " " + it.text);
  }
  return texts;
}

// Guards against a configuration that hosts ignore because they know a version as high.
TEST(CatalogChangesTest, VersionThatIsNotNewerIsAFinding) {
  CatalogDraft next = SoundDraft();
  for (const int64_t version : {7, 8}) {
    next.catalog.version = version;
    const Comparison comparison = CompareCatalogs(SoundDraft(), next);
    ASSERT_EQ(comparison.findings.size(), 1U);
    EXPECT_EQ(comparison.findings[0].kind, FindingKind::kVersionNotNewer);
  }
  next.catalog.version = 9;
  const Comparison comparison = CompareCatalogs(SoundDraft(), next);
  EXPECT_TRUE(comparison.findings.empty());
  EXPECT_EQ(TextsOf(comparison), std::vector<std::string>{"changed from 8 to 9"});
}

// Guards against callers that lose the address of their accepted jobs unnoticed, and against a
// finding for a queue that is only renamed.
TEST(CatalogChangesTest, QueueWhoseAddressIsWithdrawnIsAFinding) {
  CatalogDraft next = SoundDraft();
  next.catalog.version = 9;
  next.catalog.queues[1].rules.queue = "renamed";
  EXPECT_TRUE(CompareCatalogs(SoundDraft(), next).findings.empty());
  next.catalog.queues.pop_back();
  next.queues.pop_back();
  const Comparison comparison = CompareCatalogs(SoundDraft(), next);
  ASSERT_EQ(comparison.findings.size(), 1U);
  EXPECT_EQ(comparison.findings[0].kind, FindingKind::kWithdrawnQueue);
  EXPECT_EQ(comparison.findings[0].place.index, 1U);
  EXPECT_TRUE(comparison.findings[0].place.in_force);
}

// Guards against a difference that the operator is not told of, or is told of at the wrong entry
// when the order has changed.
TEST(CatalogChangesTest, DifferencesAreTold) {
  CatalogDraft next = SoundDraft();
  std::swap(next.catalog.queues[0], next.catalog.queues[1]);
  std::swap(next.queues[0], next.queues[1]);
  EXPECT_TRUE(CompareCatalogs(SoundDraft(), next).changes.empty());
  next.catalog.queues[0].rules.priority = 1;
  next.queues[0].others["type"] = "\"idempotent\"";
  next.catalog.queues[1].rules.queue = "c";
  next.services[0].standby = true;
  next.limits.idle_timeout_ms.reset();
  EXPECT_EQ(TextsOf(CompareCatalogs(SoundDraft(), next)),
            (std::vector<std::string>{"changed from 2 to 1; accepted jobs keep the old value",
                                      "changed from absent to \"idempotent\"", "added queue \"c\"",
                                      "removed queue \"a\"", "changed from false to true",
                                      "changed from 15000 to absent"}));
}

}  // namespace
}  // namespace pomelopond::jobs
