#include "deployment.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace pomelopond::review {
namespace {

constexpr const char* kProgram = "target/bin/pomelopond-entry";
constexpr const char* kService = "svc-a";
constexpr const char* kHost = "a.example";
constexpr const char* kPrefix = "/jobs/";
constexpr milliseconds kCallTimeout{3000};
constexpr milliseconds kPoll{50};
constexpr milliseconds kStartTimeout{15000};

Json Config() {
  Json route = {{"name", "route-a"},        {"host", kHost},      {"prefix", kPrefix},
                {"type", "non_idempotent"}, {"timeout_ms", 3000}, {"target_duration_ms", 250},
                {"service", kService},      {"max_attempts", 3},  {"stretch", 1.5}};
  return {{"version", 7},
          {"routes", {route}},
          {"services", {{{"name", kService}, {"enforces_capacity", true}}}},
          {"limits", Json::object()}};
}

}  // namespace

Deployment::Deployment(const DeploymentOptions& options, Record* record, Journal* journal)
    : options_(options), record_(record), journal_(journal) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "pomelopond-case-XXXXXX").string();
  if (mkdtemp(pattern.data()) != nullptr) folder_ = pattern;
}

Deployment::~Deployment() {
  for (int n = 0; n < daemons(); ++n) KillDaemon(n);
  for (std::thread& it : registrations_) it.join();
  executors_.clear();
  store_.reset();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ec;
    std::filesystem::remove_all(folder_, ec);
  }
}

