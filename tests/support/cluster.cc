#include "tests/support/cluster.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "http/thread_pool.h"
#include "tests/support/program_path.h"

namespace pomelopond::support {
namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(20);
constexpr const char* kKey = "test-key";

void InitThreadPoolOnce() {
  static const bool done = [] {
    http::InitThreadPool(8);
    return true;
  }();
  (void)done;
}

std::string Join(const std::vector<Endpoint>& endpoints) {
  std::string text;
  for (const Endpoint& it : endpoints) text += (text.empty() ? "" : ",") + ToString(it);
  return text;
}

}  // namespace

Cluster::Cluster(const ClusterOptions& options) : options_(options) {
  InitThreadPoolOnce();
  std::string name = "/tmp/pomelopond-test-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) std::abort();
  folder_ = name;
  const std::string net = "127." + std::to_string(options.net) + ".";
  Json entry = Json::array();
  for (int n = 0; n < options.entry_hosts; ++n) {
    const std::string domain = "domain-" + std::to_string(n % options.failure_domains);
    entry.push_back({{"id", "entry-" + std::to_string(n)},
                     {"failure_domain", domain},
                     {"router", ToString(Router(n))},
                     {"scheduler", ToString(Scheduler(n))},
                     {"admin", ToString(Admin(n))},
                     {"peer", net + "0." + std::to_string(n + 1) + ":7301"}});
  }
  Json settings = {{"host", "entry-0"},
                   {"entry_hosts", entry},
                   {"store", ToString(store())},
                   {"host_list", ToString(host_list())},
                   {"log_level", "info"},
                   {"keys", Json::array({{{"name", "test"}, {"key", kKey}, {"role", "approve"}}})}};
  settings.update(options.settings);
  std::ofstream(SettingsFile()) << settings.dump(2);
  settings["store"] = net + "1.99:2379";
  std::ofstream(folder_ + "/cut-off.json") << settings.dump(2);
  int number = 0;
  for (int domain = 0; domain < options.failure_domains; ++domain) {
    for (int rack = 0; rack < options.racks_per_domain; ++rack) {
      for (int n = 0; n < options.hosts_per_rack; ++n) {
        ++number;
        membership::HostInfo host;
        host.id = "worker-" + std::to_string(number);
        host.failure_domain = "domain-" + std::to_string(domain);
        host.rack = "rack-" + std::to_string(rack);
        host.capacity = options.capacity;
        const std::string address = net + "2." + std::to_string(number);
        host.worker = {address, 7500};
        host.targets = {{"svc", {address, 7600}, options.slots, options.connections}};
        hosts_.hosts[host.id] = host;
      }
    }
  }
  std::ofstream(folder_ + "/hosts.json") << membership::ToJson(hosts_).dump(1);
}

Cluster::~Cluster() {
  processes_.clear();
  // POMELOPOND_KEEP_LOGS keeps the folder, so that the logs of a failed test can be read.
  if (std::getenv("POMELOPOND_KEEP_LOGS") == nullptr) std::filesystem::remove_all(folder_);
}

std::string Cluster::SettingsFile() const { return folder_ + "/settings.json"; }

Endpoint Cluster::Router(int host) const {
  return {"127." + std::to_string(options_.net) + ".0." + std::to_string(host + 1), 7100};
}

Endpoint Cluster::Scheduler(int host) const { return {Router(host).address, 7200}; }
Endpoint Cluster::Admin(int host) const { return {Router(host).address, 7300}; }
Endpoint Cluster::store() const { return {"127." + std::to_string(options_.net) + ".1.1", 2379}; }
Endpoint Cluster::host_list() const {
  return {"127." + std::to_string(options_.net) + ".1.2", 7400};
}

std::vector<Endpoint> Cluster::Workers() const {
  std::vector<Endpoint> all;
  for (const auto& [id, host] : hosts_.hosts) all.push_back(host.worker);
  return all;
}

std::vector<Endpoint> Cluster::Targets() const {
  std::vector<Endpoint> all;
  for (const auto& [id, host] : hosts_.hosts) all.push_back(host.targets.front().endpoint);
  return all;
}

