// The connections of a ConnectionPool to one server.
#ifndef POMELOPOND_HTTP_INTERNAL_POOL_LANE_H_
#define POMELOPOND_HTTP_INTERNAL_POOL_LANE_H_

#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "http/internal/pool_call.h"

namespace pomelopond::http {

enum class ConnectionState { kConnecting, kWriting, kReading, kIdle, kClosed };

struct PoolConnection {
  int fd = -1;
  uint64_t number = 0;  // tells it apart from all others of the pool
  ConnectionState state = ConnectionState::kConnecting;
  uint32_t watched = 0;  // epoll events
  bool closes = false;   // after the answer to its call
  size_t written = 0;    // bytes of the request
  PoolLane* lane = nullptr;
  PoolCallPtr call;                // null while idle
  std::optional<int64_t> process;  // at the other end, once an answer has told
  TimePoint idle_since;
};

struct PoolLane {
  int max_connections = 1;
  std::vector<std::unique_ptr<PoolConnection>> connections;
  std::list<PoolCallPtr> waiting;  // for a connection, oldest first
};

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_INTERNAL_POOL_LANE_H_
