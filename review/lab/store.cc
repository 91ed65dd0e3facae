#include "review/lab/store.h"

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

namespace pomelopond::lab {
namespace {

constexpr size_t kPageItems = 500;
constexpr size_t kPageBytes = 1000000;
constexpr size_t kMaxEntries = 32;
constexpr size_t kMaxValueBytes = 1048576;
constexpr auto kAnswerTime = std::chrono::milliseconds(4);
constexpr auto kLeaseCheck = std::chrono::milliseconds(50);

Response Answer(int status, const Json& body) { return {status, body.dump(), {}}; }

std::string FromBase64(const std::string& text) {
  static const std::string digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  uint32_t bits = 0;
  int n = 0;
  for (const char it : text) {
    const size_t digit = digits.find(it);
    if (digit == std::string::npos) break;
    bits = bits << 6 | static_cast<uint32_t>(digit);
    n += 6;
    if (n < 8) continue;
    n -= 8;
    out.push_back(static_cast<char>(bits >> n & 255U));
  }
  return out;
}

int64_t NumberOf(const Request& request, const std::string& name) {
  return std::strtoll(QueryOf(request, name).c_str(), nullptr, 10);
}

}  // namespace

std::string ToBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t n = 0; n < bytes.size(); n += 3) {
    uint32_t bits = 0;
    const size_t left = std::min<size_t>(3, bytes.size() - n);
    for (size_t k = 0; k < 3; ++k) {
      bits = bits << 8 | (k < left ? static_cast<unsigned char>(bytes[n + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      out.push_back(k <= left ? kDigits[bits >> (18 - 6 * k) & 63U] : '=');
    }
  }
  return out;
}

Store::Store() = default;

int Store::Start(const std::string& address) {
  std::thread([this] {
    for (;;) {
      std::this_thread::sleep_for(kLeaseCheck);
      const std::lock_guard<std::mutex> lock(mutex_);
      EndLeases();
    }
  }).detach();
  return Serve(address, 0, [this](const Request& request) {
    Hook hook;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      hook = hook_;
    }
    if (hook) {
      const Response instead = hook(request);
      if (instead.status != 0) return instead.status < 0 ? Response{} : instead;
    }
    std::this_thread::sleep_for(kAnswerTime);
    return Handle(request);
  });
}

void Store::SetHook(Hook hook) {
  const std::lock_guard<std::mutex> lock(mutex_);
  hook_ = std::move(hook);
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Write(key, ToBase64(value), 0, ++rev_);
  changed_.notify_all();
}

bool Store::Has(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return items_.count(key) > 0;
}

std::string Store::ValueOf(const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = items_.find(key);
  return it == items_.end() ? std::string() : FromBase64(it->second.value);
}

std::vector<std::string> Store::Keys(const std::string& prefix) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> out;
  for (auto it = items_.lower_bound(prefix); it != items_.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    out.push_back(it->first);
  }
  return out;
}

Response Store::Handle(const Request& request) {
  const std::string path = PathOf(request);
  if (path == "/api/kv-watch") return Watch(request);
  const std::lock_guard<std::mutex> lock(mutex_);
  EndLeases();
  if (path == "/api/kv-key") return Get(request);
  if (path == "/api/kv-range") return Range(request);
  if (path == "/api/kv-txn") return Txn(request);
  if (path == "/api/kv-lease") return Grant(request);
  const int64_t id = std::strtoll(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
  if (path.find("/api/kv-keep/") == 0) return Keep(id);
  if (path.find("/api/kv-lease-end/") != 0) return Answer(404, Json::object());
  const auto lease = leases_.find(id);
  if (lease == leases_.end()) return Answer(404, Json::object());
  lease->second.ends = Clock::time_point{};
  EndLeases();
  return Answer(200, Json::object());
}

void Store::EndLeases() {
  const auto now = Clock::now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.ends > now) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == it->first) keys.push_back(key);
    }
    for (const std::string& key : keys) Remove(key, ++rev_);
    it = leases_.erase(it);
    changed_.notify_all();
  }
}

void Store::Write(const std::string& key, const std::string& value, int64_t lease, int64_t rev) {
  Item& item = items_[key];
  if (item.created == 0) item.created = rev;
  item.value = value;
  item.rev = rev;
  item.lease = lease;
  events_.emplace_back(rev, Json{{"key", key},
                                 {"value", value},
                                 {"rev", rev},
                                 {"created", item.created},
                                 {"lease", lease}});
}

