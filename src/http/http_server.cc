#include "http/http_server.h"

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <thread>

namespace pomelopond::http {
namespace {

using web::http::http_request;
using web::http::http_response;

constexpr Duration kStopPoll = std::chrono::milliseconds(5);
// Time for the library to write responses that were just handed over.
constexpr Duration kFlushTime = std::chrono::milliseconds(50);

void Send(const http_request& request, HttpResponse response) {
  http_response out(static_cast<web::http::status_code>(response.status));
  for (const auto& [name, value] : response.headers) {
    if (strcasecmp(name.c_str(), "Content-Length") == 0) continue;
    out.headers().add(name, value);
  }
  const std::string type = HeaderOf(response.headers, "Content-Type");
  out.set_body(std::move(response.body), type.empty() ? "application/octet-stream" : type);
  // The peer may be gone; its error must be observed or the library ends the process.
  request.reply(out).then([](const pplx::task<void>& task) {
    try {
      task.get();
    } catch (const std::exception&) {
      return;
    }
  });
}

HttpRequest ToRequest(const http_request& in) {
  HttpRequest out;
  out.method = in.method();
  out.path = in.request_uri().to_string();
  for (const auto& [name, value] : in.headers()) out.headers[name] = value;
  return out;
}

// Empty when the body may be read.
std::error_code CheckBody(const http_request& in, int64_t limit) {
  if (in.headers().has("Transfer-Encoding")) return ResultCode::kLengthRequired;
  if (in.headers().content_length() > static_cast<uint64_t>(limit)) return ResultCode::kTooLarge;
  return {};
}

}  // namespace

void InitThreads(int n) { crossplat::threadpool::initialize_with_threads(static_cast<size_t>(n)); }

struct HttpServer::Impl {
  Impl(const Endpoint& endpoint, int64_t limit, Handler handle)
      : listener("http://" + ToString(endpoint)),
        max_body_bytes(limit),
        handler(std::move(handle)),
        in_flight(std::make_shared<std::atomic<int64_t>>(0)) {}

  Reply MakeReply(const http_request& request) {
    const auto answered = std::make_shared<std::atomic<bool>>(false);
    return [request, answered, counter = in_flight](HttpResponse response) {
      if (answered->exchange(true)) return;
      Send(request, std::move(response));
      counter->fetch_sub(1);
    };
  }

  void Handle(const http_request& request) {
    in_flight->fetch_add(1);
    const Reply reply = MakeReply(request);
    if (const std::error_code ec = CheckBody(request, max_body_bytes)) {
      const auto code = static_cast<ResultCode>(ec.value());
      reply(ErrorResponse(code, "the limit is " + std::to_string(max_body_bytes) +
                                    " bytes, sent with Content-Length"));
      return;
    }
    request.extract_vector().then([this, request,
                                   reply](const pplx::task<std::vector<unsigned char>>& task) {
      try {
        const std::vector<unsigned char> body = task.get();
        HttpRequest in = ToRequest(request);
        in.body.assign(body.begin(), body.end());
        handler(std::move(in), reply);
      } catch (const std::exception& e) {
        reply(ErrorResponse(ResultCode::kBadJson, std::string("request not read: ") + e.what()));
      }
    });
  }

  web::http::experimental::listener::http_listener listener;
  int64_t max_body_bytes;
  Handler handler;
  std::shared_ptr<std::atomic<int64_t>> in_flight;
  bool open = false;
};

HttpServer::HttpServer(const Endpoint& endpoint, int64_t max_body_bytes, Handler handler)
    : impl_(std::make_unique<Impl>(endpoint, max_body_bytes, std::move(handler))) {}

HttpServer::~HttpServer() { Stop(Duration::zero()); }

std::error_code HttpServer::Start() {
  impl_->listener.support([impl = impl_.get()](const http_request& it) { impl->Handle(it); });
  try {
    impl_->listener.open().wait();
  } catch (const std::exception&) {
    return ResultCode::kBadEndpoint;
  }
  impl_->open = true;
  return {};
}

int64_t HttpServer::InFlight() const { return impl_->in_flight->load(); }

int64_t HttpServer::Stop(Duration timeout) {
  if (!impl_->open) return 0;
  const TimePoint deadline = Now() + timeout;
  while (InFlight() > 0 && Now() < deadline) std::this_thread::sleep_for(kStopPoll);
  const int64_t left = InFlight();
  std::this_thread::sleep_for(kFlushTime);
  impl_->open = false;
  try {
    impl_->listener.close().wait();
  } catch (const std::exception&) {
    return left;
  }
  return left;
}

}  // namespace pomelopond::http
