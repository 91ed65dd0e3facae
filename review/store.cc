#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Half of the time that a call takes, before and after it takes effect.
constexpr milliseconds kHalfCall{2};
constexpr size_t kPageItems = 500;
// `value_bytes` of the settings.
constexpr size_t kMaxValueBytes = 1048576;
constexpr milliseconds kExpiryInterval{20};

const char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

Response JsonResponse(int status, const Json& body) { return {status, body.dump(), false}; }

int64_t NumberOf(const Request& request, const char* name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? 0 : std::atoll(it->second.c_str());
}

std::string TextOf(const Request& request, const char* name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? "" : it->second;
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

int64_t LeaseIn(const std::string& path) {
  return std::atoll(path.substr(path.rfind('/') + 1).c_str());
}

}  // namespace

std::string ToBase64(const std::string& bytes) {
  std::string out;
  for (size_t n = 0; n < bytes.size(); n += 3) {
    const size_t left = std::min<size_t>(3, bytes.size() - n);
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 | (k < left ? static_cast<unsigned char>(bytes[n + k]) : 0);
    }
    for (size_t k = 0; k < 4; ++k) {
      out.push_back(k <= left ? kDigits[group >> (18 - 6 * k) & 63] : '=');
    }
  }
  return out;
}

std::string FromBase64(const std::string& text) {
  std::string out;
  uint32_t group = 0;
  int bits = 0;
  for (const char it : text) {
    const char* digit = std::strchr(kDigits, it);
    if (digit == nullptr || it == '\0') break;
    group = group << 6 | static_cast<uint32_t>(digit - kDigits);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    out.push_back(static_cast<char>(group >> bits & 255));
  }
  return out;
}

Store::Store(const std::string& address)
    : server_(address, [this](const Request& request) { return Handle(request); }) {
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(kExpiryInterval);
      ExpireLeases();
    }
  }).detach();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  revision_ += 1;
  Write(key, ToBase64(value), 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  revision_ += 1;
  Erase(key);
}

std::string Store::ValueOf(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = items_.find(key);
  return it == items_.end() ? "" : FromBase64(it->second.value);
}

int Store::RefusedValues() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return refused_values_;
}

void Store::Write(const std::string& key, const std::string& value, int64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.revision = revision_;
  if (item.created == 0) item.created = revision_;
  item.lease = lease;
  history_.push_back({key, revision_, false, item});
  changed_.notify_all();
}

void Store::Erase(const std::string& key) {
  if (items_.erase(key) == 0) return;
  history_.push_back({key, revision_, true, {}});
  changed_.notify_all();
}

void Store::ExpireLeases() {
  const std::lock_guard<std::mutex> lock(mutex_);
  // While the store is down, leases pause.
  if (!server_.Serving()) {
    for (auto& [id, it] : leases_) it.ends += kExpiryInterval;
    return;
  }
  std::vector<int64_t> ended;
  for (const auto& [id, it] : leases_) {
    if (it.ends <= Clock::now()) ended.push_back(id);
  }
  for (const int64_t it : ended) DropLease(it);
}

void Store::DropLease(int64_t id) {
  leases_.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, it] : items_) {
    if (it.lease == id) keys.push_back(key);
  }
  if (!keys.empty()) revision_ += 1;
  for (const std::string& it : keys) Erase(it);
}

Response Store::Handle(const Request& request) {
  std::this_thread::sleep_for(kHalfCall);
  const int life = server_.Life();
  Response response;
  if (request.path == "/api/kv-key") response = Get(request);
  if (request.path == "/api/kv-range") response = Range(request);
  if (request.path == "/api/kv-watch") response = Watch(request);
  if (request.path == "/api/kv-txn") response = Txn(request);
  if (request.path == "/api/kv-lease") response = GrantLease(request);
  if (StartsWith(request.path, "/api/kv-keep/")) response = KeepLease(request);
  if (StartsWith(request.path, "/api/kv-lease-end/")) response = EndLease(request);
  std::this_thread::sleep_for(kHalfCall);
  if (life != server_.Life()) response.reset = true;
  return response;
}

Response Store::Get(const Request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string key = TextOf(request, "key");
  const auto it = items_.find(key);
  if (it == items_.end()) return JsonResponse(404, Json::object());
  return JsonResponse(200, {{"key", key},
                            {"value", it->second.value},
                            {"rev", it->second.revision},
                            {"created", it->second.created},
                            {"lease", it->second.lease},
                            {"current_rev", revision_}});
}