void Store::Remove(const std::string& key, int64_t rev) {
  if (items_.erase(key) == 0) return;
  events_.emplace_back(rev, Json{{"key", key}, {"rev", rev}, {"deleted", true}});
}

namespace {

template <class Item>
Json JsonOf(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", item.value},
          {"rev", item.rev},
          {"created", item.created},
          {"lease", item.lease}};
}

}  // namespace

Response Store::Get(const Request& request) {
  const auto it = items_.find(QueryOf(request, "key"));
  if (it == items_.end()) return Answer(404, {{"current_rev", rev_}});
  Json out = JsonOf(it->first, it->second);
  out["current_rev"] = rev_;
  return Answer(200, out);
}

Response Store::Range(const Request& request) {
  const std::string prefix = QueryOf(request, "prefix");
  const std::string after = QueryOf(request, "after");
  Json list = Json::array();
  size_t bytes = 0;
  bool has_more = false;
  auto it = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
  for (; it != items_.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
    if (list.size() >= kPageItems || bytes >= kPageBytes) {
      has_more = true;
      break;
    }
    bytes += it->second.value.size();
    list.push_back(JsonOf(it->first, it->second));
  }
  return Answer(200, {{"items", std::move(list)}, {"has_more", has_more}, {"current_rev", rev_}});
}

Response Store::Txn(const Request& request) {
  const Json in = Json::parse(request.body);
  const Json& conditions = in.at("if_rev");
  const Json writes = in.value("writes", Json::array());
  const Json removes = in.value("remove", Json::array());
  if (conditions.size() + writes.size() + removes.size() > kMaxEntries) {
    return Answer(400, Json::object());
  }
  bool holds = true;
  Json present = Json::array();
  for (const Json& it : conditions) {
    const auto key = it.at("key").get<std::string>();
    const auto item = items_.find(key);
    const int64_t rev = item == items_.end() ? 0 : item->second.rev;
    holds = holds && rev == it.at("rev").get<int64_t>();
    present.push_back(item == items_.end() ? Json{{"key", key}, {"rev", 0}}
                                           : JsonOf(key, item->second));
  }
  for (const Json& it : writes) {
    const int64_t lease = it.value("lease", int64_t{0});
    if (lease != 0 && leases_.count(lease) == 0) return Answer(404, Json::object());
    if (it.at("value").get_ref<const std::string&>().size() / 4 * 3 > kMaxValueBytes + 3) {
      return Answer(413, Json::object());
    }
  }
  if (!holds) return Answer(412, {{"items", std::move(present)}});
  rev_ += 1;
  for (const Json& it : writes) {
    Write(it.at("key").get<std::string>(), it.at("value").get<std::string>(),
          it.value("lease", int64_t{0}), rev_);
  }
  for (const Json& it : removes) Remove(it.get<std::string>(), rev_);
  changed_.notify_all();
  return Answer(200, {{"rev", rev_}});
}

Response Store::Grant(const Request& request) {
  const std::chrono::milliseconds ttl(Json::parse(request.body).at("ttl_ms").get<int64_t>());
  leases_[++last_lease_] = {ttl, Clock::now() + ttl};
  return Answer(200, {{"lease", last_lease_}, {"ttl_ms", ttl.count()}});
}

Response Store::Keep(int64_t id) {
  const auto it = leases_.find(id);
  if (it == leases_.end()) return Answer(404, Json::object());
  it->second.ends = Clock::now() + it->second.ttl;
  return Answer(200, {{"lease", id}, {"ttl_ms", it->second.ttl.count()}});
}

Response Store::Watch(const Request& request) {
  const std::string prefix = QueryOf(request, "prefix");
  const int64_t after = NumberOf(request, "after");
  const auto until = Clock::now() + std::chrono::milliseconds(NumberOf(request, "wait_ms"));
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    Json found = Json::array();
    auto it = std::upper_bound(
        events_.begin(), events_.end(), after,
        [](int64_t rev, const std::pair<int64_t, Json>& event) { return rev < event.first; });
    for (; it != events_.end(); ++it) {
      const auto& key = it->second.at("key").get_ref<const std::string&>();
      if (key.compare(0, prefix.size(), prefix) == 0) found.push_back(it->second);
    }
    if (!found.empty() || Clock::now() >= until) {
      return Answer(200, {{"events", std::move(found)}, {"current_rev", rev_}});
    }
    changed_.wait_until(lock, until);
  }
}

}  // namespace pomelopond::lab
