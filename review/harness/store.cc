#include "store.h"

#include <algorithm>
#include <cstdlib>

namespace pomelopond::review {
namespace {

constexpr size_t kMaxItems = 500;
constexpr size_t kMaxValueBytes = 1048576;
constexpr size_t kKeptEvents = 200000;
constexpr milliseconds kExpiryStep{10};

std::string ToBase64(const std::string& text) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t n = 0; n < text.size(); n += 3) {
    uint32_t bits = 0;
    for (size_t k = 0; k < 3; ++k) {
      bits = (bits << 8) | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      out += n + k > text.size() ? '=' : kDigits[(bits >> (18 - 6 * k)) & 63U];
    }
  }
  return out;
}

Response Answer(const Json& body, int status = 200) { return {status, body.dump(), false}; }

std::string Param(const Request& request, const char* name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? std::string() : it->second;
}

int64_t IntParam(const Request& request, const char* name) {
  return std::strtoll(Param(request, name).c_str(), nullptr, 10);
}

bool BeginsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

Store::Store(const Address& address) {
  expiry_ = std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(kExpiryStep);
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopped_) return;
      ExpireLeases();
    }
  });
  server_ = std::make_unique<Server>(address, [this](const Request& it) { return Handle(it); });
}

Store::~Store() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
    changed_.notify_all();
  }
  server_.reset();
  expiry_.join();
}

