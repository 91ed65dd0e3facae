#include "jobs/progress.h"

#include "base/result_code.h"

namespace pomelopond::jobs {
namespace {

constexpr int kJobStateCount = 5;
constexpr const char* kStateNames[kJobStateCount] = {"pending", "running", "completed", "failed",
                                                     "cancelled"};

}  // namespace

const char* JobStateName(JobState state) { return kStateNames[static_cast<int>(state)]; }

std::string Encode(const JobProgress& progress) {
  Json tasks = Json::array();
  for (const auto& [key, it] : progress.tasks) {
    const auto& [occurrence, step, index] = key;
    tasks.push_back(
        {occurrence, step, index, it.done, it.failed_runs, it.checkpoint, it.checkpoint_run});
  }
  const Json out = {{"state", static_cast<int>(progress.state)},
                    {"finished_ms", progress.finished_ms},
                    {"tasks", std::move(tasks)}};
  std::string bytes;
  Json::to_msgpack(out, bytes);
  return bytes;
}

Result<JobProgress> DecodeProgress(const std::string& bytes) {
  const Json in = ParseMessagePack(bytes);
  JobProgress progress;
  try {
    const int state = in.at("state").get<int>();
    if (state < 0 || state >= kJobStateCount) return {ResultCode::kStoreBadAnswer, {}};
    progress.state = static_cast<JobState>(state);
    in.at("finished_ms").get_to(progress.finished_ms);
    for (const Json& it : in.at("tasks")) {
      TaskProgress task;
      it.at(3).get_to(task.done);
      it.at(4).get_to(task.failed_runs);
      it.at(5).get_to(task.checkpoint);
      it.at(6).get_to(task.checkpoint_run);
      progress.tasks[{it.at(0).get<int>(), it.at(1).get<int>(), it.at(2).get<int>()}] =
          std::move(task);
    }
  } catch (const Json::exception&) {
    return {ResultCode::kStoreBadAnswer, {}};
  }
  return {{}, std::move(progress)};
}

}  // namespace pomelopond::jobs
