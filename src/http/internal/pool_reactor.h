// The connections and open calls of a ConnectionPool. Used by one thread only.
#ifndef POMELOPOND_HTTP_INTERNAL_POOL_REACTOR_H_
#define POMELOPOND_HTTP_INTERNAL_POOL_REACTOR_H_

#include <sys/epoll.h>

#include <array>
#include <map>
#include <unordered_map>
#include <vector>

#include "http/internal/pool_lane.h"

namespace pomelopond::http {

// Callbacks of calls run inside the member functions and must not call them.
class PoolReactor {
 public:
  // Watches the descriptor `wake_fd`, an eventfd that ends Wait().
  PoolReactor(const ConnectionPoolOptions& options, int wake_fd);
  ~PoolReactor();
  PoolReactor(const PoolReactor&) = delete;
  PoolReactor& operator=(const PoolReactor&) = delete;

  // Waits until a connection or `wake_fd` is ready or a call is due. Doesn't wait if `may_block` is
  // false.
  void Wait(bool may_block, TimePoint now);

  // Handles the connections that the last Wait() found ready.
  // Then ends the calls whose deadline has passed. Returns whether there was anything to do.
  bool HandleReady(TimePoint now);
  // Returns whether more connections may be ready than the last Wait() found.
  bool may_have_more() const { return ready_ == static_cast<int>(events_.size()); }
  // Sends a request, or lets it wait for a connection. What the last Wait() found must have been
  // handled and be recent, since this tells whether an idle connection may be used.
  void Start(PoolCallPtr call, TimePoint now);
  // Ends the calls that wait for a connection, closes the idle connections, and the others after
  // their answers.
  void Disconnect(TimePoint now);
  // Ends all calls with an error and closes all connections.
  void EndAll(TimePoint now);

 private:
  using CallList = boost::intrusive::list<PoolCall, boost::intrusive::constant_time_size<false>>;

  // Milliseconds until the first deadline, rounded up; -1 without open calls.
  int TimeoutMs(TimePoint now);
  PoolLane* LaneOf(const PoolCall& call);
  void RemoveUnusedLanes();
  void CloseIdle();
  void EndWaiting(TimePoint now);
  void SendWaiting(PoolLane* lane, TimePoint now);
  // Returns the longest idle connection of the lane, if possible one to which the call is tied;
  // null if there is none.
  static PoolConnection* LongestIdle(const PoolLane& lane, const PoolCall& call);
  // Returns null if no connection can be begun.
  PoolConnection* Connect(PoolLane* lane, const sockaddr_in& address);
  void Watch(PoolConnection* it, uint32_t events);
  void Close(PoolConnection* it);
  void Handle(PoolConnection* it, uint32_t events, TimePoint now);
  void Write(PoolConnection* it, TimePoint now);
  void Read(PoolConnection* it, TimePoint now);
  // Ends the call of a connection: with its answer, or with an error, which closes the connection.
  void Complete(PoolConnection* it, TimePoint now);
  // Sends the request of the connection's call, whose other request has been answered.
  void SendTied(PoolConnection* it, TimePoint now);
  void Fail(PoolConnection* it, std::error_code ec, TimePoint now);
  void EndCall(PoolCall* call, TimePoint now);

  const ConnectionPoolOptions options_;
  uint64_t connections_ = 0;  // that were begun
  const int epoll_;
  const int wake_fd_;
  int ready_ = 0;  // number of events to handle
  std::array<epoll_event, 256> events_{};
  std::vector<char> buf_;
  size_t most_lanes_;                             // with more of them, the unused ones are removed
  std::unordered_map<uint64_t, PoolLane> lanes_;  // by address, port and lane
  std::map<TimePoint, CallList> deadlines_;       // of the open calls, rounded up
  std::vector<std::unique_ptr<PoolConnection>> closed_;  // events may still name them
};

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_INTERNAL_POOL_REACTOR_H_
