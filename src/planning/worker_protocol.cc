#include "planning/worker_protocol.h"

#include <cstdlib>
#include <limits>

namespace pomelopond::planning {
namespace {

constexpr int64_t kMaxInt = std::numeric_limits<int64_t>::max();
constexpr int64_t kMaxAmount = 1LL << 40;

Json ToJson(const AttemptId& id) { return {{"task", id.task}, {"attempt", id.attempt}}; }

AttemptId ReadAttempt(JsonReader* reader) {
  return {reader->String("task"), reader->Int("attempt", 0, kMaxInt)};
}

Duration ReadMicroseconds(JsonReader* reader, const std::string& key) {
  return Duration(reader->IntOr(key, 0, kMaxInt, 0));
}

// Calls `read(reader)` for each element of an array of objects.
template <class Read>
void ReadEach(JsonReader* reader, const std::string& key, FieldErrors* errors, const Read& read) {
  size_t n = 0;
  for (const Json& it : reader->ArrayOr(key)) {
    JsonReader member(it, reader->PathOf(key) + "[" + std::to_string(n++) + "]", errors);
    read(&member);
    member.Finish();
  }
}

StartOrder ReadStart(JsonReader* reader, FieldErrors* errors) {
  StartOrder start;
  start.id = ReadAttempt(reader);
  start.need = ReadResources(reader->Object("need"), reader->PathOf("need"), errors);
  start.run_time = ReadMicroseconds(reader, "run_us");
  start.checkpoint = reader->IntOr("checkpoint", 0, kMaxInt, 0);
  return start;
}

ReportState ReadReportState(JsonReader* reader) {
  const std::string name = reader->String("state");
  for (const ReportState it : {ReportState::kRunning, ReportState::kStopped, ReportState::kFinished,
                               ReportState::kFailed}) {
    if (name == ReportStateName(it)) return it;
  }
  reader->Fail("state", ResultCode::kBadField, "must be running, stopped, finished or failed");
  return ReportState::kRunning;
}

TaskReport ReadReport(JsonReader* reader, FieldErrors* errors) {
  TaskReport report;
  report.id = ReadAttempt(reader);
  report.state = ReadReportState(reader);
  report.checkpoint = reader->IntOr("checkpoint", 0, kMaxInt, 0);
  report.need = ReadResources(reader->Object("need"), reader->PathOf("need"), errors);
  return report;
}

}  // namespace

const char* ReportStateName(ReportState state) {
  switch (state) {
    case ReportState::kRunning:
      return "running";
    case ReportState::kStopped:
      return "stopped";
    case ReportState::kFinished:
      return "finished";
    case ReportState::kFailed:
      return "failed";
  }
  return "failed";
}

Json ToJson(const Resources& resources) {
  return {{"cpu_milli", resources.cpu_milli},
          {"memory_mb", resources.memory_mb},
          {"accelerators", resources.accelerators}};
}

Resources ReadResources(const Json& document, const std::string& path, FieldErrors* errors) {
  JsonReader reader(document, path, errors);
  Resources resources;
  resources.cpu_milli = reader.IntOr("cpu_milli", 0, kMaxAmount, 0);
  resources.memory_mb = reader.IntOr("memory_mb", 0, kMaxAmount, 0);
  resources.accelerators = reader.IntOr("accelerators", 0, kMaxAmount, 0);
  reader.Finish();
  return resources;
}

Json ToJson(const ExchangeRequest& request) {
  Json starts = Json::array();
  for (const StartOrder& it : request.starts) {
    Json start = ToJson(it.id);
    start["need"] = ToJson(it.need);
    start["run_us"] = it.run_time.count();
    start["checkpoint"] = it.checkpoint;
    starts.push_back(std::move(start));
  }
  Json stops = Json::array();
  for (const AttemptId& it : request.stops) stops.push_back(ToJson(it));
  Json acks = Json::array();
  for (const AttemptId& it : request.acks) acks.push_back(ToJson(it));
  return {{"shard", request.shard},
          {"epoch", request.epoch},
          {"sequence", request.sequence},
          {"incarnation", std::to_string(request.incarnation)},
          {"worker_clock_us", request.worker_clock.count()},
          {"lease_ttl_us", request.lease_ttl.count()},
          {"known", request.known},
          {"starts", starts},
          {"stops", stops},
          {"acks", acks}};
}

ExchangeRequest ReadExchangeRequest(const Json& document, FieldErrors* errors) {
  JsonReader reader(document, "", errors);
  ExchangeRequest request;
  request.shard = reader.String("shard");
  request.epoch = reader.Int("epoch", 1, kMaxInt);
  request.sequence = reader.Int("sequence", 1, kMaxInt);
  request.incarnation = std::strtoull(reader.String("incarnation").c_str(), nullptr, 10);
  request.worker_clock = ReadMicroseconds(&reader, "worker_clock_us");
  request.lease_ttl = ReadMicroseconds(&reader, "lease_ttl_us");
  request.known = reader.IntOr("known", 0, kMaxInt, 0);
  ReadEach(&reader, "starts", errors,
           [&request, errors](JsonReader* it) { request.starts.push_back(ReadStart(it, errors)); });
  ReadEach(&reader, "stops", errors,
           [&request](JsonReader* it) { request.stops.push_back(ReadAttempt(it)); });
  ReadEach(&reader, "acks", errors,
           [&request](JsonReader* it) { request.acks.push_back(ReadAttempt(it)); });
  reader.Finish();
  return request;
}

Json ToJson(const ExchangeReply& reply) {
  Json reports = Json::array();
  for (const TaskReport& it : reply.reports) {
    Json report = ToJson(it.id);
    report["state"] = ReportStateName(it.state);
    report["checkpoint"] = it.checkpoint;
    report["need"] = ToJson(it.need);
    reports.push_back(std::move(report));
  }
  Json refusals = Json::array();
  for (const Refusal& it : reply.refusals) {
    Json refusal = ToJson(it.id);
    refusal["code"] = it.code;
    refusals.push_back(std::move(refusal));
  }
  return {{"code", reply.code},
          {"epoch", reply.epoch},
          {"incarnation", std::to_string(reply.incarnation)},
          {"worker_clock_us", reply.worker_clock.count()},
          {"report_sequence", reply.report_sequence},
          {"full", reply.full},
          {"reports", reports},
          {"refusals", refusals}};
}

ExchangeReply ReadExchangeReply(const Json& document, FieldErrors* errors) {
  JsonReader reader(document, "", errors);
  ExchangeReply reply;
  reply.code = reader.Int("code", 0, kMaxInt);
  reply.epoch = reader.Int("epoch", 0, kMaxInt);
  reply.incarnation = std::strtoull(reader.String("incarnation").c_str(), nullptr, 10);
  reply.worker_clock = ReadMicroseconds(&reader, "worker_clock_us");
  reply.report_sequence = reader.Int("report_sequence", 0, kMaxInt);
  reply.full = reader.BoolOr("full", false);
  ReadEach(&reader, "reports", errors,
           [&reply, errors](JsonReader* it) { reply.reports.push_back(ReadReport(it, errors)); });
  ReadEach(&reader, "refusals", errors, [&reply](JsonReader* it) {
    reply.refusals.push_back({ReadAttempt(it), it->Int("code", 0, kMaxInt)});
  });
  reader.Finish();
  return reply;
}

}  // namespace pomelopond::planning
