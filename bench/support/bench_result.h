// Provides the result line "NAME key=value ..." that ends the output of a benchmark, and its exit
// status.
#ifndef POMELOPOND_BENCH_SUPPORT_BENCH_RESULT_H_
#define POMELOPOND_BENCH_SUPPORT_BENCH_RESULT_H_

#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace pomelopond::bench {

using Figures = std::vector<std::pair<std::string, double>>;

// Prints the result line. Returns the exit status: 0 if `target_holds`, otherwise 1.
inline int Report(const std::string& name, const Figures& figures, bool target_holds) {
  std::printf("%s", name.c_str());
  for (const auto& [key, value] : figures) std::printf(" %s=%.6g", key.c_str(), value);
  std::printf(" target=%s\n", target_holds ? "held" : "missed");
  return target_holds ? 0 : 1;
}

}  // namespace pomelopond::bench

#endif  // POMELOPOND_BENCH_SUPPORT_BENCH_RESULT_H_
