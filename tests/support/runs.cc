#include "tests/support/runs.h"

#include <algorithm>
#include <limits>

namespace pomelopond::support {
namespace {

struct Run {
  int64_t started = 0;  // microseconds on the machine's monotonic clock
  int64_t ended = 0;    // as `started`; the maximum value while the task runs
};

std::map<std::string, std::vector<Run>> RunsByTask(const Cluster& cluster) {
  std::map<std::string, std::vector<Run>> runs;
  for (const Endpoint& worker : cluster.Workers()) {
    const Json answer = Get(worker, "/runs");
    for (const Json& it : answer.at("runs")) {
      const int64_t ended = it["ended_us"].is_null() ? std::numeric_limits<int64_t>::max()
                                                     : it["ended_us"].get<int64_t>();
      runs[it["task"]].push_back({it["started_us"].get<int64_t>(), ended});
    }
  }
  return runs;
}

}  // namespace

bool AllTasksAre(const std::string& state, const Json& job) {
  if (!job.is_object() || job.value("tasks", Json::array()).empty()) return false;
  const Json& tasks = job["tasks"];
  return std::all_of(tasks.begin(), tasks.end(),
                     [&state](const Json& it) { return it.value("state", "") == state; });
}

std::vector<std::string> OverlappingRuns(const Cluster& cluster) {
  std::vector<std::string> tasks;
  for (auto& [task, runs] : RunsByTask(cluster)) {
    std::vector<Run> sorted = runs;
    std::sort(sorted.begin(), sorted.end(),
              [](const Run& a, const Run& b) { return a.started < b.started; });
    for (size_t n = 1; n < sorted.size(); ++n) {
      if (sorted[n - 1].ended > sorted[n].started) tasks.push_back(task);
    }
  }
  return tasks;
}

std::map<std::string, int> StartsByTask(const Cluster& cluster) {
  std::map<std::string, int> starts;
  for (const auto& [task, runs] : RunsByTask(cluster)) starts[task] = static_cast<int>(runs.size());
  return starts;
}

bool CapacityHeld(const Cluster& cluster) {
  for (const auto& [id, host] : cluster.hosts().hosts) {
    const Json peak = Get(host.worker, "/runs").at("peak");
    const Resources peak_usage{peak.at("cpu_milli"), peak.at("memory_mb"), peak.at("accelerators")};
    if (!Fits(peak_usage, host.capacity)) return false;
  }
  return true;
}

}  // namespace pomelopond::support