void Cluster::StartFakes() {
  const auto start = [this](const std::string& name, const std::vector<std::string>& command) {
    processes_[name] = Process(command, folder_ + "/" + name + ".log");
  };
  start("fake-store", {ProgramPath("fake-store"), "--listen", ToString(store())});
  start("fake-hostlist", {ProgramPath("fake-hostlist"), "--listen", ToString(host_list()),
                          "--hosts", folder_ + "/hosts.json"});
  start("fake-worker", {ProgramPath("fake-worker"), "--listen", Join(Workers()), "--cpu-milli",
                        std::to_string(options_.capacity.cpu_milli), "--memory-mb",
                        std::to_string(options_.capacity.memory_mb), "--accelerators",
                        std::to_string(options_.capacity.accelerators)});
  start("fake-target", {ProgramPath("fake-target"), "--listen", Join(Targets()), "--service-ms",
                        std::to_string(options_.service_ms)});
  WaitUntil([this] { return !Get(store(), "/statistics").is_null(); });
  WaitUntil([this] { return !Get(host_list(), "/v1/hosts").is_null(); });
  WaitUntil([this] { return !Get(Workers().back(), "/runs").is_null(); });
  WaitUntil([this] { return !Get(Targets().back(), "/counts").is_null(); });
}

void Cluster::StartProgram(const std::string& program, int host) {
  const std::string name = program + "-" + std::to_string(host);
  processes_[name] =
      Process({ProgramPath("pomelopond-" + program), "--settings",
               host == options_.cut_off_host ? folder_ + "/cut-off.json" : SettingsFile(), "--host",
               "entry-" + std::to_string(host)},
              folder_ + "/" + name + ".log");
}

void Cluster::StartEntryHosts() {
  for (int n = 0; n < options_.entry_hosts; ++n) {
    for (const char* it : {"admin", "router", "scheduler"}) StartProgram(it, n);
  }
}

Process& Cluster::ProgramOf(const std::string& program, int host) {
  return processes_[program + "-" + std::to_string(host)];
}

Process& Cluster::Fake(const std::string& name) { return processes_[name]; }

bool Cluster::ApplyNote(const Json& note) {
  for (int n = 0; n < options_.entry_hosts; ++n) {
    const http::HttpResult result = Send(Admin(n), "POST", "/v1/release", note.dump(),
                                         {{"Authorization", std::string("Bearer ") + kKey}});
    if (!result.ec && result.response.status == 200) return true;
  }
  return false;
}

bool Cluster::PutDefaultReleaseInForce() {
  const Json note = {
      {"base", 0},
      {"author", "test"},
      {"add",
       {{"services", {{"svc", {{"team", "team"}, {"non_idempotent", Json::array({"buy"})}}}}}}}};
  if (!WaitUntil([this, &note] { return ApplyNote(note); })) return false;
  for (int n = 0; n < options_.entry_hosts; ++n) {
    const bool ready = WaitUntil([this, n] {
      return Send(Router(n), "GET", "/readyz").response.status == 200 &&
             Send(Scheduler(n), "GET", "/readyz").response.status == 200;
    });
    if (!ready) return false;
  }
  return true;
}

http::HttpResult Send(const Endpoint& endpoint, const std::string& method, const std::string& path,
                      const std::string& body, const http::Headers& headers, Duration timeout) {
  InitThreadPoolOnce();
  http::HttpClient client(endpoint);
  http::HttpRequest request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.headers = headers;
  http::HttpResult result = client.Call(std::move(request), timeout);
  if (result.ec) result.response.status = 0;
  return result;
}

Json Get(const Endpoint& endpoint, const std::string& path) {
  const http::HttpResult result = Send(endpoint, "GET", path);
  if (result.ec || result.response.status != 200) return nullptr;
  const Result<Json> document = ParseJson(result.response.body);
  return document.ok() ? document.value : Json(nullptr);
}

bool SetFault(const Endpoint& endpoint, const Json& fault) {
  const http::HttpResult result = Send(endpoint, "POST", "/fault", fault.dump());
  return !result.ec && result.response.status == 200;
}

bool WaitUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint deadline = Now() + limit;
  while (!condition()) {
    if (Now() >= deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace pomelopond::support
