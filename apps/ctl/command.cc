#include "apps/ctl/command.h"

#include <algorithm>
#include <cstdio>

namespace pomelopond::apps {
namespace {

constexpr int kClassOffset = 2;  // exit statuses 0 to 2 have the same meaning in all programs
constexpr int64_t kInternalClass = 6;

std::string FormatRow(const std::vector<std::string>& cells) {
  std::string line;
  for (const std::string& it : cells) {
    char buf[160];
    std::snprintf(buf, sizeof(buf), "%-24s ", it.c_str());
    line += buf;
  }
  while (!line.empty() && line.back() == ' ') line.pop_back();
  return line + "\n";
}

std::string FieldText(const Json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end()) return "-";
  return it->is_string() ? it->get<std::string>() : it->dump();
}

std::string FormatRows(const Json& list, const std::vector<const char*>& columns) {
  std::vector<std::string> head(columns.begin(), columns.end());
  std::string text = FormatRow(head);
  for (const Json& it : list) {
    std::vector<std::string> cells;
    for (const char* column : columns) cells.push_back(FieldText(it, column));
    text += FormatRow(cells);
  }
  return text;
}

Json DrainNote(const std::string& name, const std::string& kind, const std::string& id,
               int64_t version) {
  Json note = {{"base", version}, {"author", "pomelopondctl"}};
  if (name == "drain") {
    note["add"]["drains"][id] = {{"kind", kind}};
  } else {
    note["withdraw"]["drains"] = Json::array({id});
  }
  return note;
}

}  // namespace

const std::vector<CommandHelp>& CommandHelps() {
  static const std::vector<CommandHelp> helps = {
      {"validate FILE", "check a release note without sending it"},
      {"apply FILE", "submit a release note for acceptance"},
      {"rebase FILE",
       "apply a note, rebased to the release in force if no object it changes has changed"},
      {"release", "print the release in force"},
      {"diff FILE", "compare a release printed earlier with the release in force"},
      {"status", "print how many processes hold the release in force, and which do not"},
      {"explain", "print how the members' policies were resolved"},
      {"history [FROM]", "print accepted notes with their approvers"},
      {"hosts", "print the worker hosts"},
      {"drain host|failure_domain ID", "move work away from a host or a failure domain"},
      {"restore ID", "end a drain"},
      {"submit FILE", "submit a job or a watch"},
      {"job ID", "print a job and its tasks"},
      {"cancel ID...", "cancel jobs"},
      {"shards", "print the shards that the scheduler of this host owns"}};
  return helps;
}

bool TakesFile(const std::string& name) {
  return name == "validate" || name == "apply" || name == "rebase" || name == "submit" ||
         name == "diff";
}

bool NeedsVersion(const std::string& name) { return name == "drain" || name == "restore"; }

Command ParseCommand(const std::vector<std::string>& words, const std::string& file,
                     int64_t version) {
  const std::string& name = words[0];
  if (words.size() == 1) {
    for (const char* it : {"release", "status", "explain", "history", "hosts", "shards"}) {
      if (name == it) return {"GET", "/v1/" + name, {}};
    }
    return {};
  }
  const std::string& word = words[1];
  if (name == "drain" && words.size() == 3) {
    return {"POST", "/v1/release?rebase=1", DrainNote(name, word, words[2], version).dump()};
  }
  if (words.size() != 2) return {};
  if (name == "restore") {
    return {"POST", "/v1/release?rebase=1", DrainNote(name, {}, word, version).dump()};
  }
  if (name == "apply") return {"POST", "/v1/release", file};
  if (name == "rebase") return {"POST", "/v1/release?rebase=1", file};
  if (name == "diff") return {"GET", "/v1/release", {}};
  if (name == "history") return {"GET", "/v1/history?from=" + word, {}};
  if (name == "submit") return {"POST", "/v1/jobs", file};
  if (name == "job") return {"GET", "/v1/jobs/" + word, {}};
  if (name == "cancel") return {"POST", "/v1/jobs/" + word + "/cancel", {}};
  return {};
}

std::string FormatAnswer(const std::string& name, const Json& answer) {
  if (name == "job" && answer.contains("tasks")) {
    return FormatRows(answer["tasks"], {"id", "state", "host", "attempt", "checkpoint"});
  }
  if (name == "hosts" && answer.contains("hosts")) {
    return FormatRows(answer["hosts"],
                      {"id", "failure_domain", "rack", "state", "cpu_milli", "memory_mb"});
  }
  if (name == "shards" && answer.contains("owned")) {
    return FormatRows(answer["owned"], {"shard", "epoch", "jobs", "hosts", "hosts_confirmed"});
  }
  if (name == "history" && answer.contains("entries")) {
    return FormatRows(answer["entries"], {"version", "approver", "time_ms"});
  }
  if (name == "explain" && answer.contains("decisions")) {
    return FormatRows(answer["decisions"], {"subject", "decided_by", "policy", "value", "votes"});
  }
  return answer.dump(2) + "\n";
}

int ExitStatusOf(const http::HttpResponse& response) {
  if (response.status < 300) return 0;
  const Result<Json> body = ParseJson(response.body);
  if (!body.ok() || !body.value.is_object()) return kClassOffset + static_cast<int>(kInternalClass);
  const int64_t code = body.value.value("code", kInternalClass * 100);
  return kClassOffset + static_cast<int>(std::clamp<int64_t>(code / 100, 1, 7));
}

}  // namespace pomelopond::apps
