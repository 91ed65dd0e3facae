// Settings shared by the programs of an entry host.
#ifndef POMELOPOND_BASE_ENTRY_SETTINGS_H_
#define POMELOPOND_BASE_ENTRY_SETTINGS_H_

#include <map>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/json_reader.h"
#include "base/log.h"
#include "base/time.h"

namespace pomelopond {

// One entry host and where its programs listen.
struct EntryHost {
  std::string id;
  std::string failure_domain;
  Endpoint router;     // HTTP, callers
  Endpoint scheduler;  // HTTP, operators' and schedulers' calls
  Endpoint admin;      // HTTP, operators' calls
  Endpoint peer;       // nng, admin of this host

  friend bool operator==(const EntryHost& a, const EntryHost& b) {
    return a.id == b.id && a.failure_domain == b.failure_domain && a.router == b.router &&
           a.scheduler == b.scheduler && a.admin == b.admin && a.peer == b.peer;
  }
};

// An operators' key and what it may do.
struct AccessKey {
  std::string name;
  std::string key;
  std::string role;  // read, operate or approve
  std::string team;  // "*" for all teams

  friend bool operator==(const AccessKey& a, const AccessKey& b) {
    return a.name == b.name && a.key == b.key && a.role == b.role && a.team == b.team;
  }
};

struct EntrySettings {
  std::string host;  // id of this entry host, one of `entry_hosts`
  std::vector<EntryHost> entry_hosts;
  Endpoint store;
  Endpoint host_list;
  std::string log_level = "info";
  std::map<std::string, std::string> log_levels;  // by module
  int http_threads = 4;
  Duration drain_grace{};        // /readyz says stopping for this long before the listener closes
  int64_t max_body_bytes = 0;    // of a request
  Duration store_timeout{};      // of one store call
  Duration release_poll{};       // between reads of release/head
  Duration commit_interval{};    // between journal appends of a shard
  Duration lease_ttl{};          // of a worker's run lease
  Duration member_ttl{};         // of a scheduler's membership in the store
  Duration exchange_interval{};  // between messages to a worker
  // The longest time for which an owner that cannot reach the store renews run leases; a successor
  // without proof that the owner has stopped waits this long.
  Duration hold_limit{};
  std::vector<AccessKey> keys;
};

// The settings checked as a whole; errors name each wrong member by path.
EntrySettings ReadEntrySettings(const Json& document, FieldErrors* errors);

// The settings in effect, with defaults filled in and keys withheld.
Json ToJson(const EntrySettings& settings);

// The entry of this process's own host. `settings` must have been read without errors.
const EntryHost& LocalEntryHost(const EntrySettings& settings);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_ENTRY_SETTINGS_H_
