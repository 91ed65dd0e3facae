#include "jobs/job.h"

#include <algorithm>
#include <numeric>

#include "base/integer.h"
#include "base/result_code.h"
#include "jobs/limits.h"

namespace pomelopond::jobs {
namespace {

constexpr int kMaxReplicas = 10000;

int64_t NumberAt(const Json& in, const char* key, int64_t min, int64_t max) {
  return RequireWholeNumber(in.at(key), key, min, max);
}

int CountAt(const Json& in, const char* key) {
  return static_cast<int>(NumberAt(in, key, 0, kMaxInt));
}

Json ToJson(const Step& step) {
  return {{"replicas", step.replicas},
          {"cpu", step.request.cpu_milli},
          {"memory", step.request.memory_mb},
          {"accelerators", step.request.accelerators},
          {"estimate_ms", step.estimate_ms},
          {"after", step.after},
          {"checkpoint", step.checkpoint},
          {"gang", step.gang},
          {"same_rack", step.same_rack},
          {"label", step.required_label},
          {"rack", step.preferred_rack},
          {"max_per_worker", step.max_per_worker},
          {"speculative", step.speculative},
          {"perpetual", step.perpetual},
          {"image", step.image},
          {"target_tail_ms", step.target_tail_ms},
          {"fills", step.best_effort},
          {"max_unavailable", step.max_unavailable}};
}

Step StepFromJson(const Json& in) {
  Step step;
  step.replicas = CountAt(in, "replicas");
  step.request.cpu_milli = NumberAt(in, "cpu", 0, kMaxResourceAmount);
  step.request.memory_mb = NumberAt(in, "memory", 0, kMaxResourceAmount);
  step.request.accelerators = NumberAt(in, "accelerators", 0, kMaxResourceAmount);
  step.estimate_ms = NumberAt(in, "estimate_ms", 0, kMaxDurationMs);
  for (const Json& it : in.at("after")) {
    step.after.push_back(static_cast<int>(RequireWholeNumber(it, "after", 0, kMaxSteps)));
  }
  in.at("checkpoint").get_to(step.checkpoint);
  in.at("gang").get_to(step.gang);
  in.at("same_rack").get_to(step.same_rack);
  in.at("label").get_to(step.required_label);
  in.at("rack").get_to(step.preferred_rack);
  step.max_per_worker = CountAt(in, "max_per_worker");
  in.at("speculative").get_to(step.speculative);
  in.at("perpetual").get_to(step.perpetual);
  in.at("image").get_to(step.image);
  step.target_tail_ms = NumberAt(in, "target_tail_ms", 0, kMaxDurationMs);
  in.at("fills").get_to(step.best_effort);
  step.max_unavailable = CountAt(in, "max_unavailable");
  return step;
}

Json ToJson(const QueueRules& rules) {
  return {{"queue", rules.queue},
          {"service", rules.service},
          {"priority", rules.priority},
          {"max_attempts", rules.max_attempts},
          {"stretch", rules.stretch},
          {"target_duration_ms", rules.target_duration_ms},
          {"needs_permits", rules.needs_permits}};
}

QueueRules RulesFromJson(const Json& in) {
  QueueRules rules;
  in.at("queue").get_to(rules.queue);
  in.at("service").get_to(rules.service);
  rules.priority = static_cast<int>(NumberAt(in, "priority", kMinInt, kMaxInt));
  rules.max_attempts = CountAt(in, "max_attempts");
  rules.stretch = RequireNumber(in.at("stretch"), "stretch", 0, kMaxStretch);
  rules.target_duration_ms = NumberAt(in, "target_duration_ms", 0, kMaxDurationMs);
  // Absent from jobs that earlier versions stored.
  rules.needs_permits = in.value("needs_permits", false);
  return rules;
}

std::string ValidationError(const Step& step, int position) {
  if (step.replicas < 1 || step.replicas > kMaxReplicas) return "replicas is out of range";
  const Resources& need = step.request;
  if (need.cpu_milli < 0 || need.memory_mb < 0 || need.accelerators < 0) {
    return "a requested amount is negative";
  }
  for (const int it : step.after) {
    if (it < 0 || it >= position) return "it waits for a step that is not earlier";
  }
  return {};
}

}  // namespace

int64_t TasksOfOccurrence(const Job& job) {
  return std::accumulate(job.steps.begin(), job.steps.end(), int64_t{0},
                         [](int64_t sum, const Step& it) { return sum + it.replicas; });
}

bool IsPerpetual(const Job& job) {
  return std::any_of(job.steps.begin(), job.steps.end(),
                     [](const Step& it) { return it.perpetual; });
}

std::string Encode(const Job& job) {
  Json steps = Json::array();
  for (const Step& it : job.steps) steps.push_back(ToJson(it));
  const Json out = {{"id", job.id},
                    {"spec", job.spec},
                    {"rules", ToJson(job.rules)},
                    {"steps", std::move(steps)},
                    {"occurrences", job.occurrences},
                    {"first_ms", job.first_ms},
                    {"interval_ms", job.interval_ms},
                    {"accepted_ms", job.accepted_ms}};
  std::string bytes;
  Json::to_msgpack(out, bytes);
  return bytes;
}

Result<Job> DecodeJob(const std::string& bytes) {
  const Json in = ParseMessagePack(bytes);
  Job job;
  try {
    in.at("id").get_to(job.id);
    in.at("spec").get_to(job.spec);
    job.rules = RulesFromJson(in.at("rules"));
    for (const Json& it : in.at("steps")) job.steps.push_back(StepFromJson(it));
    job.occurrences = CountAt(in, "occurrences");
    job.first_ms = NumberAt(in, "first_ms", -kMaxTimeMs, kMaxTimeMs);
    job.interval_ms = NumberAt(in, "interval_ms", 0, kMaxDurationMs);
    job.accepted_ms = NumberAt(in, "accepted_ms", 0, kMaxTimeMs);
    // Throws for text that is not valid UTF-8, as it could not be passed on to a worker.
    static_cast<void>(in.dump());
  } catch (const Json::exception&) {
    return {ResultCode::kStoreBadAnswer, {}};
  }
  if (!ValidationError(job).empty()) return {ResultCode::kStoreBadAnswer, {}};
  return {{}, std::move(job)};
}

std::string ValidationError(const Job& job) {
  if (job.spec.size() > static_cast<size_t>(kMaxSpecBytes)) return "spec is longer than 4000 bytes";
  if (job.steps.empty()) return "there are no steps";
  if (job.steps.size() > static_cast<size_t>(kMaxSteps)) return "there are more than 1000 steps";
  int64_t tasks = 0;
  for (size_t n = 0; n < job.steps.size(); ++n) {
    const std::string error = ValidationError(job.steps[n], static_cast<int>(n));
    if (!error.empty()) return "step " + std::to_string(n) + ": " + error;
    tasks += job.steps[n].replicas;
  }
  if (tasks > kMaxTasks) return "there are more than 50000 tasks";
  if (job.occurrences < 0 || job.interval_ms < 0) return "times or interval is negative";
  if (tasks * Occurrences(job) > kMaxTasksOfAllOccurrences) {
    return "there are more than 200000 tasks in all times";
  }
  return {};
}

}  // namespace pomelopond::jobs
