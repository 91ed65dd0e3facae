#include "base/json.h"

#include <gtest/gtest.h>

#include <string>

#include "base/entry_settings.h"

namespace pomelopond {
namespace {

// Guards against malicious nesting that exhausts the parser's stack.
TEST(JsonTest, RefusesDeepNesting) {
  EXPECT_TRUE(ParseJson(std::string(60, '[') + std::string(60, ']')).ok());
  EXPECT_FALSE(ParseJson(std::string(100, '[') + std::string(100, ']')).ok());
  EXPECT_FALSE(ParseJson(std::string(1000000, '[')).ok());
}

// Guards against two members with the same name, of which different readers may use different ones.
TEST(JsonTest, RefusesDuplicateKeys) { EXPECT_FALSE(ParseJson(R"({"a":1,"a":2})").ok()); }

TEST(JsonTest, RefusesInvalidUtf8) { EXPECT_FALSE(ParseJson("\"\xff\xfe\"").ok()); }

// Guards against a bound that is off by one, and against input that is parsed in part.
TEST(JsonTest, MessagePackIsParsedUpToItsDepth) {
  const std::string deepest(kMaxMessagePackDepth, '\x91');
  EXPECT_TRUE(ParseMessagePack(deepest + "\xc0").is_array());
  EXPECT_TRUE(ParseMessagePack(deepest + "\x91\xc0").is_discarded());
  EXPECT_EQ(ParseMessagePack("\x92\x91\x01\x91\x02"), Json::parse("[[1],[2]]"));
  for (const char* it : {"", "\x91", "\xc0\xc0", "\xc1", "\x81\x01\x01"}) {
    EXPECT_TRUE(ParseMessagePack(it).is_discarded());
  }
}

// Guards against settings errors that are reported only one at a time, and against misspelt members
// that are ignored.
TEST(EntrySettingsTest, ReportsEveryErrorByPath) {
  const Json document = Json::parse(R"({
    "host": "a", "entry_hosts": [{"id": "b", "failure_domain": "d", "router": "localhost:1",
    "scheduler": "127.0.0.1:2", "admin": "127.0.0.1:3", "peer": "127.0.0.1:4"}],
    "store": "127.0.0.1:5", "host_list": "127.0.0.1:0", "lease_tll_ms": 5,
    "exchange_interval_ms": 9000})");
  FieldErrors errors;
  ReadEntrySettings(document, &errors);
  std::set<std::string> paths;
  for (const FieldError& it : errors) paths.insert(it.path);
  EXPECT_EQ(paths, (std::set<std::string>{"entry_hosts[0].router", "exchange_interval_ms", "host",
                                          "host_list", "lease_tll_ms"}));
}

}  // namespace
}  // namespace pomelopond
