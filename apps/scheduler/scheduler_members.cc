// The part of Scheduler that renews its membership and reads the members.
#include <cstdlib>

#include "apps/scheduler/reconnect_delay.h"
#include "apps/scheduler/scheduler.h"
#include "base/result_code.h"
#include "membership/shard_assignment.h"

namespace pomelopond::apps {
namespace {

constexpr const char* kMemberPrefix = "member/scheduler/";
constexpr Duration kRenewalPollInterval = std::chrono::milliseconds(100);

}  // namespace

void Scheduler::RunRenewals() {
  std::minstd_rand random(static_cast<unsigned>(incarnation_ >> 32));
  while (!stopping_.load()) {
    Duration pause = kRenewalPollInterval;
    if (!RenewMembership()) {
      std::uniform_int_distribution<int64_t> wait(0, kMaxReconnectDelay.count());
      pause = Duration(wait(random));
    }
    std::this_thread::sleep_for(pause);
  }
}

bool Scheduler::RenewMembership() {
  const TimePoint now = Now();
  if (lease_ != 0 && now < next_renewal_) return true;
  const std::error_code ec = lease_ == 0 ? ResultCode::kNotFound : store_.KeepAlive(lease_);
  if (!ec) {
    next_renewal_ = now + settings_.member_ttl / 3;
    return true;
  }
  if (ec != ResultCode::kNotFound) return false;
  lease_ = 0;
  const Result<int64_t> lease = store_.GrantLease(settings_.member_ttl);
  if (!lease.ok()) return false;
  store::Txn txn;
  txn.puts.push_back({kMemberPrefix + own_.id,
                      Json{{"host", own_.id}, {"incarnation", std::to_string(incarnation_)}}.dump(),
                      lease.value});
  const Result<store::TxnResult> put = store_.Commit(txn);
  if (!put.ok()) return false;
  lease_ = lease.value;
  next_renewal_ = now + settings_.member_ttl / 3;
  return true;
}

bool Scheduler::ReadMembers() {
  const Result<std::vector<store::KeyValue>> values = store_.List(kMemberPrefix, 0);
  if (!values.ok()) return false;
  std::map<std::string, Member> members;
  for (const store::KeyValue& it : values.value) {
    const Result<Json> document = ParseJson(it.value);
    if (!document.ok()) continue;
    FieldErrors errors;
    JsonReader reader(document.value, it.key, &errors);
    Member member;
    member.host = reader.String("host");
    member.incarnation = std::strtoull(reader.String("incarnation").c_str(), nullptr, 10);
    if (!errors.empty()) continue;
    members[member.host] = member;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  members_ = std::move(members);
  last_store_contact_ = Now();
  std::set<std::string> ids;
  for (const auto& [id, member] : members_) ids.insert(id);
  assignment_ = membership::AssignShards(membership::ShardsOf(hosts_), ids);
  return true;
}

}  // namespace pomelopond::apps
