#include "http/http_client.h"

#include <cpprest/http_client.h>
#include <pplx/threadpool.h>
#include <sys/socket.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <deque>
#include <future>
#include <mutex>

namespace pomelopond::http {
namespace {

using web::http::http_request;
using web::http::http_response;

// Timeout of the cpprest library. The library's default of 30 s would end calls that have a later
// deadline. This value exceeds the longest deadline of a caller, 10 minutes, so that only the timer
// of each Call takes effect.
constexpr std::chrono::minutes kCpprestTimeout{11};

using CpprestClient = web::http::client::http_client;

// A client object of the library, which serves one call at a time, and the socket that it used
// last.
struct PooledConnection {
  std::shared_ptr<CpprestClient> client;
  std::shared_ptr<std::atomic<int>> socket;
  std::shared_ptr<std::atomic<int>> sends;  // by the library, for the current call
  int64_t calls = 0;                        // number of calls answered so far
};

// Makes a client object for `uri` that sends each request at most once. The library sends a request
// again if a reused connection is closed without an answer, though the server may have handled the
// request. It calls the native handle callback with the socket before each send. An exception from
// the callback makes the call fail before anything is sent.
PooledConnection MakeConnection(const std::string& uri) {
  PooledConnection connection;
  connection.socket = std::make_shared<std::atomic<int>>(-1);
  connection.sends = std::make_shared<std::atomic<int>>(0);
  web::http::client::http_client_config config;
  config.set_timeout(kCpprestTimeout);
  // Following a redirect would send the request again, to an address that the answer chooses.
  config.set_max_redirects(0);
  config.set_nativehandle_options([socket = connection.socket, sends = connection.sends](
                                      web::http::client::native_handle handle) {
    if (sends->fetch_add(1) > 0) throw std::runtime_error("request must not be sent twice");
    auto* it = static_cast<boost::asio::ip::tcp::socket*>(handle);
    // A new connection has no open socket yet. Opening it here makes its number known; the
    // library uses a socket that is already open.
    if (!it->is_open()) it->open(boost::asio::ip::tcp::v4());
    socket->store(it->native_handle());
  });
  connection.client = std::make_shared<CpprestClient>(uri, config);
  return connection;
}

// Returns false if the server has closed the idle connection or has sent unsolicited bytes: a late
// or duplicate answer, which would be taken for the answer to the next request. Also returns false
// if the library has closed the socket. The check uses the socket's number, which another
// connection may have received since then; the worst effect is an unnecessary new connection.
bool IsReusable(const PooledConnection& connection) {
  char byte = 0;
  const ssize_t n = recv(connection.socket->load(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// The state of one call: enforces its deadline and ensures that `done` runs exactly once.
struct Call {
  explicit Call(HttpCallback on_done)
      : done(std::move(on_done)), timer(crossplat::threadpool::shared_instance().service()) {}

  void Finish(HttpResult result) {
    if (finished.exchange(true)) return;
    timer.cancel();
    done(std::move(result));
  }

  HttpCallback done;
  boost::asio::steady_timer timer;
  pplx::cancellation_token_source cancel;
  std::atomic<bool> finished{false};
  std::atomic<bool> timed_out{false};
};

std::error_code ToError(const std::exception& e, bool timed_out) {
  if (timed_out) return ResultCode::kTimeout;
  const auto* http_error = dynamic_cast<const web::http::http_exception*>(&e);
  // The library reports host_unreachable only if it could not connect or write all headers.
  if (http_error != nullptr && http_error->error_code() == std::errc::host_unreachable) {
    return ResultCode::kTargetUnreachable;
  }
  return ResultCode::kTruncatedAnswer;
}

http_request ToRequest(HttpRequest in) {
  http_request out(in.method);
  out.set_request_uri(in.path);
  const std::string type = HeaderOf(in.headers, "Content-Type");
  for (const auto& [name, value] : in.headers) {
    if (strcasecmp(name.c_str(), "Content-Length") == 0) continue;
    if (strcasecmp(name.c_str(), "Host") == 0) continue;
    out.headers().add(name, value);
  }
  if (!in.body.empty()) {
    out.set_body(std::move(in.body), type.empty() ? "application/octet-stream" : type);
  }
  return out;
}

// Returns whether the end of the answer's body can be determined. An answer without a length or
// chunked encoding ends when the connection closes, so a truncated one looks like a complete one.
bool HasDelimitedBody(const http_response& in) {
  return in.headers().has("Content-Length") || in.headers().has("Transfer-Encoding") ||
         in.status_code() == 204 || in.status_code() == 304;
}

HttpResult ToResult(const http_response& in, const std::vector<unsigned char>& body) {
  HttpResult result;
  result.response.status = in.status_code();
  for (const auto& [name, value] : in.headers()) result.response.headers[name] = value;
  result.response.body.assign(body.begin(), body.end());
  const bool cut = in.headers().has("Content-Length") &&
                   in.headers().content_length() != result.response.body.size();
  if (!HasDelimitedBody(in) || cut) result.ec = ResultCode::kTruncatedAnswer;
  return result;
}

void Start(const std::shared_ptr<CpprestClient>& client, HttpRequest request, Duration timeout,
           HttpCallback done) {
  const auto call = std::make_shared<Call>(std::move(done));
  if (timeout <= Duration::zero()) {
    call->Finish({ResultCode::kTimeout, {}});
    return;
  }
  call->timer.expires_after(timeout);
  call->timer.async_wait([call](const boost::system::error_code& ec) {
    if (ec || call->finished.load()) return;
    call->timed_out.store(true);
    call->cancel.cancel();
    call->Finish({ResultCode::kTimeout, {}});
  });
  try {
    client->request(ToRequest(std::move(request)), call->cancel.get_token())
        .then([call, client](const pplx::task<http_response>& task) {
          const http_response in = task.get();
          return in.extract_vector().then([call, in](const std::vector<unsigned char>& body) {
            call->Finish(ToResult(in, body));
          });
        })
        .then([call, client](const pplx::task<void>& task) {
          try {
            task.get();
          } catch (const std::exception& e) {
            call->Finish({ToError(e, call->timed_out.load()), {}});
          }
        });
  } catch (const std::exception& e) {
    call->Finish({ToError(e, false), {}});
  }
}

}  // namespace

struct HttpClient::Impl {
  Impl(const Endpoint& endpoint, ConnectionReuse the_reuse)
      : uri("http://" + ToString(endpoint)), reuse(the_reuse) {}

  PooledConnection Acquire() {
    const std::lock_guard<std::mutex> lock(mutex);
    while (!idle.empty()) {
      PooledConnection connection = std::move(idle.front());
      idle.pop_front();
      if (IsReusable(connection)) return connection;
    }
    return MakeConnection(uri);
  }

  void Return(PooledConnection connection) {
    connection.calls += 1;
    const std::lock_guard<std::mutex> lock(mutex);
    idle.push_back(std::move(connection));
  }

  const std::string uri;
  const ConnectionReuse reuse;
  std::mutex mutex;  // guards `idle`
  // Ordered by idle time, longest first, because the library returns a connection to its own pool
  // only shortly after the answer was read.
  std::deque<PooledConnection> idle;
};

HttpClient::HttpClient(const Endpoint& endpoint, ConnectionReuse reuse)
    : impl_(std::make_shared<Impl>(endpoint, reuse)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpRequest request, Duration timeout, HttpCallback done) {
  static std::atomic<int64_t> next_request_id{1};
  const std::string request_id = std::to_string(next_request_id.fetch_add(1));
  const PooledConnection connection = impl_->Acquire();
  connection.sends->store(0);
  if (impl_->reuse == ConnectionReuse::kWhenRequestIdEchoed)
    request.headers[kRequestIdHeader] = request_id;
  Start(connection.client, std::move(request), timeout,
        [impl = impl_, connection, request_id, done = std::move(done)](HttpResult result) {
          bool reusable = !result.ec;
          if (impl->reuse == ConnectionReuse::kWhenRequestIdEchoed) {
            const std::string echo = HeaderOf(result.response.headers, kRequestIdHeader);
            result.response.headers.erase(kRequestIdHeader);
            reusable = reusable && echo == request_id;
            // An answer without an echo is accepted only on a new connection, because a connection
            // is not reused after such an answer.
            const bool foreign = echo.empty() ? connection.calls > 0 : echo != request_id;
            if (!result.ec && foreign) result = {ResultCode::kTruncatedAnswer, {}};
          }
          // After an error, an answer may still be in flight, so the connection is destroyed
          // together with its client object.
          if (reusable) impl->Return(connection);
          done(std::move(result));
        });
}

void HttpClient::SendOnce(HttpRequest request, Duration timeout, HttpCallback done) {
  // The library keeps one connection pool per client object, so a new object has no connection to
  // reuse.
  request.headers["Connection"] = "close";
  Start(MakeConnection(impl_->uri).client, std::move(request), timeout, std::move(done));
}

HttpResult HttpClient::Call(HttpRequest request, Duration timeout) {
  const auto promise = std::make_shared<std::promise<HttpResult>>();
  std::future<HttpResult> future = promise->get_future();
  Send(std::move(request), timeout,
       [promise](HttpResult it) { promise->set_value(std::move(it)); });
  return future.get();
}

void RunAfter(Duration delay, std::function<void()> done) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      crossplat::threadpool::shared_instance().service());
  timer->expires_after(delay);
  timer->async_wait([timer, done = std::move(done)](const boost::system::error_code& ec) {
    if (!ec) done();
  });
}

}  // namespace pomelopond::http
