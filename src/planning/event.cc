#include "planning/event.h"

#include "base/result_code.h"

namespace pomelopond::planning {
namespace {

constexpr int kMaxEventType = static_cast<int>(EventType::kCancel);

// Events are encoded as arrays, not as objects, because member names would take up most of a
// record.
Json ToJson(const Event& event) {
  const int type = static_cast<int>(event.type);
  switch (event.type) {
    case EventType::kAccept:
      return {type, planning::ToJson(event.spec)};
    case EventType::kCancel:
      return {type, event.job};
    case EventType::kGrant:
      return {type, event.task, event.attempt, event.host};
    default:
      return {type, event.task, event.attempt, event.checkpoint};
  }
}

bool IsWellFormed(const Json& value) {
  if (!value.is_array() || value.size() < 2 || !value[0].is_number_integer()) return false;
  const int type = value[0].get<int>();
  if (type < 0 || type > kMaxEventType) return false;
  if (type == static_cast<int>(EventType::kAccept)) return value[1].is_object();
  if (!value[1].is_string()) return false;
  if (type == static_cast<int>(EventType::kCancel)) return true;
  if (value.size() != 4 || !value[2].is_number_integer()) return false;
  return type == static_cast<int>(EventType::kGrant) ? value[3].is_string()
                                                     : value[3].is_number_integer();
}

Result<Event> FromJson(const Json& value) {
  if (!IsWellFormed(value)) return {ResultCode::kStoreBadAnswer, {}};
  Event event;
  event.type = static_cast<EventType>(value[0].get<int>());
  FieldErrors errors;
  switch (event.type) {
    case EventType::kAccept:
      event.spec = ReadJobSpec(value[1], "", &errors);
      if (!errors.empty()) return {ResultCode::kStoreBadAnswer, {}};
      return {{}, event};
    case EventType::kCancel:
      event.job = value[1].get<std::string>();
      return {{}, event};
    case EventType::kGrant:
      event.host = value[3].get<std::string>();
      break;
    default:
      event.checkpoint = value[3].get<int64_t>();
      break;
  }
  event.task = value[1].get<std::string>();
  event.attempt = value[2].get<int64_t>();
  return {{}, event};
}

}  // namespace

Event AcceptEvent(JobSpec spec) {
  Event event;
  event.spec = std::move(spec);
  return event;
}

Event CancelEvent(const std::string& job) {
  Event event;
  event.type = EventType::kCancel;
  event.job = job;
  return event;
}

Event TaskEvent(EventType type, const std::string& task, int64_t attempt) {
  Event event;
  event.type = type;
  event.task = task;
  event.attempt = attempt;
  return event;
}

std::string EncodeEvents(const std::vector<Event>& events) {
  Json list = Json::array();
  for (const Event& it : events) list.push_back(ToJson(it));
  std::string bytes;
  Json::to_msgpack(list, bytes);
  return bytes;
}

Result<std::vector<Event>> DecodeEvents(const std::string& bytes) {
  const Json list = ParseMessagePack(bytes);
  if (!list.is_array()) return {ResultCode::kStoreBadAnswer, {}};
  std::vector<Event> events;
  for (const Json& it : list) {
    Result<Event> event = FromJson(it);
    if (!event.ok()) return {event.ec, {}};
    events.push_back(std::move(event.value));
  }
  return {{}, std::move(events)};
}

}  // namespace pomelopond::planning
