// Provides a deployment of the real programs and the fakes on loopback addresses, for failure tests
// and benchmarks.
#ifndef POMELOPOND_TESTS_SUPPORT_CLUSTER_H_
#define POMELOPOND_TESTS_SUPPORT_CLUSTER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/json.h"
#include "base/time.h"
#include "http/http_client.h"
#include "membership/host_list.h"
#include "tests/support/process.h"

namespace pomelopond::support {

// Default upper bound of a wait for a condition. It is far above the expected time, so that no test
// result depends on the speed of the machine.
inline constexpr Duration kWaitLimit = std::chrono::seconds(90);

struct ClusterOptions {
  // Second byte of all addresses, which are 127.<net>.x.y. Each test has its own number, so that
  // tests can run in parallel. Numbers 100 to 199 are for failure tests, 200 to 250 for benchmarks.
  int net = 0;
  int entry_hosts = 3;
  int failure_domains = 3;
  int racks_per_domain = 1;
  int hosts_per_rack = 2;               // worker hosts
  Resources capacity{16000, 65536, 0};  // of each worker host
  int64_t slots = 8;                    // maximum number of concurrent requests of a target
  int64_t connections = 64;             // maximum number of open connections of a target
  int64_t service_ms = 1;               // service time of the fake target in milliseconds
  int cut_off_host = -1;                // entry host whose store address has no listener; -1: none
  Json settings = Json::object();       // replaces members of the entry hosts' settings
};

// The processes of one deployment. The destructor kills them and removes the temporary folder.
class Cluster {
 public:
  // Creates the temporary folder for settings and logs and writes the settings. Starts no process.
  explicit Cluster(const ClusterOptions& options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Starts the fakes and waits until all of them answer.
  void StartFakes();
  // Starts the admin, router and scheduler programs of all entry hosts.
  void StartEntryHosts();
  // `program` is "admin", "router" or "scheduler"; `host` counts from 0.
  void StartProgram(const std::string& program, int host);
  Process& ProgramOf(const std::string& program, int host);
  Process& Fake(const std::string& name);

  Endpoint Router(int host) const;
  Endpoint Scheduler(int host) const;
  Endpoint Admin(int host) const;
  Endpoint store() const;
  Endpoint host_list() const;
  std::vector<Endpoint> Workers() const;
  std::vector<Endpoint> Targets() const;
  const membership::HostList& hosts() const { return hosts_; }
  int entry_hosts() const { return options_.entry_hosts; }
  std::string SettingsFile() const;

  // Sends a release note to the admins in turn until one accepts it. Returns whether one did.
  bool ApplyNote(const Json& note);
  // Applies a release note with the service "svc", whose operation "buy" is not idempotent, and
  // waits until every router and scheduler is ready. Returns false if a wait reached kWaitLimit.
  bool PutDefaultReleaseInForce();

 private:
  ClusterOptions options_;
  std::string folder_;                        // path of the temporary folder
  membership::HostList hosts_;                // worker hosts
  std::map<std::string, Process> processes_;  // by program name, with "-<host>" on entry hosts
};

// Sends one request from the test's process. The status is 0 if there was no answer.
http::HttpResult Send(const Endpoint& endpoint, const std::string& method, const std::string& path,
                      const std::string& body = {}, const http::Headers& headers = {},
                      Duration timeout = std::chrono::seconds(30));
// Returns the parsed body of a GET, or null if the request failed or the body is not JSON.
Json Get(const Endpoint& endpoint, const std::string& path);
// Replaces the faults of a fake. Returns whether it accepted them.
bool SetFault(const Endpoint& endpoint, const Json& fault);

// Waits until `condition` returns true, for at most `limit`. Returns whether it became true.
bool WaitUntil(const std::function<bool()>& condition, Duration limit = kWaitLimit);

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_CLUSTER_H_
