// The settings shared by the programs of an entry host, and their JSON form.
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

// One entry host and the endpoints on which its programs listen.
struct EntryHost {
  std::string id;
  std::string failure_domain;
  Endpoint router;     // HTTP, for calls by callers
  Endpoint scheduler;  // HTTP, for calls by operators and other schedulers
  Endpoint admin;      // HTTP, for calls by operators
  Endpoint peer;       // nng, for messages to the admin program of this host

  friend bool operator==(const EntryHost& a, const EntryHost& b) {
    return a.id == b.id && a.failure_domain == b.failure_domain && a.router == b.router &&
           a.scheduler == b.scheduler && a.admin == b.admin && a.peer == b.peer;
  }
};

// An operator's access key and its permissions.
struct AccessKey {
  std::string name;
  std::string key;
  std::string role;  // read, operate or approve
  std::string team;  // team that the key applies to; "*" for all teams

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
  std::map<std::string, std::string> log_levels;  // log level by module
  int http_threads = 4;                           // pool threads of the HTTP library
  Duration drain_grace{};        // how long /readyz reports stopping before the listener closes
  int64_t max_body_bytes = 0;    // largest size of a request body
  Duration store_timeout{};      // timeout of one store call
  Duration release_poll{};       // interval between reads of the key release/head
  Duration commit_interval{};    // interval between journal appends of a shard
  Duration lease_ttl{};          // lifetime of a worker's run lease
  Duration member_ttl{};         // lifetime of a scheduler's membership in the store
  Duration exchange_interval{};  // interval between messages to a worker
  // The longest time for which an owner that cannot reach the store keeps renewing run leases. A
  // successor without proof that the owner has stopped waits this long.
  Duration hold_limit{};
  std::vector<AccessKey> keys;
};

// Reads and checks all settings. Appends an error with the member's path for each invalid member.
EntrySettings ReadEntrySettings(const Json& document, FieldErrors* errors);

// Returns the settings in effect, with defaults filled in and the access keys withheld.
Json ToJson(const EntrySettings& settings);

// Returns the entry host on which this process runs. `settings` must have been read without errors.
const EntryHost& LocalEntryHost(const EntrySettings& settings);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_ENTRY_SETTINGS_H_
