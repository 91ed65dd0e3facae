// Provides queries for the Debian packages that own installed files and for the dependencies of
// packages.
#ifndef POMELOPOND_TESTS_DEPLOY_DEBIAN_PACKAGES_H_
#define POMELOPOND_TESTS_DEPLOY_DEBIAN_PACKAGES_H_

#include <gtest/gtest.h>
#include <stdio.h>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace pomelopond::deploy {

// Returns the output of a shell command. The test fails if the command fails.
inline std::string CommandOutput(const std::string& command) {
  std::string out;
  FILE* pipe = popen(command.c_str(), "r");
  if (pipe == nullptr) {
    ADD_FAILURE() << "cannot run: " << command;
    return out;
  }
  std::array<char, 4096> buf{};
  while (const size_t n = fread(buf.data(), 1, buf.size(), pipe)) out.append(buf.data(), n);
  EXPECT_EQ(pclose(pipe), 0) << command;
  return out;
}

inline std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string it; std::getline(in, it, separator);) parts.push_back(it);
  return parts;
}

// Returns the package name in a dependency relation such as " libc6-dev:amd64 (>= 2.36)".
inline std::string NameOf(const std::string& relation) {
  const size_t begin = relation.find_first_not_of(' ');
  if (begin == std::string::npos) return {};
  return relation.substr(begin, relation.find_first_of(" :(", begin) - begin);
}

// Returns the package that owns each file, by file. A file that no package owns has an empty name.
inline std::map<std::string, std::string> OwningPackages(const std::set<std::string>& files) {
  std::map<std::string, std::string> owners;
  std::string arguments;
  for (const std::string& it : files) {
    owners[it] = "";
    arguments += " '" + it + "'";
  }
  // dpkg fails if any file has no owner, but it prints the owners of the others nevertheless.
  for (const std::string& it :
       Split(CommandOutput("dpkg -S" + arguments + " 2>/dev/null || true"), '\n')) {
    const size_t at = it.find(": ");
    if (at != std::string::npos) owners[it.substr(at + 2)] = NameOf(it);
  }
  return owners;
}

// Returns `packages` and their transitive dependencies. Of alternatives it takes the first, as an
// installation on a machine that has none of them does, and for a virtual package it takes the
// packages that provide it.
inline std::set<std::string> WithDependencies(const std::vector<std::string>& packages) {
  std::map<std::string, std::vector<std::string>> depends;
  std::map<std::string, std::vector<std::string>> providers;
  for (const std::string& line :
       Split(CommandOutput(
                 "dpkg-query -W -f='${Package}|${Provides}|${Pre-Depends}, ${Depends}\\n' | "
                 "sed 's/ | [^,]*//g'"),
             '\n')) {
    const std::vector<std::string> fields = Split(line, '|');
    if (fields.size() < 3) continue;
    for (const std::string& it : Split(fields[1], ',')) providers[NameOf(it)].push_back(fields[0]);
    for (const std::string& it : Split(fields[2], ',')) depends[fields[0]].push_back(NameOf(it));
  }
  std::set<std::string> all;
  std::vector<std::string> pending = packages;
  while (!pending.empty()) {
    const std::string name = pending.back();
    pending.pop_back();
    if (name.empty() || !all.insert(name).second) continue;
    for (const std::string& it : depends[name]) pending.push_back(it);
    if (depends.count(name) == 0 || depends[name].empty()) {
      for (const std::string& it : providers[name]) pending.push_back(it);
    }
  }
  return all;
}

}  // namespace pomelopond::deploy

#endif  // POMELOPOND_TESTS_DEPLOY_DEBIAN_PACKAGES_H_
