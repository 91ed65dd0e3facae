// Case 14: lasting submissions whose tasks fail again and again. See claim.txt.
#include <cstdlib>

#include "review/lab/lost.h"

namespace pomelopond::lab {
namespace {

constexpr int kSubmissions = 8;
constexpr int kReplicas = 8;
constexpr int kMostPerExecutor = 2;  // so that each of four executors has two
constexpr int64_t kBetweenMs = 1500;
constexpr int kFirstFailMs = 10500;  // a task works for this time and fails
constexpr int kFailStepMs = 900;     // more in each submission
constexpr int64_t kFailuresMs = 20000;
constexpr int kFirstId = 1000;

std::string WatchBody(int n) {
  const std::string work =
      HasTrouble() ? " fail=" + std::to_string(kFirstFailMs + kFailStepMs * n) : "";
  const Json step = {
      {"replicas", kReplicas}, {"cpu", 300},          {"max_per_server", kMostPerExecutor},
      {"mem_mb", 100},         {"estimate_ms", 1000}, {"perpetual", true}};
  return Json{{"spec", "cpu=300" + work}, {"steps", {step}}}.dump();
}

void HandIn(LostCase* it) {
  for (int n = 0; n < kSubmissions; ++n) {
    Record("a lasting submission of " + std::to_string(kReplicas) + " tasks" +
           (HasTrouble() ? ", which fail after 10.5 to 16.8 s" : "") + ": " +
           std::to_string(it->Post(static_cast<size_t>(n), kFirstId + n, WatchBody(n))));
    SleepMs(kBetweenMs);
  }
  SleepMs(kFailuresMs);
}

}  // namespace
}  // namespace pomelopond::lab

int main(int argc, char** argv) {
  namespace lab = pomelopond::lab;
  lab::Installation falaj;
  falaj.zones = {"seeb-a", "barka-b", "sohar-c"};
  falaj.first_number = 40;
  lab::LostCase it(falaj);
  std::_Exit(it.Run(argc > 1 ? argv[1] : ".", lab::HandIn));
}
