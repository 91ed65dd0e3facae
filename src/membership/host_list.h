// The platform's list of hosts and how a newer list is merged into the one in use.
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

enum class HostState { kLive, kLeaving, kGone };

// One service executor on a host.
struct TargetInfo {
  std::string service;
  Endpoint endpoint;
  int64_t slots = 0;        // requests it runs at once
  int64_t connections = 0;  // connections it accepts

  friend bool operator==(const TargetInfo& a, const TargetInfo& b) {
    return a.service == b.service && a.endpoint == b.endpoint && a.slots == b.slots &&
           a.connections == b.connections;
  }
};

struct HostInfo {
  std::string id;
  std::string failure_domain;
  std::string rack;
  HostState state = HostState::kLive;
  Resources capacity;
  Endpoint worker;
  std::vector<TargetInfo> targets;

  friend bool operator==(const HostInfo& a, const HostInfo& b) {
    return std::tie(a.id, a.failure_domain, a.rack, a.state, a.capacity, a.worker, a.targets) ==
           std::tie(b.id, b.failure_domain, b.rack, b.state, b.capacity, b.worker, b.targets);
  }
};

// `version` grows with every change of the list at its source.
struct HostList {
  int64_t version = 0;
  std::map<std::string, HostInfo> hosts;  // by id

  friend bool operator==(const HostList& a, const HostList& b) {
    return a.version == b.version && a.hosts == b.hosts;
  }
};

const char* HostStateName(HostState state);

Json ToJson(const HostList& list);
HostList ReadHostList(const Json& document, FieldErrors* errors);

// The list to use after `found` was received. An older or equal list changes nothing, so a lagging
// replica of the source cannot undo a leaving mark.
HostList Merge(const HostList& current, const HostList& received);

}  // namespace pomelopond::membership

#endif  // POMELOPOND_MEMBERSHIP_HOST_LIST_H_
