// Runs one case of the review: review-cases CASE RECORD. Exits with 1 if the rule was broken, 0 if
// it held and 2 if the case couldn't run. With TROUBLE=0 in the environment the disruption is left
// out.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "cases.h"

int main(int argc, char** argv) {
  using pomelopond::review::CaseFunction;
  static const std::map<std::string, CaseFunction> cases = {
      {"memory", pomelopond::review::RunMemoryCase},
      {"last-seen", pomelopond::review::RunLastSeenCase},
      {"cancel", pomelopond::review::RunCancelCase},
      {"record-size", pomelopond::review::RunRecordSizeCase},
  };
  const auto it = argc == 3 ? cases.find(argv[1]) : cases.end();
  if (it == cases.end()) {
    std::cerr << "usage: review-cases CASE RECORD\n";
    return pomelopond::review::kCannotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  pomelopond::review::Record record(argv[2]);
  const int result = it->second(trouble == nullptr || std::string(trouble) != "0", &record);
  record.Line(result == pomelopond::review::kBroken ? "result: the rule was broken"
              : result == pomelopond::review::kHeld ? "result: the rule held"
                                                    : "result: the case could not run");
  return result;
}
