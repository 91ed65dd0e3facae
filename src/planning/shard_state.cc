#include "planning/shard_state.h"

#include "base/result_code.h"

namespace pomelopond::planning {
namespace {

const Resources& NeedOf(const ShardState& state, const Task& task) {
  return state.jobs.at(task.job).need;
}

// Changes the state of a task and updates the derived tables.
void Transition(ShardState* state, Task* task, TaskState to, const std::string& host) {
  if (OccupiesHost(task->state)) {
    state->granted_by_host[task->host] = state->granted_by_host[task->host] - NeedOf(*state, *task);
    state->tasks_by_host[task->host].erase(task->id);
    if (state->tasks_by_host[task->host].empty()) {
      state->tasks_by_host.erase(task->host);
      state->granted_by_host.erase(task->host);
    }
  }
  task->state = to;
  task->host = OccupiesHost(to) ? host : std::string();
  if (OccupiesHost(to)) {
    state->granted_by_host[host] = state->granted_by_host[host] + NeedOf(*state, *task);
    state->tasks_by_host[host].insert(task->id);
  }
}

bool Accept(ShardState* state, const JobSpec& spec) {
  if (!state->jobs.emplace(spec.id, spec).second) return false;
  for (int64_t n = 0; n < spec.count; ++n) {
    Task task;
    task.id = TaskId(spec.id, n);
    task.job = spec.id;
    state->tasks.emplace(task.id, std::move(task));
  }
  return true;
}

bool Cancel(ShardState* state, const std::string& job) {
  const auto spec = state->jobs.find(job);
  if (spec == state->jobs.end()) return false;
  bool changed = false;
  for (int64_t n = 0; n < spec->second.count; ++n) {
    Task& task = state->tasks.at(TaskId(job, n));
    if (IsTerminal(task.state) || task.cancelled) continue;
    task.cancelled = true;
    changed = true;
    if (task.state == TaskState::kPending) {
      Transition(state, &task, TaskState::kCancelled, {});
    } else {
      Transition(state, &task, TaskState::kStopping, task.host);
    }
  }
  return changed;
}

bool Grant(ShardState* state, Task* task, const Event& event) {
  if (task->state != TaskState::kPending || event.attempt != task->attempt + 1) return false;
  task->attempt = event.attempt;
  Transition(state, task, TaskState::kGranted, event.host);
  return true;
}

// Applies the end of an attempt that did not finish the task.
bool EndAttempt(ShardState* state, Task* task, const Event& event) {
  task->checkpoint = std::max(task->checkpoint, event.checkpoint);
  if (event.type == EventType::kFailed) task->failures += 1;
  const bool exhausted = task->failures >= state->jobs.at(task->job).max_attempts;
  TaskState to = TaskState::kPending;
  if (exhausted) to = TaskState::kFailed;
  if (task->cancelled) to = TaskState::kCancelled;
  Transition(state, task, to, {});
  return true;
}

bool ApplyToTask(ShardState* state, Task* task, const Event& event) {
  if (event.type == EventType::kGrant) return Grant(state, task, event);
  if (event.attempt != task->attempt || !OccupiesHost(task->state)) return false;
  switch (event.type) {
    case EventType::kRunning:
      if (task->state != TaskState::kGranted) return false;
      Transition(state, task, TaskState::kRunning, task->host);
      return true;
    case EventType::kStop:
      if (task->state == TaskState::kStopping) return false;
      Transition(state, task, TaskState::kStopping, task->host);
      return true;
    case EventType::kFinished:
      task->checkpoint = std::max(task->checkpoint, event.checkpoint);
      Transition(state, task, TaskState::kFinished, {});
      return true;
    case EventType::kStopped:
    case EventType::kFailed:
      return EndAttempt(state, task, event);
    default:
      return false;
  }
}

Json ToJson(const Task& task) {
  return {task.id,       task.job,      static_cast<int>(task.state),
          task.host,     task.attempt,  task.checkpoint,
          task.failures, task.cancelled};
}

bool IsWellFormedTask(const Json& value) {
  if (!value.is_array() || value.size() != 8) return false;
  return value[0].is_string() && value[1].is_string() && value[2].is_number_integer() &&
         value[3].is_string() && value[4].is_number_integer() && value[5].is_number_integer() &&
         value[6].is_number_integer() && value[7].is_boolean();
}

bool LoadTask(ShardState* state, const Json& value) {
  if (!IsWellFormedTask(value)) return false;
  Task task;
  task.id = value[0].get<std::string>();
  task.job = value[1].get<std::string>();
  const int number = value[2].get<int>();
  if (number < 0 || number > static_cast<int>(TaskState::kCancelled)) return false;
  if (state->jobs.count(task.job) == 0) return false;
  task.attempt = value[4].get<int64_t>();
  task.checkpoint = value[5].get<int64_t>();
  task.failures = value[6].get<int64_t>();
  task.cancelled = value[7].get<bool>();
  Task& stored = state->tasks.emplace(task.id, std::move(task)).first->second;
  Transition(state, &stored, static_cast<TaskState>(number), value[3].get<std::string>());
  return true;
}

}  // namespace

bool Apply(ShardState* state, const Event& event) {
  if (event.type == EventType::kAccept) return Accept(state, event.spec);
  if (event.type == EventType::kCancel) return Cancel(state, event.job);
  const auto it = state->tasks.find(event.task);
  if (it == state->tasks.end()) return false;
  return ApplyToTask(state, &it->second, event);
}

Resources GrantedOn(const ShardState& state, const std::string& host) {
  const auto it = state.granted_by_host.find(host);
  return it == state.granted_by_host.end() ? Resources{} : it->second;
}

std::string EncodeSnapshot(const ShardState& state) {
  Json jobs = Json::array();
  for (const auto& [id, spec] : state.jobs) jobs.push_back(planning::ToJson(spec));
  Json tasks = Json::array();
  for (const auto& [id, task] : state.tasks) tasks.push_back(ToJson(task));
  std::string bytes;
  Json::to_msgpack(Json{{"jobs", jobs}, {"tasks", tasks}}, bytes);
  return bytes;
}

Result<ShardState> DecodeSnapshot(const std::string& bytes) {
  const Result<ShardState> bad{ResultCode::kStoreBadAnswer, {}};
  const Json document = ParseMessagePack(bytes);
  if (!document.is_object() || !document.contains("jobs") || !document.contains("tasks")) {
    return bad;
  }
  ShardState state;
  FieldErrors errors;
  for (const Json& it : document["jobs"]) {
    JobSpec spec = ReadJobSpec(it, "", &errors);
    const std::string id = spec.id;
    state.jobs.emplace(id, std::move(spec));
  }
  if (!errors.empty()) return bad;
  for (const Json& it : document["tasks"]) {
    if (!LoadTask(&state, it)) return bad;
  }
  return {{}, std::move(state)};
}

Result<ShardState> Rebuild(const std::string& snapshot, const std::vector<std::string>& records) {
  Result<ShardState> state;
  if (!snapshot.empty()) state = DecodeSnapshot(snapshot);
  if (!state.ok()) return state;
  for (const std::string& record : records) {
    const Result<std::vector<Event>> events = DecodeEvents(record);
    if (!events.ok()) return {events.ec, {}};
    for (const Event& it : events.value) Apply(&state.value, it);
  }
  return state;
}

}  // namespace pomelopond::planning
