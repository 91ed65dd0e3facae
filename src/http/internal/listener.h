// The listening socket of a server and the state that its connections share.
#ifndef POMELOPOND_HTTP_INTERNAL_LISTENER_H_
#define POMELOPOND_HTTP_INTERNAL_LISTENER_H_

#include <array>
#include <atomic>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <vector>

#include "http/http_server.h"
#include "http/internal/connection_budget.h"

namespace pomelopond::http {

class Connection;

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;
using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Strand>;
using Timer =
    boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                      boost::asio::wait_traits<std::chrono::steady_clock>, Strand>;

// The counters may be read from any thread. All else is used on the strand, which runs all work of
// a server, so that one piece of it runs at a time. Replies may outlive the server, so they share
// the listener.
class Listener : public std::enable_shared_from_this<Listener> {
 public:
  Listener(const Endpoint& endpoint, const ServerLimits& limits, Handler handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // These three are called from outside the strand. Close() ends all connections and waits until
  // no handler runs.
  std::error_code Open();
  void Close();
  void SetLimits(const ServerLimits& limits);

  ServerUsage Usage() const;

  const Strand& strand() const { return strand_; }
  const ServerLimits& limits() const { return limits_; }
  const Handler& handler() const { return handler_; }
  // Buffer for one read, of kReadBytes.
  char* scratch() { return scratch_.data(); }

  // Adds or removes a connection. The list of its phase has those without progress for longest
  // first.
  void Add(Connection* it);
  void Remove(Connection* it);
  // Moves a connection, whose state has changed, to the end of the list of its phase.
  void Requeue(Connection* it, Phase old_phase);

  // Adds to the bytes that connections hold, without a check.
  void Charge(int64_t bytes) { budget_used_ += bytes; }
  // Returns whether the budget has room for a charge of `cost` in place of the one that `asking`
  // has, after closing other stalled connections if need be.
  bool MakeRoom(int64_t cost, const Connection* asking, TimePoint now);
  void Count(CloseCause cause) { closed_[static_cast<size_t>(cause)] += 1; }

  static constexpr size_t kReadBytes = size_t{64} * 1024;

  std::atomic<int64_t> in_flight{0};
  std::atomic<int64_t> arrived{0};
  std::atomic<bool> stopping{false};

 private:
  void Accept();
  void OnAccept(const boost::system::error_code& ec, Socket socket);
  void ScheduleSweep();
  void Sweep(TimePoint now);
  // Returns the first state of each list but that of `except`, and their `connections` in that
  // order.
  std::vector<ConnectionState> Oldest(std::vector<Connection*>* connections,
                                      const Connection* except);
  bool MakeRoomForConnection(TimePoint now);

  const Endpoint endpoint_;
  const Handler handler_;
  ServerLimits limits_;
  Strand strand_;
  Acceptor acceptor_;
  Timer accept_timer_;
  Timer sweep_timer_;
  bool sweeps_ = false;
  bool is_open_ = false;
  std::vector<char> scratch_;
  struct Lists;
  std::unique_ptr<Lists> lists_;
  std::atomic<int64_t> connections_{0};
  std::atomic<int64_t> budget_used_{0};
  std::array<std::atomic<int64_t>, kCloseCauses> closed_{};
};

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_INTERNAL_LISTENER_H_
