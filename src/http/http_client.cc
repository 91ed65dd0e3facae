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
struct PendingCall {
  PendingCall(HttpRequest the_request, HttpCallback on_done)
      : request(std::move(the_request)),
        done(std::move(on_done)),
        timer(crossplat::threadpool::shared_instance().service()) {}

  void Finish(HttpResult result) {
    if (finished.exchange(true)) return;
    timer.cancel();
    result.took = Now() - created_at;
    done(std::move(result));
  }

  HttpRequest request;
  HttpCallback done;
  std::string request_id;         // to be echoed by the server; empty: no echo expected
  bool keeps_connection = false;  // the connection may carry further requests
  boost::asio::steady_timer timer;
  const TimePoint created_at = Now();
  pplx::cancellation_token_source cancel;
  std::atomic<bool> finished{false};
  std::atomic<bool> timed_out{false};
};

using CallPtr = std::shared_ptr<PendingCall>;

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

void StartTimer(const CallPtr& call, Duration timeout) {
  call->timer.expires_after(timeout);
  call->timer.async_wait([call](const boost::system::error_code& ec) {
    if (ec || call->finished.load()) return;
    call->timed_out.store(true);
    call->cancel.cancel();
    call->Finish({ResultCode::kTimeout, {}});
  });
}

// Checks that the answer belongs to the request: it must echo the request's id. An answer without
// an echo is accepted only on a new connection, which is not used again.
void CheckEcho(const PendingCall& call, bool is_new, HttpResult* result, bool* reusable) {
  if (call.request_id.empty()) return;
  const std::string echo = HeaderOf(result->response.headers, kRequestIdHeader);
  result->response.headers.erase(kRequestIdHeader);
  *reusable = *reusable && echo == call.request_id;
  const bool foreign = echo.empty() ? !is_new : echo != call.request_id;
  if (!result->ec && foreign) *result = {ResultCode::kTruncatedAnswer, {}};
}

}  // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
  class Exchange;

  Impl(const Endpoint& endpoint, const HttpClientOptions& the_options)
      : uri("http://" + ToString(endpoint)), options(the_options) {}

  // Returns the connection that has been idle for longest, or a new one.
  PooledConnection Acquire();
  void Release(PooledConnection connection, bool reusable);
  void SendOver(const CallPtr& call, PooledConnection connection);

  const std::string uri;
  const HttpClientOptions options;
  std::mutex mutex;                   // guards `idle`
  std::deque<PooledConnection> idle;  // longest idle first
};

// One call over one connection. It is complete once the call has its result and the library no
// longer uses the connection, which is shortly after the answer was read. If the connection took
// another request before that, the library would open a second one for it.
class HttpClient::Impl::Exchange {
 public:
  Exchange(std::shared_ptr<Impl> impl, CallPtr call, PooledConnection connection)
      : impl_(std::move(impl)), call_(std::move(call)), connection_(std::move(connection)) {}
  // Completes the exchange in a task of its own: the library may destroy its last reference in the
  // middle of its own cleanup of the connection.
  ~Exchange() {
    crossplat::threadpool::shared_instance().service().post(
        [impl = std::move(impl_), call = std::move(call_), connection = std::move(connection_),
         result = std::move(result_)]() mutable {
          // After an error, an answer may still be in flight, so the connection is destroyed
          // together with its client object.
          bool reusable = !result.ec && call->keeps_connection;
          CheckEcho(*call, connection.calls == 0, &result, &reusable);
          impl->Release(std::move(connection), reusable);
          call->Finish(std::move(result));
        });
  }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const PendingCall& call() const { return *call_; }
  CpprestClient& client() const { return *connection_.client; }
  void SetResult(HttpResult result) { result_ = std::move(result); }

 private:
  std::shared_ptr<Impl> impl_;
  CallPtr call_;
  PooledConnection connection_;
  HttpResult result_{ResultCode::kTruncatedAnswer, {}};
};

PooledConnection HttpClient::Impl::Acquire() {
  const std::lock_guard<std::mutex> lock(mutex);
  while (!idle.empty()) {
    PooledConnection connection = std::move(idle.front());
    idle.pop_front();
    if (IsReusable(connection)) return connection;
  }
  return MakeConnection(uri);
}

void HttpClient::Impl::Release(PooledConnection connection, bool reusable) {
  if (!reusable) return;
  connection.calls += 1;
  const std::lock_guard<std::mutex> lock(mutex);
  idle.push_back(std::move(connection));
}

void HttpClient::Impl::SendOver(const CallPtr& call, PooledConnection connection) {
  connection.sends->store(0);
  const auto exchange = std::make_shared<Exchange>(shared_from_this(), call, std::move(connection));
  try {
    http_request request = ToRequest(std::move(call->request));
    // The library destroys the request once it no longer uses the connection.
    request.set_progress_handler([exchange](web::http::message_direction::direction, uint64_t) {});
    exchange->client()
        .request(request, call->cancel.get_token())
        .then([exchange](const pplx::task<http_response>& task) {
          const http_response in = task.get();
          return in.extract_vector().then([exchange, in](const std::vector<unsigned char>& body) {
            exchange->SetResult(ToResult(in, body));
          });
        })
        .then([exchange](const pplx::task<void>& task) {
          try {
            task.get();
          } catch (const std::exception& e) {
            exchange->SetResult({ToError(e, exchange->call().timed_out.load()), {}});
          }
        });
  } catch (const std::exception& e) {
    exchange->SetResult({ToError(e, false), {}});
  }
}

HttpClient::HttpClient(const Endpoint& endpoint, const HttpClientOptions& options)
    : impl_(std::make_shared<Impl>(endpoint, options)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpRequest request, Duration timeout, HttpCallback done) {
  static std::atomic<int64_t> next_request_id{1};
  const auto call = std::make_shared<PendingCall>(std::move(request), std::move(done));
  if (timeout <= Duration::zero()) return call->Finish({ResultCode::kTimeout, {}});
  call->keeps_connection = true;
  if (impl_->options.reuse == ConnectionReuse::kWhenRequestIdEchoed) {
    call->request_id = std::to_string(next_request_id.fetch_add(1));
    call->request.headers[kRequestIdHeader] = call->request_id;
  }
  StartTimer(call, timeout);
  impl_->SendOver(call, impl_->Acquire());
}

void HttpClient::SendOnce(HttpRequest request, Duration timeout, HttpCallback done) {
  const auto call = std::make_shared<PendingCall>(std::move(request), std::move(done));
  if (timeout <= Duration::zero()) return call->Finish({ResultCode::kTimeout, {}});
  call->request.headers["Connection"] = "close";
  StartTimer(call, timeout);
  impl_->SendOver(call, MakeConnection(impl_->uri));
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
