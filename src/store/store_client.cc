#include "store/store_client.h"

#include "base/result_code.h"
#include "http/http_client.h"

namespace pomelopond::store {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpTooManyRequests = 429;

std::error_code ToStoreError(const std::error_code& ec) {
  if (ec == ResultCode::kTargetUnreachable) return ResultCode::kStoreUnavailable;
  return ResultCode::kStoreAnswerLost;
}

}  // namespace

struct StoreClient::Impl {
  Impl(const Endpoint& endpoint, Duration limit) : client(endpoint), timeout(limit) {}

  // The HTTP library may repeat a call over a new connection if the pooled connection turns out to
  // be closed. The second copy of a transaction then fails its comparison. Callers must therefore
  // read back the result after a failed comparison, as they do after a lost answer.
  Result<Json> Post(const std::string& path, const Json& body) {
    http::HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.headers["Content-Type"] = "application/json";
    request.body = body.dump();
    const http::HttpResult result = client.Call(std::move(request), timeout);
    if (result.ec) return {ToStoreError(result.ec), {}};
    // The gateway rejects calls that exceed its rate limit before it runs them.
    if (result.response.status == kHttpTooManyRequests) return {ResultCode::kStoreUnavailable, {}};
    if (result.response.status != kHttpOk) return {ResultCode::kStoreAnswerLost, {}};
    Result<Json> answer = ParseJson(result.response.body);
    if (!answer.ok()) return {ResultCode::kStoreBadAnswer, {}};
    return answer;
  }

  Result<std::vector<KeyValue>> Range(const Json& body) {
    const Result<Json> answer = Post("/v3/kv/range", body);
    if (!answer.ok()) return {answer.ec, {}};
    return ParseRangeResult(answer.value);
  }

  http::HttpClient client;
  Duration timeout;
};

StoreClient::StoreClient(const Endpoint& endpoint, Duration timeout)
    : impl_(std::make_unique<Impl>(endpoint, timeout)) {}

StoreClient::~StoreClient() = default;

Result<KeyValue> StoreClient::Get(const std::string& key) {
  const Result<std::vector<KeyValue>> values = impl_->Range({{"key", EncodeBase64(key)}});
  if (!values.ok()) return {values.ec, {}};
  if (values.value.empty()) return {{}, {key, {}, 0}};
  return {{}, values.value.front()};
}

Result<std::vector<KeyValue>> StoreClient::List(const std::string& prefix, int64_t limit) {
  return impl_->Range({{"key", EncodeBase64(prefix)},
                       {"range_end", EncodeBase64(PrefixEnd(prefix))},
                       {"limit", std::to_string(limit)}});
}

Result<std::vector<KeyValue>> StoreClient::Range(const std::string& first, const std::string& end,
                                                 int64_t limit) {
  return impl_->Range({{"key", EncodeBase64(first)},
                       {"range_end", EncodeBase64(end)},
                       {"limit", std::to_string(limit)}});
}

Result<TxnResult> StoreClient::Commit(const Txn& txn) {
  const Result<Json> answer = impl_->Post("/v3/kv/txn", ToJson(txn));
  if (!answer.ok()) return {answer.ec, {}};
  return ParseTxnResult(answer.value);
}

Result<int64_t> StoreClient::GrantLease(Duration ttl) {
  const int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(ttl).count();
  const Result<Json> answer =
      impl_->Post("/v3/lease/grant", {{"TTL", std::to_string(seconds < 1 ? 1 : seconds)}});
  if (!answer.ok()) return {answer.ec, {}};
  const Result<int64_t> id = ParseInt64(answer.value, "ID");
  if (id.ok() && id.value == 0) return {ResultCode::kStoreBadAnswer, {}};
  return id;
}

std::error_code StoreClient::KeepAlive(int64_t lease) {
  const Result<Json> answer = impl_->Post("/v3/lease/keepalive", {{"ID", std::to_string(lease)}});
  if (!answer.ok()) return answer.ec;
  if (!answer.value.is_object() || !answer.value.contains("result")) {
    return ResultCode::kStoreBadAnswer;
  }
  // The store reports a TTL of 0 for a lease that no longer exists.
  const Result<int64_t> ttl = ParseInt64(answer.value["result"], "TTL");
  if (!ttl.ok()) return ttl.ec;
  return ttl.value > 0 ? ResultCode::kOk : ResultCode::kNotFound;
}

std::error_code StoreClient::Revoke(int64_t lease) {
  return impl_->Post("/v3/lease/revoke", {{"ID", std::to_string(lease)}}).ec;
}

}  // namespace pomelopond::store