bool Deployment::Start() {
  if (folder_.empty() || access(kProgram, X_OK) != 0) return false;
  store_address_ = {"127.0.20.1", FreePort("127.0.20.1")};
  store_ = std::make_unique<Store>(store_address_);
  if (!store_->listening()) return false;
  store_->Put("op/config", Config());
  for (int n = 0; n < options_.executors; ++n) {
    const std::string ip = "127.0.21." + std::to_string(n + 1);
    ExecutorOptions it;
    it.id = "i-" + std::to_string(n + 1);
    it.service = kService;
    it.address = {ip, FreePort(ip)};
    it.hold_max_ms = options_.hold_max_ms;
    it.records_runs = options_.records_runs;
    executor_options_.push_back(it);
    executors_.emplace_back();
    StartExecutor(n);
    if (!executor(n)->listening()) return false;
  }
  for (int n = 0; n < options_.daemons; ++n) {
    const std::string ip = "127.0.22." + std::to_string(n + 1);
    Daemon it;
    it.name = "edge-" + std::to_string(n + 1);
    it.callers = {ip, FreePort(ip)};
    it.readiness = {ip, FreePort(ip)};
    it.metrics_port = FreePort(ip);
    daemons_.push_back(it);
    StartDaemon(n);
  }
  const std::string id = MakeId(999999);
  const auto until = Clock::now() + kStartTimeout;
  while (Submit(0, id, MakeJob("work 20", 1, 100)) != 200) {
    if (Clock::now() > until) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return Await(id, "completed", kStartTimeout);
}

void Deployment::WriteSettings(const Daemon& daemon) const {
  const auto text = [](const Address& it) { return it.ip + ":" + std::to_string(it.port); };
  const Json out = {{"host", daemon.name},
                    {"failure_domain", "zone-a"},
                    {"callers", text(daemon.callers)},
                    {"readiness", text(daemon.readiness)},
                    {"metrics_port", daemon.metrics_port},
                    {"store", text(store_address_)},
                    {"processor_share", options_.cpu_share},
                    {"processor_cores", 1},
                    {"link_mbps", 1000},
                    {"max_lease_ms", options_.hold_max_ms},
                    {"stop_limit_s", 6},
                    {"status_time_s", 120}};
  std::ofstream(folder_ + "/" + daemon.name + ".json") << out.dump(2) << "\n";
}

void Deployment::StartDaemon(int n) {
  Daemon& daemon = daemons_[Index(n)];
  WriteSettings(daemon);
  const std::string log = folder_ + "/" + daemon.name + ".log";
  const std::string settings = "POMELOPOND_SETTINGS=" + folder_ + "/" + daemon.name + ".json";
  const pid_t pid = fork();
  if (pid == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    std::string program = kProgram;
    std::string variable = settings;
    std::array<char*, 2> argv = {program.data(), nullptr};
    std::array<char*, 2> envp = {variable.data(), nullptr};
    execve(kProgram, argv.data(), envp.data());
    _exit(127);
  }
  daemon.pid = pid;
  record_->Line("daemon " + daemon.name + " starts");
}

void Deployment::Signal(int n, int signal) {
  const Daemon& daemon = daemons_[Index(n)];
  if (daemon.pid <= 0) return;
  record_->Line("daemon " + daemon.name + " gets signal " + std::to_string(signal));
  kill(daemon.pid, signal);
}

void Deployment::KillDaemon(int n) {
  Daemon& daemon = daemons_[Index(n)];
  if (daemon.pid <= 0) return;
  Signal(n, SIGKILL);
  waitpid(daemon.pid, nullptr, 0);
  daemon.pid = -1;
}

int64_t Deployment::ResidentBytes(int n) {
  const Daemon& daemon = daemons_[Index(n)];
  if (daemon.pid <= 0) return 0;
  std::ifstream in("/proc/" + std::to_string(daemon.pid) + "/statm");
  int64_t size = 0;
  int64_t resident = 0;
  in >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

int Deployment::Owner() {
  int owner = -1;
  int64_t last = 0;
  for (int n = 0; n < daemons(); ++n) {
    if (daemons_[Index(n)].pid <= 0) continue;
    std::ifstream in(folder_ + "/" + daemons_[Index(n)].name + ".log");
    bool owns = false;
    int64_t epoch = 0;
    for (std::string line; std::getline(in, line);) {
      if (line.find("stepped_down") != std::string::npos) owns = false;
      if (line.find("\"started\"") != std::string::npos) owns = false;
      const size_t at = line.find("took_over");
      if (at == std::string::npos) continue;
      owns = true;
      const size_t number = line.find("epoch", at);
      epoch = std::strtoll(line.c_str() + line.find_first_of("0123456789", number), nullptr, 10);
    }
    if (!owns || epoch <= last) continue;
    owner = n;
    last = epoch;
  }
  return owner;
}

void Deployment::StopExecutor(int n) {
  record_->Line("executor " + executor_options_[Index(n)].id + " ends");
  executors_[Index(n)].reset();
}

void Deployment::StartExecutor(int n) {
  const ExecutorOptions& it = executor_options_[Index(n)];
  record_->Line("executor " + it.id + " starts");
  executors_[Index(n)] = std::make_unique<Executor>(it, record_, journal_);
  // The executor's own write takes as long as any other call to the store.
  registrations_.emplace_back([this, key = "servers/" + it.id, entry = executor(n)->Entry()] {
    std::this_thread::sleep_for(store_->delay());
    store_->Put(key, entry);
  });
}

Call Deployment::MakeCall(const std::string& method, const std::string& id,
                          const std::string& body) const {
  Call call;
  call.method = method;
  call.path = kPrefix + id;
  call.headers = {{"Host", kHost}, {"Pomelopond-Deadline-Ms", "3000"}};
  if (!body.empty()) call.headers["Content-Type"] = "application/json";
  call.body = body;
  return call;
}

int Deployment::Send(int daemon, const std::string& method, const std::string& id,
                     const std::string& body) {
  const auto answer = Exchange(callers(daemon), MakeCall(method, id, body), kCallTimeout);
  const int status = answer ? answer->status : 0;
  record_->Line("client " + method + " " + id + " at " + daemons_[Index(daemon)].name + ": " +
                std::to_string(status) + " " + (answer ? answer->body : "no answer"));
  return status;
}

int Deployment::Submit(int daemon, const std::string& id, const Json& job) {
  return Send(daemon, "POST", id, job.dump());
}

int Deployment::SendSubmission(int daemon, const std::string& id, const Json& job) {
  record_->Line("client POST " + id + " at " + daemons_[Index(daemon)].name + " sent");
  return review::Send(callers(daemon), MakeCall("POST", id, job.dump()));
}

void Deployment::SendAndForget(int daemon, const std::string& id, const Json& job) {
  const int fd = review::Send(callers(daemon), MakeCall("POST", id, job.dump()));
  std::thread([fd] { static_cast<void>(ReadAnswer(fd, kCallTimeout)); }).detach();
}

int Deployment::Cancel(int daemon, const std::string& id) { return Send(daemon, "DELETE", id, ""); }

std::string Deployment::State(int daemon, const std::string& id) {
  const auto answer = Exchange(callers(daemon), MakeCall("GET", id, ""), kCallTimeout);
  if (!answer) return "no answer";
  if (answer->status != 200) return std::to_string(answer->status);
  const Json body = Json::parse(answer->body, nullptr, false);
  return body.is_object() ? body.value("state", std::string()) : std::string();
}

bool Deployment::Await(const std::string& id, const std::string& state, milliseconds timeout) {
  const auto until = Clock::now() + timeout;
  std::string last;
  for (int n = 0; Clock::now() < until; n = (n + 1) % daemons()) {
    if (daemons_[Index(n)].pid <= 0) continue;
    const std::string present = State(n, id);
    if (present != last) {
      record_->Line("client GET " + id + " at " + daemons_[Index(n)].name + ": " + present);
    }
    last = present;
    if (present == state) return true;
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

Json MakeJob(const std::string& spec, int replicas, int64_t cpu) {
  return {
      {"spec", spec},
      {"steps", {{{"replicas", replicas}, {"cpu", cpu}, {"mem_mb", 64}, {"estimate_ms", 100}}}}};
}

std::string MakeId(int n) {
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%016x", static_cast<unsigned>(n));
  return buf.data();
}

}  // namespace pomelopond::review
