// Provides the platform's list of hosts, its JSON form and the merge of a received list.
#ifndef POMELOPOND_MEMBERSHIP_HOST_LIST_H_
#define POMELOPOND_MEMBERSHIP_HOST_LIST_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "base/endpoint.h"
#include "base/json_reader.h"
#include "base/resources.h"

namespace pomelopond::membership {

// The state of a host in the platform's list.
enum class HostState { kLive, kLeaving, kGone };

// One service executor on a host, which runs the requests of one service.
struct TargetInfo {
  std::string service;      // name of the service that the target serves
  Endpoint endpoint;        // address that accepts requests
  int64_t slots = 0;        // maximum number of concurrent requests
  int64_t connections = 0;  // maximum number of open connections

  friend bool operator==(const TargetInfo& a, const TargetInfo& b) {
    return a.service == b.service && a.endpoint == b.endpoint && a.slots == b.slots &&
           a.connections == b.connections;
  }
};

// One host of the platform.
struct HostInfo {
  std::string id;
  std::string failure_domain;
  std::string rack;  // name of the rack within the failure domain
  HostState state = HostState::kLive;
  Resources capacity;               // total resources of the host
  Endpoint worker;                  // address of the worker that runs tasks on the host
  std::vector<TargetInfo> targets;  // service executors on the host

  friend bool operator==(const HostInfo& a, const HostInfo& b) {
    return std::tie(a.id, a.failure_domain, a.rack, a.state, a.capacity, a.worker, a.targets) ==
           std::tie(b.id, b.failure_domain, b.rack, b.state, b.capacity, b.worker, b.targets);
  }
};

// All hosts of the platform at one version.
struct HostList {
  int64_t version = 0;                    // grows with every change of the list at its source
  std::map<std::string, HostInfo> hosts;  // by host id

  friend bool operator==(const HostList& a, const HostList& b) {
    return a.version == b.version && a.hosts == b.hosts;
  }
};

// Returns the name of `state` in the JSON form of a host list.
const char* HostStateName(HostState state);

Json ToJson(const HostList& list);

// Reads a host list. Adds every invalid field to `errors` with its path; a host id that is listed
// twice is an error.
HostList ReadHostList(const Json& document, FieldErrors* errors);

// Returns the list to use after `received` has arrived. A list that is not newer than `current` is
// ignored, so that a lagging replica of the source cannot undo a leaving mark.
HostList Merge(const HostList& current, const HostList& received);

}  // namespace pomelopond::membership

#endif  // POMELOPOND_MEMBERSHIP_HOST_LIST_H_