void Store::Put(const std::string& key, const Json& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  rev_ += 1;
  Write(key, ToBase64(value.dump()), 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (items_.count(key) == 0) return;
  rev_ += 1;
  Erase(key);
}

Response Store::Handle(const Request& request) {
  const std::string& path = request.path;
  try {
    // The answer is slow, not the change.
    if (path == "/api/kv-watch") {
      Response answer = Watch(request);
      std::this_thread::sleep_for(delay());
      return answer;
    }
  } catch (const Json::exception& e) {
    return Answer({{"error", e.what()}}, 400);
  }
  std::this_thread::sleep_for(delay());
  try {
    if (path == "/api/kv-key") return Get(request);
    if (path == "/api/kv-range") return Range(request);
    if (path == "/api/kv-txn") return Commit(request);
    if (path == "/api/kv-lease") return GrantLease(request);
    const int64_t id = std::strtoll(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    if (BeginsWith(path, "/api/kv-keep/")) return KeepLease(id);
    if (BeginsWith(path, "/api/kv-lease-end/")) return EndLease(id);
  } catch (const Json::exception& e) {
    return Answer({{"error", e.what()}}, 400);
  }
  return Answer(Json::object(), 404);
}

Json Store::ToJson(const std::string& key, const Item& item) const {
  return {{"key", key},
          {"value", item.value},
          {"rev", item.rev},
          {"created", item.created},
          {"lease", item.lease}};
}

Response Store::Get(const Request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = items_.find(Param(request, "key"));
  if (it == items_.end()) return Answer({{"current_rev", rev_}}, 404);
  Json out = ToJson(it->first, it->second);
  out["current_rev"] = rev_;
  return Answer(out);
}

Response Store::Range(const Request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string prefix = Param(request, "prefix");
  const std::string after = Param(request, "after");
  Json list = Json::array();
  bool more = false;
  size_t bytes = 0;
  for (auto it = items_.lower_bound(std::max(prefix, after));
       it != items_.end() && BeginsWith(it->first, prefix); ++it) {
    if (it->first == after) continue;
    more = list.size() >= kMaxItems || bytes >= kMaxValueBytes;
    if (more) break;
    bytes += it->second.value.size();
    list.push_back(ToJson(it->first, it->second));
  }
  return Answer({{"items", std::move(list)}, {"has_more", more}, {"current_rev", rev_}});
}

Response Store::Watch(const Request& request) {
  const std::string prefix = Param(request, "prefix");
  const int64_t after = IntParam(request, "after");
  const auto until = Clock::now() + milliseconds(IntParam(request, "wait_ms"));
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    if (!events_.empty() && events_.size() >= kKeptEvents && events_.front().rev > after + 1) {
      return Answer(Json::object(), 410);
    }
    Json found = Json::array();
    const auto first = std::upper_bound(events_.begin(), events_.end(), after,
                                        [](int64_t rev, const Event& it) { return rev < it.rev; });
    for (auto it = first; it != events_.end(); ++it) {
      if (BeginsWith(it->key, prefix)) found.push_back(it->body);
    }
    const bool over = stopped_ || Clock::now() >= until;
    if (!found.empty() || over) {
      return Answer({{"events", std::move(found)}, {"current_rev", rev_}});
    }
    changed_.wait_until(lock, until);
  }
}

Response Store::Commit(const Request& request) {
  const Json in = Json::parse(request.body);
  const std::lock_guard<std::mutex> lock(mutex_);
  ExpireLeases();
  Json present = Json::array();
  bool holds = true;
  for (const Json& it : in.value("if_rev", Json::array())) {
    const std::string key = it.at("key");
    const auto item = items_.find(key);
    const int64_t rev = item == items_.end() ? 0 : item->second.rev;
    holds = holds && rev == it.at("rev").get<int64_t>();
    present.push_back(item == items_.end() ? ToJson(key, {}) : ToJson(key, item->second));
  }
  if (!holds) return Answer({{"items", std::move(present)}, {"current_rev", rev_}}, 412);
  const Json writes = in.value("writes", Json::array());
  for (const Json& it : writes) {
    const int64_t lease = it.value("lease", int64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) return Answer(Json::object(), 404);
    // Four digits of base64 hold three bytes.
    if (it.at("value").get_ref<const std::string&>().size() / 4 * 3 > kMaxValueBytes + 2) {
      refused_ += 1;
      return Answer({{"error", "value is too large"}}, 400);
    }
  }
  rev_ += 1;
  for (const Json& it : writes) Write(it.at("key"), it.at("value"), it.value("lease", int64_t{0}));
  for (const Json& it : in.value("remove", Json::array())) Erase(it);
  return Answer({{"rev", rev_}});
}

Response Store::GrantLease(const Request& request) {
  const int64_t ttl_ms = Json::parse(request.body).at("ttl_ms");
  const std::lock_guard<std::mutex> lock(mutex_);
  const int64_t id = next_lease_++;
  leases_[id] = {ttl_ms, Clock::now() + milliseconds(ttl_ms)};
  return Answer({{"lease", id}, {"ttl_ms", ttl_ms}});
}

Response Store::KeepLease(int64_t id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ExpireLeases();
  const auto it = leases_.find(id);
  if (it == leases_.end()) return Answer(Json::object(), 404);
  it->second.ends = Clock::now() + milliseconds(it->second.ttl_ms);
  return Answer({{"lease", id}, {"ttl_ms", it->second.ttl_ms}});
}

Response Store::EndLease(int64_t id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (leases_.count(id) == 0) return Answer(Json::object(), 404);
  DropLease(id);
  return Answer(Json::object());
}

void Store::Write(const std::string& key, const std::string& value, int64_t lease) {
  Item& item = items_[key];
  if (item.created == 0) item.created = rev_;
  item.value = value;
  item.rev = rev_;
  item.lease = lease;
  events_.push_back({rev_, key, ToJson(key, item)});
  if (events_.size() > kKeptEvents) events_.pop_front();
  changed_.notify_all();
}

void Store::Erase(const std::string& key) {
  if (items_.erase(key) == 0) return;
  events_.push_back({rev_, key, {{"key", key}, {"rev", rev_}, {"deleted", true}}});
  changed_.notify_all();
}

void Store::DropLease(int64_t id) {
  leases_.erase(id);
  rev_ += 1;
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == id) keys.push_back(key);
  }
  for (const std::string& it : keys) Erase(it);
}

void Store::ExpireLeases() {
  const auto now = Clock::now();
  std::vector<int64_t> over;
  for (const auto& [id, lease] : leases_) {
    if (lease.ends <= now) over.push_back(id);
  }
  for (const int64_t it : over) DropLease(it);
}

}  // namespace pomelopond::review
