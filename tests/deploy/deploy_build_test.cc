// Checks that the build that deploy/system.toml declares uses only what the declared packages
// provide.
#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <regex>

#include "tests/deploy/debian_packages.h"

namespace pomelopond::deploy {
namespace {

const std::string kRoot = POMELOPOND_SOURCE_DIR;
const std::string kBuild = POMELOPOND_BINARY_DIR;

std::string ReadAll(const std::string& path) {
  std::ifstream file(path);
  EXPECT_TRUE(file.good()) << path;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string FirstMatch(const std::string& text, const std::string& pattern) {
  std::smatch found;
  EXPECT_TRUE(std::regex_search(text, found, std::regex(pattern))) << pattern;
  return found.size() > 1 ? found[1].str() : "";
}

std::vector<std::string> DeclaredPackages() {
  const std::string list =
      FirstMatch(ReadAll(kRoot + "/deploy/system.toml"), R"(packages = \[([^\]]*)\])");
  std::vector<std::string> packages;
  static const std::regex word(R"re("([^"]+)")re");
  for (std::sregex_iterator it(list.begin(), list.end(), word), end; it != end; ++it) {
    packages.push_back((*it)[1].str());
  }
  return packages;
}

std::string RunNinja(const std::string& arguments) {
  return CommandOutput("ninja -C '" + kBuild + "' " + arguments);
}

// Returns the files outside the repository that the compiler and the linker read to build the entry
// program.
std::set<std::string> SystemFiles() {
  std::set<std::string> files;
  std::string objects;
  for (const std::string& it : Split(RunNinja("-t inputs bin/pomelopond-entry"), '\n')) {
    const std::filesystem::path path(it);
    if (path.extension() == ".o") objects += " '" + it + "'";
    if (path.is_absolute() && it.rfind(kRoot, 0) != 0) files.insert(it);
  }
  for (const std::string& it : Split(RunNinja("-t deps" + objects), '\n')) {
    const size_t at = it.find_first_not_of(' ');
    if (at == 0 || at == std::string::npos || it[at] != '/') continue;
    const std::string path = std::filesystem::path(it.substr(at)).lexically_normal();
    if (path.rfind(kRoot, 0) != 0) files.insert(path);
  }
  return files;
}

// Expects that the declared packages or their dependencies own all of `files`.
void ExpectDeclared(const std::set<std::string>& files) {
  const std::set<std::string> available = WithDependencies(DeclaredPackages());
  for (const auto& [file, package] : OwningPackages(files)) {
    EXPECT_EQ(available.count(package), 1u) << file << " belongs to package '" << package
                                            << "', which deploy/system.toml does not declare";
  }
}

// Runs the configure step of the declared build in a temporary folder.
class ConfiguredBuild {
 public:
  ConfiguredBuild() {
    std::string pattern = testing::TempDir() + "deploy-build-XXXXXX";
    folder_ = mkdtemp(pattern.data());
    const std::string command =
        FirstMatch(ReadAll(kRoot + "/deploy/system.toml"), R"(build = "(cmake [^&"]*))");
    CommandOutput("cd '" + kRoot + "' && HOME=/dev/null " +
                  std::regex_replace(command, std::regex("-B target"), "-B '" + folder_ + "'"));
  }
  ~ConfiguredBuild() { std::filesystem::remove_all(folder_); }
  ConfiguredBuild(const ConfiguredBuild&) = delete;
  ConfiguredBuild& operator=(const ConfiguredBuild&) = delete;

  std::string Read(const std::string& file) const { return ReadAll(folder_ + "/" + file); }

 private:
  std::string folder_;
};

// Guards against a declared build that fails on a clean machine because a package is not declared.
TEST(DeployBuildTest, DeclaredPackagesHoldAllThatTheBuildReads) {
  const std::set<std::string> files = SystemFiles();
  ASSERT_GT(files.size(), 500u);
  ExpectDeclared(files);
}

// Guards against a build that needs a program that only the developers' machines have.
TEST(DeployBuildTest, DeclaredPackagesHoldTheToolsOfTheBuild) {
  const ConfiguredBuild build;
  const std::string cache = build.Read("CMakeCache.txt");
  std::set<std::string> tools;
  for (const char* it : {"CMAKE_COMMAND", "CMAKE_CXX_COMPILER", "CMAKE_MAKE_PROGRAM", "CMAKE_AR",
                         "PKG_CONFIG_EXECUTABLE"}) {
    const std::string path = FirstMatch(cache, "\n" + std::string(it) + ":[A-Z]+=([^\n]+)");
    tools.insert(std::filesystem::canonical(path));
  }
  ExpectDeclared(tools);
}

// Guards against a build that fails on a machine where the compiler cache is not writable, or where
// another compiler version reports new warnings.
TEST(DeployBuildTest, CallsTheCompilerItselfAndPassesOverWarnings) {
  const ConfiguredBuild build;
  const std::string compiler =
      FirstMatch(build.Read("CMakeCache.txt"), "\nCMAKE_CXX_COMPILER:[A-Z]+=([^\n]+)");
  const std::string commands = build.Read("compile_commands.json");
  static const std::regex command(R"re("command": "([^ ]+)([^\n]*))re");
  int n = 0;
  for (std::sregex_iterator it(commands.begin(), commands.end(), command), end; it != end; ++it) {
    EXPECT_EQ((*it)[1].str(), compiler);
    EXPECT_EQ((*it)[2].str().find("-Werror"), std::string::npos);
    ++n;
  }
  EXPECT_GT(n, 50);
}

}  // namespace
}  // namespace pomelopond::deploy
