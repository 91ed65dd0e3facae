#include "http/internal/pool_call.h"

#include <arpa/inet.h>
#include <strings.h>

#include <algorithm>
#include <utility>

namespace pomelopond::http {
namespace {

constexpr std::string_view kVersion = " HTTP/1.1\r\nHost: ";
constexpr std::string_view kLength = "\r\nContent-Length: ";
// Room for the line breaks, the lengths and the address.
constexpr size_t kReserve = 96;

bool HasControl(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char it) {
    const auto byte = static_cast<unsigned char>(it);
    return byte < ' ' || byte == 0x7f;
  });
}

bool IsTarget(std::string_view path) {
  return !path.empty() && !HasControl(path) && path.find(' ') == std::string_view::npos;
}

bool IsOwnHeader(const std::string& name) {
  return strcasecmp(name.c_str(), "Host") == 0 || strcasecmp(name.c_str(), "Content-Length") == 0;
}

}  // namespace

std::string RequestText(const HttpRequest& request, const Endpoint& endpoint) {
  if (!IsTarget(request.method) || !IsTarget(request.path)) return {};
  std::string out;
  out.reserve(kReserve + 2 * endpoint.address.size() + request.path.size() + request.body.size() +
              kReserve * request.headers.size());
  out.append(request.method).append(" ").append(request.path).append(kVersion);
  out.append(endpoint.address).append(":").append(std::to_string(endpoint.port));
  for (const auto& [name, value] : request.headers) {
    if (IsOwnHeader(name)) continue;
    if (!IsTarget(name) || HasControl(value)) return {};
    out.append("\r\n").append(name).append(": ").append(value);
  }
  if (!request.body.empty() || request.method != "GET") {
    out.append(kLength).append(std::to_string(request.body.size()));
  }
  out.append("\r\n\r\n").append(request.body);
  return out;
}

PoolCall::PoolCall(const ServerLane& the_lane, const HttpRequest& the_request, Duration the_timeout,
                   HttpCallback on_done, size_t most_answer_bytes, TimePoint now)
    : lane(the_lane.lane),
      max_connections(the_lane.max_connections),
      text(RequestText(the_request, the_lane.endpoint)),
      done(std::move(on_done)),
      max_answer_bytes(most_answer_bytes),
      timeout(the_timeout),
      created_at(now),
      deadline(now + the_timeout) {
  parser.emplace(max_answer_bytes);
  address.sin_family = AF_INET;
  const bool is_address =
      inet_pton(AF_INET, the_lane.endpoint.address.c_str(), &address.sin_addr) == 1;
  if (is_address && !text.empty()) address.sin_port = htons(the_lane.endpoint.port);
}

void PoolCall::Finish(std::error_code ec, HttpResponse response, TimePoint now) {
  HttpResult result;
  result.ec = ec;
  result.response = std::move(response);
  result.queued = (sent_at == TimePoint{} ? now : sent_at) - created_at;
  result.took = now - created_at;
  result.connection = connection_number;
  result.sent_other = sends_other;
  std::exchange(done, nullptr)(std::move(result));
}

}  // namespace pomelopond::http
