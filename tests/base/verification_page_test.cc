#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace pomelopond {
namespace {

const std::string kRoot = POMELOPOND_SOURCE_DIR;

std::string Read(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Returns all tests in the repository as "Suite.Name", and all suites as "Suite.*".
std::set<std::string> AllTests() {
  static const std::regex definition(R"(TEST(?:_F)?\(\s*(\w+),\s*(\w+)\))");
  std::set<std::string> tests;
  for (const auto& it : std::filesystem::recursive_directory_iterator(kRoot + "/tests")) {
    if (it.path().extension() != ".cc") continue;
    const std::string text = Read(it.path());
    for (std::sregex_iterator found(text.begin(), text.end(), definition), end; found != end;
         ++found) {
      tests.insert((*found)[1].str() + "." + (*found)[2].str());
      tests.insert((*found)[1].str() + ".*");
    }
  }
  return tests;
}

// Guards against rows of docs/verification.md that name tests or measurements that do not exist or
// no longer exist.
TEST(VerificationPageTest, EveryTestAndMeasurementExists) {
  const std::string page = Read(kRoot + "/docs/verification.md");
  const std::set<std::string> tests = AllTests();
  static const std::regex test_name(R"(`(\w+Test\.(?:\w+|\*))`)");
  int named = 0;
  for (std::sregex_iterator it(page.begin(), page.end(), test_name), end; it != end;
       ++it, ++named) {
    EXPECT_EQ(tests.count((*it)[1].str()), 1u) << (*it)[1].str();
  }
  EXPECT_GT(named, 20);
  static const std::regex row(R"(\n\| R\d \|[^\n]*\| ([^|\n]*) \|)");
  static const std::regex measurement(R"(`([a-z-]+)`)");
  int rows = 0;
  for (std::sregex_iterator it(page.begin(), page.end(), row), end; it != end; ++it, ++rows) {
    const std::string cell = (*it)[1].str();
    for (std::sregex_iterator name(cell.begin(), cell.end(), measurement); name != end; ++name) {
      std::string file = (*name)[1].str();
      std::replace(file.begin(), file.end(), '-', '_');
      EXPECT_TRUE(std::filesystem::exists(kRoot + "/bench/" + file + ".cc")) << file;
    }
  }
  EXPECT_EQ(rows, 9);
}

}  // namespace
}  // namespace pomelopond
