#include "jobs/progress.h"

#include "base/integer.h"
#include "base/result_code.h"
#include "jobs/limits.h"

namespace pomelopond::jobs {
namespace {

constexpr int kJobStateCount = 5;
constexpr const char* kStateNames[kJobStateCount] = {"pending", "running", "completed", "failed",
                                                     "cancelled"};

int IndexAt(const Json& row, size_t position) {
  return static_cast<int>(RequireWholeNumber(row.at(position), "index", 0, kMaxInt));
}

TaskProgress TaskFromJson(const Json& row) {
  TaskProgress task;
  row.at(3).get_to(task.done);
  for (const Json& it : row.at(4)) {
    task.failed_runs.push_back(RequireWholeNumber(it, "failed run", 0, kMaxRun));
  }
  row.at(5).get_to(task.checkpoint);
  task.checkpoint_run = RequireWholeNumber(row.at(6), "checkpoint run", 0, kMaxRun);
  return task;
}

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
    progress.state =
        static_cast<JobState>(RequireWholeNumber(in.at("state"), "state", 0, kJobStateCount - 1));
    progress.finished_ms = RequireWholeNumber(in.at("finished_ms"), "finished_ms", 0, kMaxTimeMs);
    for (const Json& it : in.at("tasks")) {
      progress.tasks[{IndexAt(it, 0), IndexAt(it, 1), IndexAt(it, 2)}] = TaskFromJson(it);
    }
  } catch (const Json::exception&) {
    return {ResultCode::kStoreBadAnswer, {}};
  }
  return {{}, std::move(progress)};
}

}  // namespace pomelopond::jobs
