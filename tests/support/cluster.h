// A deployment of real processes and stand-ins on loopback, for failure tests and benchmarks.
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

// Upper bound of every wait for a state. Generous, so that no verdict depends on the machine.
inline constexpr Duration kWaitLimit = std::chrono::seconds(90);

struct ClusterOptions {
  // Every test takes a number of its own, so that tests can run side by side: all addresses are
  // 127.<net>.x.y. Numbers 100 to 199 are for failure tests, 200 to 250 for benchmarks.
  int net = 0;
  int entry_hosts = 3;
  int failure_domains = 3;
  int racks_per_domain = 1;
  int hosts_per_rack = 2;
  Resources capacity{16000, 65536, 0};
  int64_t slots = 8;
  int64_t connections = 64;
  int64_t service_ms = 1;
  int cut_off_host = -1;  // this entry host gets an address for the store where nothing listens
  Json settings = Json::object();  // replaces members of the entry hosts' settings
};

class Cluster {
 public:
  // Writes settings and logs to a temporary folder; starts nothing.
  explicit Cluster(const ClusterOptions& options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  void StartFakes();
  // Starts admin, router and scheduler of all entry hosts.
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

  // Applies a note to the release in force through some admin; true when it was accepted.
  bool ApplyNote(const Json& note);
  // A note with the service "svc", whose operation "buy" is not idempotent, put in force
  // everywhere; then waits until every router and scheduler is ready.
  bool PutDefaultReleaseInForce();

 private:
  ClusterOptions options_;
  std::string folder_;
  membership::HostList hosts_;
  std::map<std::string, Process> processes_;
};

// Requests from the test's own process.
http::HttpResult Send(const Endpoint& endpoint, const std::string& method, const std::string& path,
                      const std::string& body = {}, const http::Headers& headers = {},
                      Duration timeout = std::chrono::seconds(30));
// The parsed body of a GET, or null.
Json Get(const Endpoint& endpoint, const std::string& path);
// Sets faults of a stand-in; true when it took them.
bool SetFault(const Endpoint& endpoint, const Json& fault);

// Waits until `holds` is true, at most `limit`; returns whether it became true.
bool WaitUntil(const std::function<bool()>& condition, Duration limit = kWaitLimit);

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_CLUSTER_H_
