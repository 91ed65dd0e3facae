#include "http/http_client.h"

#include <cpprest/http_client.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <future>

namespace pomelopond::http {
namespace {

using web::http::http_request;
using web::http::http_response;

// One call: its deadline and the guarantee that `done` runs once.
struct Call {
  explicit Call(HttpDone on_done)
      : done(std::move(on_done)), timer(crossplat::threadpool::shared_instance().service()) {}

  void Finish(HttpResult result) {
    if (finished.exchange(true)) return;
    timer.cancel();
    done(std::move(result));
  }

  HttpDone done;
  boost::asio::steady_timer timer;
  pplx::cancellation_token_source cancel;
  std::atomic<bool> finished{false};
  std::atomic<bool> timed_out{false};
};

std::error_code ToError(const std::exception& e, bool timed_out) {
  if (timed_out) return ResultCode::kTimeout;
  const auto* http_error = dynamic_cast<const web::http::http_exception*>(&e);
  // The library reports host_unreachable only for failures to connect.
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

// An answer without a length and without chunks ends where the connection does, so a cut cannot be
// told from its end.
bool HasKnownEnd(const http_response& in) {
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
  if (!HasKnownEnd(in) || cut) result.ec = ResultCode::kTruncatedAnswer;
  return result;
}

void Start(const std::shared_ptr<web::http::client::http_client>& client, HttpRequest request,
           Duration timeout, HttpDone done) {
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
  explicit Impl(const Endpoint& endpoint)
      : uri("http://" + ToString(endpoint)),
        client(std::make_shared<web::http::client::http_client>(uri)) {}

  std::string uri;
  std::shared_ptr<web::http::client::http_client> client;
};

HttpClient::HttpClient(const Endpoint& endpoint) : impl_(std::make_shared<Impl>(endpoint)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpRequest request, Duration timeout, HttpDone done) {
  Start(impl_->client, std::move(request), timeout, std::move(done));
}

void HttpClient::SendOnce(HttpRequest request, Duration timeout, HttpDone done) {
  // The pool belongs to the client object, so an object of its own has no connection to reuse.
  request.headers["Connection"] = "close";
  const auto client = std::make_shared<web::http::client::http_client>(impl_->uri);
  Start(client, std::move(request), timeout, std::move(done));
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
