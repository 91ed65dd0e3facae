// A call of a ConnectionPool.
#ifndef POMELOPOND_HTTP_INTERNAL_POOL_CALL_H_
#define POMELOPOND_HTTP_INTERNAL_POOL_CALL_H_

#include <netinet/in.h>

#include <boost/intrusive/list.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/connection_pool.h"
#include "http/internal/answer_parser.h"

namespace pomelopond::http {

struct PoolConnection;
struct PoolLane;

using AutoUnlink = boost::intrusive::link_mode<boost::intrusive::auto_unlink>;

// The hook is that of the list of calls with nearly the same deadline.
struct PoolCall : boost::intrusive::list_base_hook<AutoUnlink> {
  PoolCall(const ServerLane& the_lane, const HttpRequest& the_request, Duration the_timeout,
           HttpCallback on_done, size_t most_answer_bytes, TimePoint now);

  // Calls `done` with the result.
  void Finish(std::error_code ec, HttpResponse response, TimePoint now);

  sockaddr_in address{};  // port 0: the endpoint is no address, or the request can't be written
  uint16_t lane = 0;
  int max_connections = 1;
  std::string text;                // of the request
  uint64_t tied_to = 0;            // number of the connection that carries `text`; 0: any
  std::optional<int64_t> process;  // at the other end of that connection; none: any
  std::string other_text;          // for any other connection
  bool sends_other = false;
  std::function<bool(const HttpResult&)> is_from_process;
  HttpCallback done;
  const size_t max_answer_bytes;
  std::optional<AnswerParser> parser;  // of the answer to the text that was sent last
  const Duration timeout;              // of each text
  TimePoint created_at;
  TimePoint deadline;
  TimePoint sent_at;  // when it got a connection; zero before that
  PoolLane* pool_lane = nullptr;
  PoolConnection* connection = nullptr;  // null while it waits for one
  uint64_t connection_number = 0;        // of that connection
};

using PoolCallPtr = std::unique_ptr<PoolCall>;

// Returns the request as HTTP/1.1, or an empty string if its parts contain control characters.
std::string RequestText(const HttpRequest& request, const Endpoint& endpoint);

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_INTERNAL_POOL_CALL_H_