Response Store::Range(const Request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string prefix = TextOf(request, "prefix");
  const std::string after = TextOf(request, "after");
  Json items = Json::array();
  bool more = false;
  for (const auto& [key, it] : items_) {
    if (!StartsWith(key, prefix) || (!after.empty() && key <= after)) continue;
    if (items.size() == kPageItems) {
      more = true;
      break;
    }
    items.push_back({{"key", key},
                     {"value", it.value},
                     {"rev", it.revision},
                     {"created", it.created},
                     {"lease", it.lease}});
  }
  return JsonResponse(200, {{"items", items}, {"has_more", more}, {"current_rev", revision_}});
}

Response Store::Watch(const Request& request) {
  std::unique_lock<std::mutex> lock(mutex_);
  const std::string prefix = TextOf(request, "prefix");
  const int64_t after = NumberOf(request, "after");
  const auto until = Clock::now() + milliseconds(NumberOf(request, "wait_ms"));
  const int life = server_.Life();
  for (;;) {
    Json events = Json::array();
    // Revisions rise, so the search from the newest event on is short.
    size_t first = history_.size();
    while (first > 0 && history_[first - 1].revision > after) --first;
    for (size_t n = first; n < history_.size(); ++n) {
      const Event& it = history_[n];
      if (!StartsWith(it.key, prefix)) continue;
      if (it.deleted) {
        events.push_back({{"key", it.key}, {"rev", it.revision}, {"deleted", true}});
        continue;
      }
      events.push_back({{"key", it.key},
                        {"value", it.item.value},
                        {"rev", it.revision},
                        {"created", it.item.created},
                        {"lease", it.item.lease}});
    }
    if (!events.empty() || Clock::now() >= until || life != server_.Life()) {
      return JsonResponse(200, {{"events", events}, {"current_rev", revision_}});
    }
    changed_.wait_for(lock, kExpiryInterval);
  }
}

Response Store::Txn(const Request& request) {
  const Json body = Json::parse(request.body);
  std::vector<std::string> keys;
  int64_t revision = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    bool holds = true;
    Json current = Json::array();
    for (const Json& it : body.at("if_rev")) {
      const std::string key = it.at("key");
      const auto found = items_.find(key);
      const Item item = found == items_.end() ? Item{} : found->second;
      holds = holds && item.revision == it.at("rev").get<int64_t>();
      current.push_back({{"key", key},
                         {"value", item.value},
                         {"rev", item.revision},
                         {"created", item.created},
                         {"lease", item.lease}});
    }
    if (!holds) return JsonResponse(412, {{"items", current}, {"current_rev", revision_}});
    for (const Json& it : body.at("writes")) {
      const auto& value = it.at("value").get_ref<const std::string&>();
      if (value.size() / 4 * 3 > kMaxValueBytes + 2) {
        refused_values_ += 1;
        return JsonResponse(400, {{"error", "a value is too long"}});
      }
      const int64_t lease = it.value("lease", int64_t{0});
      if (lease != 0 && leases_.count(lease) == 0) return JsonResponse(404, Json::object());
    }
    revision_ += 1;
    for (const Json& it : body.at("writes")) {
      Write(it.at("key"), it.at("value"), it.value("lease", int64_t{0}));
      keys.push_back(it.at("key"));
    }
    for (const Json& it : body.at("remove")) Erase(it);
    revision = revision_;
  }
  if (crash_after && crash_after(keys)) {
    GoDown();
    return {200, "", true};
  }
  return JsonResponse(200, {{"rev", revision}});
}

Response Store::GrantLease(const Request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const milliseconds ttl(Json::parse(request.body).at("ttl_ms").get<int64_t>());
  const int64_t id = next_lease_++;
  leases_[id] = {ttl, Clock::now() + ttl};
  return JsonResponse(200, {{"lease", id}, {"ttl_ms", ttl.count()}});
}

Response Store::KeepLease(const Request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = leases_.find(LeaseIn(request.path));
  if (it == leases_.end()) return JsonResponse(404, Json::object());
  it->second.ends = Clock::now() + it->second.ttl;
  return JsonResponse(200, {{"lease", it->first}, {"ttl_ms", it->second.ttl.count()}});
}

Response Store::EndLease(const Request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const int64_t id = LeaseIn(request.path);
  if (leases_.count(id) == 0) return JsonResponse(404, Json::object());
  DropLease(id);
  return JsonResponse(200, Json::object());
}

}  // namespace review
