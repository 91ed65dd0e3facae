#include "jobs/progress.h"

#include <algorithm>
#include <cstdint>
#include <map>

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

constexpr int kBitsPerByte = 8;

// What is stored of an open occurrence.
struct Occurrence {
  std::vector<std::vector<uint8_t>> done;  // by step, a bit for each task up to the last done one
  Json tasks = Json::array();              // that are not done and have left something
};

void SetBit(std::vector<std::vector<uint8_t>>* steps, int step, int index) {
  const auto place = static_cast<size_t>(step);
  const auto byte = static_cast<size_t>(index / kBitsPerByte);
  if (steps->size() <= place) steps->resize(place + 1);
  std::vector<uint8_t>& bits = (*steps)[place];
  if (bits.size() <= byte) bits.resize(byte + 1);
  bits[byte] = static_cast<uint8_t>(bits[byte] | (1U << (index % kBitsPerByte)));
}

// Reads failed runs, checkpoint and its run from `row`, beginning at `position`.
TaskProgress TaskFromJson(const Json& row, size_t position) {
  TaskProgress task;
  for (const Json& it : row.at(position)) {
    task.failed_runs.push_back(RequireWholeNumber(it, "failed run", 0, kMaxRun));
  }
  row.at(position + 1).get_to(task.checkpoint);
  task.checkpoint_run = RequireWholeNumber(row.at(position + 2), "checkpoint run", 0, kMaxRun);
  return task;
}

void ReadOccurrence(const Json& in, JobProgress* progress) {
  const int k = IndexAt(in, 0);
  progress->open.insert(k);
  int step = 0;
  for (const Json& it : in.at(1)) {
    const auto& bits = it.get_ref<const Json::binary_t&>();
    for (size_t n = 0; n < bits.size() * kBitsPerByte; ++n) {
      if ((bits[n / kBitsPerByte] >> (n % kBitsPerByte) & 1U) == 0) continue;
      progress->tasks[{k, step, static_cast<int>(n)}].done = true;
    }
    step += 1;
  }
  for (const Json& it : in.at(2)) {
    progress->tasks[{k, IndexAt(it, 0), IndexAt(it, 1)}] = TaskFromJson(it, 2);
  }
}

// Tasks of all occurrences of a job, as earlier versions accepted them.
constexpr int64_t kMaxListedTasks = 200000;

// The form of earlier versions: all tasks of all occurrences that have left something.
void ReadTaskList(const Json& in, JobProgress* progress) {
  for (const Json& it : in) {
    const int k = static_cast<int>(RequireWholeNumber(it.at(0), "occurrence", 0, kMaxListedTasks));
    TaskProgress task = TaskFromJson(it, 4);
    it.at(3).get_to(task.done);
    progress->tasks[{k, IndexAt(it, 1), IndexAt(it, 2)}] = std::move(task);
    progress->begun = std::max(progress->begun, k + 1);
  }
  for (int k = 0; k < progress->begun; ++k) progress->open.insert(k);
}

}  // namespace

const char* JobStateName(JobState state) { return kStateNames[static_cast<int>(state)]; }

bool IsDone(const JobProgress& progress, const TaskId& task) {
  const auto it = progress.tasks.find({task.occurrence, task.step, task.index});
  if (it != progress.tasks.end()) return it->second.done;
  return task.occurrence < progress.begun && progress.open.count(task.occurrence) == 0;
}

std::string Encode(const JobProgress& progress) {
  std::map<int, Occurrence> occurrences;
  for (const int it : progress.open) occurrences[it];
  for (const auto& [key, it] : progress.tasks) {
    const auto& [k, step, index] = key;
    if (it.done) {
      SetBit(&occurrences[k].done, step, index);
    } else {
      occurrences[k].tasks.push_back(
          {step, index, it.failed_runs, it.checkpoint, it.checkpoint_run});
    }
  }
  Json open = Json::array();
  for (auto& [k, it] : occurrences) {
    Json done = Json::array();
    for (std::vector<uint8_t>& bits : it.done) done.push_back(Json::binary(std::move(bits)));
    open.push_back({k, std::move(done), std::move(it.tasks)});
  }
  const Json out = {{"state", static_cast<int>(progress.state)},
                    {"finished_ms", progress.finished_ms},
                    {"begun", progress.begun},
                    {"open", std::move(open)}};
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
    if (in.contains("tasks")) {
      ReadTaskList(in.at("tasks"), &progress);
    } else {
      progress.begun = static_cast<int>(RequireWholeNumber(in.at("begun"), "begun", 0, kMaxInt));
      for (const Json& it : in.at("open")) ReadOccurrence(it, &progress);
    }
  } catch (const Json::exception&) {
    return {ResultCode::kStoreBadAnswer, {}};
  }
  return {{}, std::move(progress)};
}

}  // namespace pomelopond::jobs
