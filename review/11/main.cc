// Case 11: one submission that can never be done. See claim.txt.
#include <cstdlib>

#include "review/lab/lost.h"

namespace pomelopond::lab {
namespace {

constexpr int kSteps = 5;
constexpr int kReplicas = 10000;
constexpr int kMostPerExecutor = 1200;  // eight executors hold 9,600 of the 10,000 tasks
constexpr int kId = 0xabcdef;

std::string GangBody() {
  Json steps = Json::array();
  for (int n = 0; n < kSteps; ++n) {
    steps.push_back({{"replicas", kReplicas},
                     {"cpu", 10},
                     {"estimate_ms", 300},
                     {"gang", true},
                     {"max_per_server", kMostPerExecutor}});
  }
  return Json{{"spec", "ms=300 cpu=10"}, {"steps", std::move(steps)}}.dump();
}

void HandIn(LostCase* it) {
  if (!HasTrouble()) return;
  Record("a submission of " + std::to_string(kSteps) + " gangs of " + std::to_string(kReplicas) +
         " tasks: " + std::to_string(it->Post(0, kId, GangBody())));
}

}  // namespace
}  // namespace pomelopond::lab

int main(int argc, char** argv) {
  namespace lab = pomelopond::lab;
  lab::Installation falaj;
  falaj.zones = {"seeb-a",  "seeb-a",  "seeb-a",  "barka-b",
                 "barka-b", "barka-b", "sohar-c", "sohar-c"};
  falaj.executors = 8;
  lab::LostCase it(falaj);
  std::_Exit(it.Run(argc > 1 ? argv[1] : ".", lab::HandIn));
}
