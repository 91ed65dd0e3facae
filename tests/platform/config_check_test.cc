#include "platform/config_check.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <sstream>

#include "platform/config_draft.h"
#include "platform/decode.h"
#include "tests/platform/mutate.h"

namespace pomelopond::platform {
namespace {

Json RouteOf(int n) {
  const std::string number = std::to_string(n);
  return {{"name", "q" + number},
          {"host", "jobs.example"},
          {"prefix", "/q" + number + "/"},
          {"type", "non_idempotent"},
          {"timeout_ms", 3000},
          {"target_duration_ms", 300},
          {"priority", 0},
          {"service", "pool"},
          {"max_attempts", 3},
          {"stretch", 1.5},
          {"advice", nullptr}};
}

Json ConfigOf(int routes) {
  Json config = {{"version", 8},
                 {"routes", Json::array()},
                 {"services",
                  {{{"name", "pool"},
                    {"health_path", "/health"},
                    {"max_conns", 64},
                    {"protocol", "http"},
                    {"tls", false},
                    {"cold_s", 30},
                    {"cold_per_s", 0.5},
                    {"enforces_capacity", true},
                    {"standby", false}}}},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", 262144},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}}}};
  for (int n = 0; n < routes; ++n) config["routes"].push_back(RouteOf(n));
  return config;
}

// The outcome of the command.
struct Outcome {
  int status = 0;
  std::string out;
  std::string err;
};

// A file that is removed at the end of the test.
class ScratchFile {
 public:
  ScratchFile(const std::string& name, const std::string& text)
      : path_(testing::TempDir() + "config-check-" + std::to_string(getpid()) + "-" + name) {
    std::ofstream(path_, std::ios::binary) << text;
  }
  ~ScratchFile() { unlink(path_.c_str()); }
  ScratchFile(const ScratchFile&) = delete;
  ScratchFile& operator=(const ScratchFile&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

Outcome Check(const std::string& text, const std::string& in_force = {}) {
  const ScratchFile file("next", text);
  const ScratchFile other("in-force", in_force);
  std::ostringstream out;
  std::ostringstream err;
  Outcome outcome;
  outcome.status =
      CheckConfigFile(file.path(), in_force.empty() ? std::string() : other.path(), out, err);
  outcome.out = out.str();
  outcome.err = err.str();
  return outcome;
}

// Returns the findings of a configuration of 12 routes in which the member at `pointer` is `value`,
// without the texts: "path kind".
std::vector<std::string> FindingsWith(const std::string& pointer, const Json& value) {
  Json config = ConfigOf(12);
  config[Json::json_pointer(pointer)] = value;
  std::istringstream lines(Check(config.dump()).out);
  std::vector<std::string> findings;
  for (std::string line; std::getline(lines, line);) {
    if (line.back() != ')') continue;
    findings.push_back(line.substr(0, line.find(": ")) + " " + line.substr(line.rfind('(')));
  }
  return findings;
}

using Findings = std::vector<std::string>;

// Guards against a configuration that hosts reject although the command has found no error, or the
// other way round: the rules of both must be the same.
TEST(ConfigCheckTest, ConfigurationsWithoutErrorsAreAcceptedByTheDecoder) {
  int accepted = 0;
  EXPECT_TRUE(rc::check([&accepted] {
    const Json config = Mutate(ConfigOf(2));
    store::Item item;
    item.value = config.dump(-1, ' ', false, Json::error_handler_t::ignore);
    const Outcome outcome = Check(item.value);
    const bool has_error = outcome.status == kUnreadableInput ||
                           outcome.out.find("(bad_field)\n") != std::string::npos;
    const bool is_accepted = ReadConfig(item).ok();
    accepted += is_accepted ? 1 : 0;
    RC_ASSERT(is_accepted || has_error);
    FieldErrors errors;
    ReadConfigDocument(Json::parse(item.value), &errors);
    RC_ASSERT(is_accepted == errors.empty());
  }));
  EXPECT_GT(accepted, 20);
}

// Guards against a list of errors that ends with the first one.
TEST(ConfigCheckTest, AllErrorsAreListedInTheOrderOfTheirPaths) {
  Json config = ConfigOf(12);
  config["version"] = "8";
  config["routes"][10]["priority"] = "high";
  config["routes"][2].erase("host");
  config["routes"][2]["max_attempts"] = -1;
  config["routes"][3] = 7;
  config["services"][0]["cold_per_s"] = -1;
  const Outcome outcome = Check(config.dump());
  EXPECT_EQ(outcome.status, kHasFindings);
  EXPECT_EQ(outcome.out.substr(0, outcome.out.rfind('\n', outcome.out.size() - 2) + 1),
            "routes[2].host: is required (bad_field)\n"
            "routes[2].max_attempts: must be a whole number from 0 to 2147483647 (bad_field)\n"
            "routes[3]: must be an object (bad_field)\n"
            "routes[10].priority: must be a number from -2147483648 to 2147483647 (bad_field)\n"
            "services[0].cold_per_s: must be a number from 0.000000 to 1000000.000000 (bad_field)\n"
            "version: must be a number from 0 to 9223372036854775807 (bad_field)\n");
}

// Guards against values that hosts ignore or change without notice: a misspelt member, a fraction,
// a policy that is no object, a flag in quotes.
TEST(ConfigCheckTest, IgnoredValuesAreErrors) {
  EXPECT_EQ(FindingsWith("/routes/0/max_attempt", 5),
            Findings{"routes[0].max_attempt (unknown_field)"});
  EXPECT_EQ(FindingsWith("/routes/0/priority", 0.5), Findings{"routes[0].priority (bad_field)"});
  EXPECT_EQ(FindingsWith("/routes/0/advice", true), Findings{"routes[0].advice (bad_field)"});
  EXPECT_EQ(FindingsWith("/services/0/standby", "true"),
            Findings{"services[0].standby (bad_field)"});
  EXPECT_EQ(FindingsWith("/limits/max_body_bytes", -1),
            Findings{"limits.max_body_bytes (bad_field)"});
  EXPECT_EQ(FindingsWith("/services", Json::object()).front(),
            "routes[0].service (unknown_service)");
}

// Guards against findings at the path of another member.
TEST(ConfigCheckTest, FindingsHavePathsOfTheDocument) {
  EXPECT_EQ(FindingsWith("/routes/11/prefix", "/q0/"),
            Findings{"routes[11].prefix (shadowed_queue)"});
  EXPECT_EQ(FindingsWith("/routes/11/timeout_ms", 1),
            Findings{"routes[11].timeout_ms (timeout_below_objective)"});
  EXPECT_EQ(FindingsWith("/limits/header_timeout_ms", 20000),
            Findings{"limits.header_timeout_ms (header_timeout_above_idle)"});
  EXPECT_EQ(FindingsWith("/routes", Json::array()), Findings{"routes (no_queues)"});
}

// Guards against an exit status by which a script would send a bad configuration.
TEST(ConfigCheckTest, ExitStatusTellsFindingsFromDifferences) {
  const std::string in_force = ConfigOf(3).dump();
  Json next = ConfigOf(4);
  EXPECT_EQ(Check(in_force).status, kNoFinding);
  EXPECT_EQ(Check(next.dump(), in_force).status, kHasFindings);  // the version is not newer
  next["version"] = 9;
  next["routes"][1]["priority"] = 2;
  const Outcome outcome = Check(next.dump(), in_force);
  EXPECT_EQ(outcome.status, kNoFinding);
  EXPECT_NE(outcome.out.find("routes[1].priority: from 0 to 2; accepted jobs keep the old value "
                             "(changed)\nroutes[3]: queue \"q3\" (added)\nversion: from 8 to 9 "),
            std::string::npos)
      << outcome.out;
  EXPECT_EQ(Check(in_force, next.dump()).status, kHasFindings);
}

// Guards against unreadable input that passes for a sound configuration.
TEST(ConfigCheckTest, UnreadableInputHasAStatusOfItsOwn) {
  const std::string sound = ConfigOf(1).dump();
  for (const char* it : {"", "{", "\xff", "{\"version\":1,\"version\":2}"}) {
    EXPECT_EQ(Check(it).status, kUnreadableInput) << it;
    EXPECT_NE(Check(it).err, "") << it;
  }
  EXPECT_EQ(Check(sound, "{").status, kUnreadableInput);
  EXPECT_EQ(Check(sound, R"({"version":1})").status, kUnreadableInput);
  std::ostringstream out;
  std::ostringstream err;
  EXPECT_EQ(CheckConfigFile("/nonexistent", "", out, err), kUnreadableInput);
}

// Guards against names that forge or break lines of the report.
TEST(ConfigCheckTest, NamesCannotBreakALine) {
  Json config = ConfigOf(1);
  config["routes"][0]["a\nb"] = 1;
  config["routes"][0]["service"] = "x\ny";
  const std::string out = Check(config.dump()).out;
  EXPECT_EQ(std::count(out.begin(), out.end(), '\n'), 4) << out;
}

// Processor time of a check of so many routes, all of which shadow each other, in seconds.
double CheckSeconds(int routes) {
  const std::string in_force = ConfigOf(routes).dump();
  Json next = ConfigOf(routes);
  for (Json& it : next["routes"]) it["prefix"] = "/same/";
  const std::string text = next.dump();
  const std::clock_t start = std::clock();
  EXPECT_EQ(Check(text, in_force).status, kHasFindings);
  return static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
}

// Guards against a check whose time grows with the square of the number of routes: then four times
// as many would take sixteen times as long. The ratio does not depend on the machine's speed.
TEST(ConfigCheckTest, TimeGrowsWithTheNumberOfRoutes) {
  constexpr int kRoutes = 1000;
  constexpr double kMostGrowth = 8;
  const double few = CheckSeconds(kRoutes);
  EXPECT_LT(CheckSeconds(4 * kRoutes), kMostGrowth * few);
}

}  // namespace
}  // namespace pomelopond::platform
