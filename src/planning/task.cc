#include "planning/task.h"

#include <cstdlib>

#include "planning/worker_protocol.h"

namespace pomelopond::planning {
namespace {

constexpr int64_t kMaxCount = 10000;
constexpr int64_t kMaxRank = 1000000;
constexpr int64_t kMaxRunMs = 366LL * 24 * 3600 * 1000;
constexpr int64_t kMaxAttempts = 1000;
constexpr int64_t kMaxVersion = 1LL << 62;
constexpr size_t kMaxIdBytes = 128;

JobKind ReadKind(JsonReader* reader) {
  const std::string name = reader->StringOr("kind", "batch");
  for (const JobKind it : {JobKind::kService, JobKind::kBatch, JobKind::kWatch}) {
    if (name == JobKindName(it)) return it;
  }
  reader->Fail("kind", ResultCode::kBadField, "must be service, batch or watch");
  return JobKind::kBatch;
}

bool IsIdentifier(const std::string& text) {
  if (text.empty() || text.size() > kMaxIdBytes) return false;
  for (const char it : text) {
    const bool plain = (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
                       (it >= '0' && it <= '9') || it == '-' || it == '_' || it == '.';
    if (!plain) return false;
  }
  return true;
}

}  // namespace

const char* JobKindName(JobKind kind) {
  switch (kind) {
    case JobKind::kService:
      return "service";
    case JobKind::kBatch:
      return "batch";
    case JobKind::kWatch:
      return "watch";
  }
  return "batch";
}

const char* TaskStateName(TaskState state) {
  switch (state) {
    case TaskState::kPending:
      return "pending";
    case TaskState::kGranted:
      return "granted";
    case TaskState::kRunning:
      return "running";
    case TaskState::kStopping:
      return "stopping";
    case TaskState::kFinished:
      return "finished";
    case TaskState::kFailed:
      return "failed";
    case TaskState::kCancelled:
      return "cancelled";
  }
  return "failed";
}

Json ToJson(const JobSpec& spec) {
  return {{"id", spec.id},
          {"kind", JobKindName(spec.kind)},
          {"team", spec.team},
          {"class", spec.work_class},
          {"rank", spec.rank},
          {"count", spec.count},
          {"need", ToJson(spec.need)},
          {"run_ms", spec.run_time.count() / 1000},
          {"max_attempts", spec.max_attempts},
          {"release_version", spec.release_version}};
}

JobSpec ReadJobSpec(const Json& document, const std::string& path, FieldErrors* errors) {
  JsonReader reader(document, path, errors);
  JobSpec spec;
  spec.id = reader.String("id");
  if (!spec.id.empty() && !IsIdentifier(spec.id)) {
    reader.Fail("id", ResultCode::kBadField,
                "must be at most 128 letters, digits, dots, dashes or underscores");
  }
  spec.kind = ReadKind(&reader);
  spec.team = reader.String("team");
  spec.work_class = reader.StringOr("class", "default");
  spec.rank = reader.IntOr("rank", -kMaxRank, kMaxRank, 0);
  spec.count = reader.IntOr("count", 1, kMaxCount, 1);
  spec.need = ReadResources(reader.Object("need"), reader.PathOf("need"), errors);
  spec.run_time = std::chrono::milliseconds(reader.IntOr("run_ms", 0, kMaxRunMs, 0));
  spec.max_attempts = reader.IntOr("max_attempts", 1, kMaxAttempts, 5);
  spec.release_version = reader.IntOr("release_version", 0, kMaxVersion, 0);
  if (spec.kind == JobKind::kBatch && spec.run_time == Duration::zero()) {
    reader.Fail("run_ms", ResultCode::kBadField, "must be above 0 for a batch job");
  }
  if (spec.need == Resources{}) {
    reader.Fail("need", ResultCode::kBadField, "must ask for some resource");
  }
  reader.Finish();
  return spec;
}

std::string TaskId(const std::string& job, int64_t index) {
  return job + "/" + std::to_string(index);
}

int32_t TaskIndex(const std::string& task) {
  return static_cast<int32_t>(std::strtol(task.c_str() + task.rfind('/') + 1, nullptr, 10));
}

}  // namespace pomelopond::planning
