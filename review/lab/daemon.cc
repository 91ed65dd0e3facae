#include "review/lab/daemon.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>
#include <utility>

namespace pomelopond::lab {
namespace {

constexpr const char* kProgram = "target/bin/pomelopond-entry";
constexpr int kPollMs = 20;

const Clock::time_point kStarted = Clock::now();
std::mutex record_mutex;
std::ofstream record;

// What the deploy file's template makes of the settings of a machine.
Json SettingsOf(const Machine& machine, const std::string& store, const std::string& policy) {
  Json out = {{"max_lease_ms", machine.max_lease_ms},
              {"stop_limit_s", 6},
              {"status_time_s", 120},
              {"processor_share", machine.processor_share},
              {"processor_cores", 1},
              {"link_mbps", 1000.0},
              {"memory_mb", 260},
              {"max_fds", 4100},
              {"store_value_bytes", 1048576},
              {"host", machine.name},
              {"failure_domain", machine.zone},
              {"callers", machine.address + ":" + std::to_string(machine.callers)},
              {"readiness", machine.address + ":" + std::to_string(machine.readiness)},
              {"metrics_port", machine.metrics},
              {"rescue_slow_runs", true},
              {"order_by_work", true},
              {"admission_control", true},
              {"store", store}};
  if (!policy.empty()) out["policy"] = policy;
  return out;
}

}  // namespace

Machine MakeMachine(const std::string& name, const std::string& zone, const std::string& address) {
  Machine out;
  out.name = name;
  out.zone = zone;
  out.address = address;
  out.callers = FreePort(address);
  out.readiness = FreePort(address);
  out.metrics = FreePort(address);
  return out;
}

void StartDaemon(Machine* machine, int store_port, const std::string& store_address,
                 const std::string& folder, const std::string& policy) {
  const std::string settings = folder + "/" + machine->name + ".json";
  const std::string store = store_address + ":" + std::to_string(store_port);
  std::ofstream(settings) << SettingsOf(*machine, store, policy).dump(2) << "\n";
  machine->log = folder + "/" + machine->name + ".log";
  const pid_t parent = getpid();
  machine->pid = fork();
  if (machine->pid != 0) return;
  // The process must not outlive the case.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(1);
  const int out = open(machine->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  setenv("POMELOPOND_SETTINGS", settings.c_str(), 1);
  execl(kProgram, kProgram, static_cast<char*>(nullptr));
  _exit(127);
}

void Signal(const Machine& machine, int signal) { kill(machine.pid, signal); }

bool WaitForEnd(Machine* machine, int timeout_ms) {
  for (int waited = 0; waited < timeout_ms; waited += kPollMs) {
    if (waitpid(machine->pid, nullptr, WNOHANG) == machine->pid) return true;
    SleepMs(kPollMs);
  }
  kill(machine->pid, SIGKILL);
  waitpid(machine->pid, nullptr, 0);
  return false;
}

bool IsAlive(const Machine& machine) {
  return machine.pid > 0 && waitpid(machine.pid, nullptr, WNOHANG) == 0;
}

int64_t PeakMemoryMb(const Machine& machine) {
  std::ifstream in("/proc/" + std::to_string(machine.pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("VmHWM:", 0) == 0) return std::atoll(line.c_str() + 6) / 1024;
  }
  return 0;
}

bool WaitUntilReady(const Machine& machine, int timeout_ms) {
  const auto until = Clock::now() + std::chrono::milliseconds(timeout_ms);
  while (Clock::now() < until) {
    Request request;
    request.method = "GET";
    request.path = "/api/ready";
    request.headers["Host"] = machine.address;
    if (Call(machine.address, machine.readiness, request, 1000).status == 200) return true;
    SleepMs(kPollMs);
  }
  return false;
}

std::string ConfigText(const std::vector<Queue>& queues, int64_t version) {
  Json routes = Json::array();
  for (const Queue& it : queues) {
    routes.push_back({{"name", it.name},
                      {"host", it.host},
                      {"prefix", it.prefix},
                      {"type", "non_idempotent"},
                      {"timeout_ms", 3000},
                      {"target_duration_ms", 1000},
                      {"service", it.service},
                      {"priority", 2},
                      {"max_attempts", 4},
                      {"stretch", 2.0}});
  }
  const Json service = {{"name", queues.front().service},
                        {"health_path", "/health"},
                        {"max_conns", 64},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"enforces_capacity", true},
                        {"standby", false}};
  return Json{{"version", version},
              {"routes", std::move(routes)},
              {"services", {service}},
              {"limits",
               {{"max_header_bytes", 16384},
                {"max_body_bytes", 262144},
                {"header_timeout_ms", 3000},
                {"idle_timeout_ms", 15000}}}}
      .dump();
}

Response ClientCall(const Machine& machine, const Queue& queue, const std::string& method,
                    const std::string& rest, const std::string& body, int deadline_ms) {
  Request request;
  request.method = method;
  request.path = queue.prefix + rest;
  request.headers["Host"] = queue.host;
  request.headers["Content-Type"] = "application/json";
  request.headers["Pomelopond-Deadline-Ms"] = std::to_string(deadline_ms);
  request.body = body;
  return Call(machine.address, machine.callers, request, deadline_ms);
}

int64_t ElapsedMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStarted).count();
}

int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

std::string IdOf(int n) {
  char buf[17];
  snprintf(buf, sizeof(buf), "%016x", static_cast<unsigned>(n));
  return buf;
}

void EndAll(std::vector<Machine>* machines) {
  for (Machine& it : *machines) {
    Signal(it, SIGKILL);
    Signal(it, SIGCONT);
    WaitForEnd(&it, 1000);
  }
}

void OpenRecord(const std::string& path) { record.open(path); }

void Record(const std::string& line) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  char time[32];
  snprintf(time, sizeof(time), "%9.3f s  ", static_cast<double>(ElapsedMs()) / 1000);
  record << time << line << std::endl;
  std::cout << time << line << std::endl;
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string TemporaryFolder() {
  std::string out = "/tmp/pomelopond-review-XXXXXX";
  return mkdtemp(out.data()) == nullptr ? std::string() : out;
}

void RemoveFolder(const std::string& folder) {
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(folder, ignored);
}

}  // namespace pomelopond::lab
