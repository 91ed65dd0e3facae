// Checks that pomelopond-entry accepts the settings that the platform renders from
// deploy/entry.json.tmpl.
#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <sstream>

#include "base/json.h"
#include "entry/settings.h"

namespace pomelopond::entry {
namespace {

// Returns the value at a path such as "bounds.grace_s", or null if there is none.
Json ValueAt(const Json& fields, const std::string& path) {
  Json at = fields;
  std::istringstream names(path);
  for (std::string it; std::getline(names, it, '.');) {
    if (!at.is_object() || !at.contains(it)) return nullptr;
    at = Json(at.at(it));
  }
  return at;
}

std::string Replace(const std::string& text, const std::string& pattern,
                    const std::function<std::string(const std::smatch&)>& value) {
  const std::regex placeholder(pattern);
  std::string out;
  auto from = text.cbegin();
  for (std::sregex_iterator it(text.begin(), text.end(), placeholder), end; it != end; ++it) {
    out.append(from, (*it)[0].first);
    out += value(*it);
    from = (*it)[0].second;
  }
  return out.append(from, text.cend());
}

// Renders the part of the template language that the template uses: sections that are kept if their
// value is present, and values that are inserted as JSON.
std::string Render(const std::string& text, const Json& fields) {
  const std::string kept =
      Replace(text, R"(\{\{#([\w.]+)\}\}([^]*?)\{\{/\1\}\})", [&](const std::smatch& it) {
        return ValueAt(fields, it[1]).is_null() ? std::string() : it[2].str();
      });
  return Replace(kept, R"(\{\{([\w.]+)\|json\}\})", [&](const std::smatch& it) {
    const Json value = ValueAt(fields, it[1]);
    return value.is_null() ? std::string() : value.dump();
  });
}

std::string Template() {
  std::ifstream file(POMELOPOND_SOURCE_DIR "/deploy/entry.json.tmpl");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

Json Fields() {
  return {{"node", "host-1"},
          {"zone", "domain-1"},
          {"listen", {{"ingress", "10.0.0.1:7000"}, {"readiness", "10.0.0.1:7001"}}},
          {"platform", {{"address", "10.0.0.9:7009"}, {"value_bytes", 65536}}},
          {"advice", "10.0.0.8:7008"},
          {"bounds", {{"hold_max_ms", 10000}, {"grace_s", 6}, {"status_s", 120}}}};
}

// Renders the template, checks that the settings have no errors and returns them.
Settings ReadRendered(const Json& fields) {
  const std::string text = Render(Template(), fields);
  const Result<Json> document = ParseJson(text);
  EXPECT_TRUE(document.ok()) << text;
  FieldErrors errors;
  Settings settings = ReadSettings(document.value, &errors);
  EXPECT_TRUE(errors.empty()) << ToString(errors) << text;
  return settings;
}

// Guards against a template with members that the program does not know.
TEST(EntryTemplateTest, WholeBoundsAreRead) {
  const Settings settings = ReadRendered(Fields());
  EXPECT_EQ(settings.max_lease, std::chrono::seconds(10));
  EXPECT_EQ(settings.stop_limit, std::chrono::seconds(6));
  EXPECT_EQ(settings.status_time, std::chrono::seconds(120));
  EXPECT_TRUE(settings.policy.has_value());
}

// Guards against an owner on a slow host although faster ones exist: the hosts would not know their
// processor time.
TEST(EntryTemplateTest, ProcessorTimeIsRead) {
  Json fields = Fields();
  EXPECT_EQ(ProcessorMilli(ReadRendered(fields)), 0);
  fields["limits"] = {{"cpu_share", 0.25}};
  EXPECT_EQ(ProcessorMilli(ReadRendered(fields)), 250);
  fields["limits"]["cores"] = 2;
  EXPECT_EQ(ProcessorMilli(ReadRendered(fields)), 500);
}

// Guards against logs that don't tell the link of an owner's host.
TEST(EntryTemplateTest, LinkIsRead) {
  Json fields = Fields();
  EXPECT_EQ(ReadRendered(fields).link_mbps, 0);
  fields["limits"] = {{"link_mbps", 12.5}};
  EXPECT_EQ(ReadRendered(fields).link_mbps, 12.5);
}

// Guards against an owner that leaves runs on slow workers for want of the setting.
TEST(EntryTemplateTest, SlowRunsAreRescued) {
  EXPECT_TRUE(ReadRendered(Fields()).rescue_slow_runs);
  EXPECT_FALSE(Settings().rescue_slow_runs);
}

// Guards against processes that do not start on an installation with fractional bounds.
TEST(EntryTemplateTest, FractionalBoundsAreRead) {
  Json fields = Fields();
  fields["bounds"] = {{"hold_max_ms", 2500.5}, {"grace_s", 2.5}, {"status_s", 90.0}};
  const Settings settings = ReadRendered(fields);
  EXPECT_EQ(settings.max_lease, std::chrono::microseconds(2500500));
  EXPECT_EQ(settings.stop_limit, std::chrono::milliseconds(2500));
  EXPECT_EQ(settings.status_time, std::chrono::seconds(90));
}

// Guards against processes that do not start on an installation that lacks some of the bounds or a
// policy service.
TEST(EntryTemplateTest, AbsentBoundsAndPolicyHaveDefaults) {
  Json fields = Fields();
  fields["bounds"] = Json::object();
  fields.erase("advice");
  const Settings settings = ReadRendered(fields);
  EXPECT_EQ(settings.max_lease, Settings().max_lease);
  EXPECT_EQ(settings.stop_limit, Settings().stop_limit);
  EXPECT_EQ(settings.status_time, Settings().status_time);
  EXPECT_FALSE(settings.policy.has_value());
}

}  // namespace
}  // namespace pomelopond::entry
