// Provides the paths of the built programs.
#ifndef POMELOPOND_TESTS_SUPPORT_PROGRAM_PATH_H_
#define POMELOPOND_TESTS_SUPPORT_PROGRAM_PATH_H_

#include <string>

namespace pomelopond::support {

// Returns the path of a program such as "pomelopond-router".
std::string ProgramPath(const std::string& name);

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_PROGRAM_PATH_H_
