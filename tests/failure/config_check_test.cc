// Failure test of the command by which an operator checks a configuration before it is sent.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "base/json.h"
#include "tests/support/process.h"
#include "tests/support/program_path.h"

namespace pomelopond::support {
namespace {

constexpr Duration kMaxRunTime = std::chrono::seconds(60);

// A folder of files for the command, removed at the end of the test.
class ConfigFolder {
 public:
  ConfigFolder() : path_(testing::TempDir() + "pomelopond-config-check/") {
    std::filesystem::remove_all(path_);
    std::filesystem::create_directories(path_);
  }
  ~ConfigFolder() { std::filesystem::remove_all(path_); }
  ConfigFolder(const ConfigFolder&) = delete;
  ConfigFolder& operator=(const ConfigFolder&) = delete;

  std::string Write(const std::string& name, const Json& config) const {
    std::ofstream(path_ + name) << config;
    return path_ + name;
  }

  // Returns the exit status of pomelopond-entry.
  int Run(std::vector<std::string> arguments) const {
    arguments.insert(arguments.begin(), ProgramPath("pomelopond-entry"));
    return Process(arguments, path_ + "log").Wait(kMaxRunTime);
  }

  std::string Output() const {
    std::ifstream file(path_ + "log");
    return {std::istreambuf_iterator<char>(file), {}};
  }

 private:
  std::string path_;
};

Json ConfigOf(int version, const std::string& prefix) {
  return {{"version", version},
          {"routes", {{{"name", "q"}, {"host", "h"}, {"prefix", prefix}, {"service", "s"}}}},
          {"services", {{{"name", "s"}}}}};
}

// Guards against a command line that is ignored, so that the program serves or asks for settings
// instead of checking, and against exit statuses other than the documented ones.
TEST(ConfigCheckCommandTest, ExitStatusesAreTheDocumentedOnes) {
  const ConfigFolder folder;
  const std::string in_force = folder.Write("in-force.json", ConfigOf(7, "/p/"));
  const std::string next = folder.Write("next.json", ConfigOf(8, "/p/"));
  const std::string faulty = folder.Write("faulty.json", ConfigOf(8, "/p"));
  EXPECT_EQ(folder.Run({"--check-config", next}), 0);
  EXPECT_EQ(folder.Run({"--check-config", next, "--in-force", in_force}), 0);
  EXPECT_EQ(folder.Run({"--check-config", faulty}), 1);
  EXPECT_EQ(folder.Run({"--check-config", in_force, "--in-force", next}), 1);
  EXPECT_EQ(folder.Run({"--check-config", next + ".missing"}), 2);
  EXPECT_EQ(folder.Run({"--check-config", next, "--in-force", next + ".missing"}), 2);
  EXPECT_EQ(folder.Run({"--in-force", in_force}), 2);
  EXPECT_EQ(folder.Run({"--check-config"}), 2);
  const std::string output = folder.Output();
  for (const char* it : {"(unusable_prefix)\n", "(version_not_newer)\n", "1 difference from",
                         "cannot read configuration file", "--in-force needs --check-config"}) {
    EXPECT_NE(output.find(it), std::string::npos) << it << "\n" << output;
  }
}

}  // namespace
}  // namespace pomelopond::support
