#include "http/http_server.h"

#include <cpprest/http_listener.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cstring>
#include <thread>

#include "http/http_client.h"

namespace pomelopond::http {
namespace {

using web::http::http_request;
using web::http::http_response;

constexpr Duration kStopPoll = std::chrono::milliseconds(5);
// Closing the listener cuts off a request that arrives at the same moment. Stop() therefore closes
// it only after no request has arrived for this long.
constexpr Duration kStopQuietPeriod = std::chrono::milliseconds(300);

// How long the server waits for the body of a refused request.
constexpr Duration kRefusedBodyTimeout = std::chrono::milliseconds(250);

// Writes a response. Calls `on_written` when the response has been written or its connection is
// lost.
void Send(const http_request& request, HttpResponse response, bool close_connection,
          std::function<void()> on_written) {
  http_response out(static_cast<web::http::status_code>(response.status));
  for (const auto& [name, value] : response.headers) {
    if (strcasecmp(name.c_str(), "Content-Length") == 0) continue;
    if (close_connection && strcasecmp(name.c_str(), "Connection") == 0) continue;
    if (strcasecmp(name.c_str(), kRequestIdHeader) == 0) continue;
    out.headers().add(name, value);
  }
  if (close_connection) out.headers().add("Connection", "close");
  const auto name = request.headers().find(kRequestIdHeader);
  if (name != request.headers().end()) out.headers().add(name->first, name->second);
  const std::string type = HeaderOf(response.headers, "Content-Type");
  out.set_body(std::move(response.body), type.empty() ? "application/octet-stream" : type);
  // Writing fails if the peer has disconnected. The task's exception must be observed, or the
  // library terminates the process.
  request.reply(out).then([on_written = std::move(on_written)](const pplx::task<void>& task) {
    try {
      task.get();
    } catch (const std::exception&) {
      return on_written();
    }
    on_written();
  });
}

HttpRequest ToRequest(const http_request& in) {
  HttpRequest out;
  out.method = in.method();
  out.path = in.request_uri().to_string();
  for (const auto& [name, value] : in.headers()) out.headers[name] = value;
  return out;
}

bool IsDigits(const std::string& text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
}

bool IsToken(const std::string& text) {
  static constexpr const char* kSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char it) {
    return it < 128 && (std::isalnum(it) != 0 || std::strchr(kSymbols, it) != nullptr);
  });
}

// A forwarded header that contains a line feed would reach a target as two headers or two requests.
bool HasControlCharacters(const std::string& text) {
  return std::any_of(text.begin(), text.end(),
                     [](unsigned char it) { return (it < 32 && it != '\t') || it == 127; });
}

// Returns no error if the request is well-formed and its body may be read. A length that is not a
// number must be rejected, because the library treats it as 0 and would parse the body as the next
// request.
std::error_code CheckRequest(const http_request& in, int64_t limit) {
  if (in.http_version().major != 1) return ResultCode::kBadField;
  for (const auto& [name, value] : in.headers()) {
    if (!IsToken(name) || HasControlCharacters(value)) return ResultCode::kBadField;
  }
  if (in.headers().has("Transfer-Encoding")) return ResultCode::kLengthRequired;
  const auto length = in.headers().find("Content-Length");
  if (length != in.headers().end() && !IsDigits(length->second)) return ResultCode::kBadField;
  if (in.headers().content_length() > static_cast<uint64_t>(limit)) return ResultCode::kTooLarge;
  return {};
}

}  // namespace

// Counts the requests of a server. It outlives the server, because replies may arrive after the
// server is destroyed.
struct RequestTracker {
  std::atomic<int64_t> in_flight{0};
  std::atomic<int64_t> arrived{0};
  std::atomic<bool> stopping{false};
};

struct HttpServer::Impl {
  Impl(const Endpoint& endpoint, int64_t limit, Handler handle)
      : listener("http://" + ToString(endpoint)),
        max_body_bytes(limit),
        handler(std::move(handle)),
        tracker(std::make_shared<RequestTracker>()) {}

  Reply MakeReply(const http_request& request) {
    const auto answered = std::make_shared<std::atomic<bool>>(false);
    return [request, answered, all = tracker](HttpResponse response) {
      if (answered->exchange(true)) return;
      Send(request, std::move(response), all->stopping.load(),
           [all] { all->in_flight.fetch_sub(1); });
    };
  }

  void Handle(const http_request& request) {
    tracker->in_flight.fetch_add(1);
    tracker->arrived.fetch_add(1);
    const Reply reply = MakeReply(request);
    if (const std::error_code ec = CheckRequest(request, max_body_bytes)) {
      const auto code = static_cast<ResultCode>(ec.value());
      const std::string text = code == ResultCode::kBadField
                                   ? "malformed header or HTTP version"
                                   : "the limit is " + std::to_string(max_body_bytes) +
                                         " bytes, sent with Content-Length";
      HttpResponse refusal = ErrorResponse(code, text);
      refusal.headers["Connection"] = "close";
      reply(std::move(refusal));
      // The library writes no response before it has read the whole body, whatever its length.
      // Marking the body as read ends this wait, and the connection is closed after the response.
      // The delay is needed because closing the connection while the caller still sends would reset
      // it before the caller has read the response.
      RunAfter(kRefusedBodyTimeout,
               [request] { request._get_impl()->_get_data_available().set(0); });
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
  std::shared_ptr<RequestTracker> tracker;
  bool open = false;
};

HttpServer::HttpServer(const Endpoint& endpoint, int64_t max_body_bytes, Handler handler)
    : impl_(std::make_unique<Impl>(endpoint, max_body_bytes, std::move(handler))) {}

HttpServer::~HttpServer() { Stop(Duration::zero()); }

std::error_code HttpServer::Start() {
  const auto handle = [impl = impl_.get()](const http_request& it) { impl->Handle(it); };
  impl_->listener.support(handle);
  // The library would otherwise answer OPTIONS and TRACE itself, and echo the caller's headers in
  // the answer to TRACE.
  impl_->listener.support(web::http::methods::OPTIONS, handle);
  impl_->listener.support(web::http::methods::TRCE, handle);
  try {
    impl_->listener.open().wait();
  } catch (const std::exception&) {
    return ResultCode::kBadEndpoint;
  }
  impl_->open = true;
  return {};
}

int64_t HttpServer::InFlight() const { return impl_->tracker->in_flight.load(); }

void HttpServer::BeginStop() { impl_->tracker->stopping.store(true); }

int64_t HttpServer::Stop(Duration timeout) {
  if (!impl_->open) return 0;
  BeginStop();
  const TimePoint deadline = Now() + timeout;
  int64_t arrived = impl_->tracker->arrived.load();
  TimePoint idle_since = Now();
  for (TimePoint now = Now(); now < deadline; now = Now()) {
    const int64_t n = impl_->tracker->arrived.load();
    if (n != arrived || InFlight() > 0) idle_since = now;
    arrived = n;
    if (now - idle_since >= kStopQuietPeriod) break;
    std::this_thread::sleep_for(kStopPoll);
  }
  const int64_t left = InFlight();
  impl_->open = false;
  try {
    impl_->listener.close().wait();
  } catch (const std::exception&) {
    return left;
  }
  return left;
}

}  // namespace pomelopond::http
