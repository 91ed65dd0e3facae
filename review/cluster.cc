#include "cluster.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;

// The `run` line of the deploy file.
constexpr const char* kProgram = "target/bin/pomelopond-entry";
constexpr const char* kQueueHost = "nony24.example";
constexpr const char* kStoreAddress = "127.0.0.60";
constexpr int kFirstHost = 2;
constexpr int kCallTimeoutMs = 3000;
constexpr int kProbeTimeoutMs = 500;
constexpr int64_t kReadyMs = 30000;
constexpr int64_t kPollMs = 10;
constexpr size_t kMaxPrintedBreaches = 20;

}  // namespace

std::string Config(int version, int max_attempts, const std::vector<std::string>& prefixes) {
  Json routes = Json::array();
  for (const std::string& it : prefixes) {
    routes.push_back({{"name", "r-" + it.substr(1, it.size() - 2)},
                      {"host", kQueueHost},
                      {"prefix", it},
                      {"type", "non_idempotent"},
                      {"timeout_ms", 3000},
                      {"target_duration_ms", 1000},
                      {"priority", 0},
                      {"service", kService},
                      {"max_attempts", max_attempts},
                      {"stretch", 1.5}});
  }
  const Json service = {{"name", kService}, {"enforces_capacity", true}};
  return Json{{"version", version},
              {"routes", routes},
              {"services", Json::array({service})},
              {"limits", Json::object()}}
      .dump();
}

EntryHost::EntryHost(int number, const std::string& folder, const std::string& store)
    : name_("edge-" + std::to_string(number)),
      settings_(folder + "/" + name_ + ".json"),
      log_(folder + "/" + name_ + ".log") {
  const std::string address = "127.0.0." + std::to_string(number);
  callers_ = address + ":" + std::to_string(FreePort(address));
  readiness_ = address + ":" + std::to_string(FreePort(address));
  // As deploy/entry.json.tmpl renders it for a small installation, but for the metrics port.
  const Json settings = {{"max_lease_ms", 10000},
                         {"stop_limit_s", 6},
                         {"status_time_s", 120},
                         {"processor_share", 0.25},
                         {"processor_cores", 1},
                         {"host", name_},
                         {"failure_domain", "seeb-a"},
                         {"callers", callers_},
                         {"readiness", readiness_},
                         {"metrics_port", FreePort(address)},
                         {"store", store}};
  std::ofstream(settings_) << settings.dump(2) << "\n";
}

void EntryHost::Start() {
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ != 0) return;
  // The process must not outlive the case.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) std::_Exit(kCouldNotRun);
  const int fd = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  setenv("POMELOPOND_SETTINGS", settings_.c_str(), 1);
  execl(kProgram, kProgram, nullptr);
  std::_Exit(kCouldNotRun);
}

void EntryHost::Signal(int signal) {
  if (pid_ > 0) kill(pid_, signal);
}

void EntryHost::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

bool EntryHost::IsReady() const {
  return Call(readiness_, "GET", "/api/ready", "", "", kProbeTimeoutMs).status == 200;
}

Cluster::Cluster(int n) : store(kStoreAddress) {
  std::string pattern = "/tmp/pomelopond-review-XXXXXX";
  folder = mkdtemp(pattern.data());
  store.Start();
  for (int k = 0; k < n; ++k) hosts.emplace_back(kFirstHost + k, folder, store.Endpoint());
}

void Cluster::Stop() {
  for (EntryHost& it : hosts) it.Kill();
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(folder);
}

bool Cluster::Start(int max_attempts) {
  store.Put("op/config", Config(1, max_attempts, {kPrefix}));
  for (EntryHost& it : hosts) it.Start();
  return WaitUntil(kReadyMs, [this] {
    for (const EntryHost& it : hosts) {
      if (!it.IsReady()) return false;
    }
    return Owner() != nullptr;
  });
}

void Cluster::AddHost() {
  hosts.emplace_back(kFirstHost + static_cast<int>(hosts.size()), folder, store.Endpoint());
  hosts.back().Start();
}

EntryHost* Cluster::Owner() {
  const std::string term = store.ValueOf("pomelopond/term");
  if (term.empty()) return nullptr;
  const std::string process = Json::from_msgpack(term).at(1);
  for (EntryHost& it : hosts) {
    if (process.compare(0, it.Name().size() + 1, it.Name() + "-") == 0) return &it;
  }
  return nullptr;
}

Answer Cluster::Submit(const EntryHost& host, const std::string& id, const std::string& steps) {
  ledger.Record("client sends POST " + id + " to " + host.Name());
  const Answer answer = Call(host.Callers(), "POST", std::string(kPrefix) + id, kQueueHost,
                             R"({"spec":"survey","steps":)" + steps + "}", kCallTimeoutMs);
  ledger.Record("client gets " + std::to_string(answer.status) + " for POST " + id);
  return answer;
}

Answer Cluster::StateOf(const EntryHost& host, const std::string& id) {
  const Answer answer =
      Call(host.Callers(), "GET", std::string(kPrefix) + id, kQueueHost, "", kCallTimeoutMs);
  ledger.Record("client gets " + std::to_string(answer.status) + " " + answer.body + " for GET " +
                id);
  return answer;
}

Answer Cluster::CountOf(const EntryHost& host, const std::string& prefix) {
  const Answer answer = Call(host.Callers(), "GET", prefix, kQueueHost, "", kCallTimeoutMs);
  ledger.Record("client gets " + std::to_string(answer.status) + " " + answer.body + " for GET " +
                prefix + " from " + host.Name());
  return answer;
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

bool WaitUntil(int64_t ms, const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
  while (std::chrono::steady_clock::now() < until) {
    if (condition()) return true;
    SleepMs(kPollMs);
  }
  return condition();
}

void Finish(Cluster* cluster, const std::string& record, const std::vector<std::string>& breaches) {
  for (const std::string& it : breaches) cluster->ledger.Record("BROKEN " + it);
  cluster->ledger.Record(breaches.empty() ? "the rule held"
                                          : std::to_string(breaches.size()) + " breaches");
  cluster->ledger.Write(record);
  for (size_t n = 0; n < breaches.size() && n < kMaxPrintedBreaches; ++n) {
    std::cout << "BROKEN " << breaches[n] << "\n";
  }
  std::cout << breaches.size() << " breaches" << std::endl;
  cluster->Stop();
  std::_Exit(breaches.empty() ? kHeld : kBroken);
}

void GiveUp(Cluster* cluster, const std::string& record, const std::string& reason) {
  cluster->ledger.Record("could not run: " + reason);
  cluster->ledger.Write(record);
  std::cout << "could not run: " << reason << std::endl;
  cluster->Stop();
  std::_Exit(kCouldNotRun);
}

}  // namespace review
