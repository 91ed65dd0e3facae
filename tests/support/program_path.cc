#include "tests/support/program_path.h"

namespace pomelopond::support {

std::string ProgramPath(const std::string& name) { return POMELOPOND_BIN_DIR "/" + name; }

}  // namespace pomelopond::support
