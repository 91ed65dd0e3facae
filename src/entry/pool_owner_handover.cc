// The part of PoolOwner that moves the ownership from a slow host to a much faster one.
#include <algorithm>
#include <cstdlib>
#include <utility>

#include "base/log.h"
#include "entry/campaign_delay.h"
#include "entry/internal/pool_owner_timing.h"
#include "entry/keys.h"
#include "entry/pool_owner.h"

namespace pomelopond::entry {
namespace {

// An owner that is alive hears of a request within milliseconds. Requests that it does not meet in
// this time end by themselves.
constexpr Duration kRequestLease = std::chrono::seconds(3);
constexpr Duration kRequestInterval = std::chrono::seconds(5);

}  // namespace

void PoolOwner::OnOwnerKeys(const std::vector<store::Item>& items) {
  std::optional<store::Item> owner;
  store::Item memory;
  for (const store::Item& it : items) {
    if (it.key == kOwnerKey) owner = it;
    if (it.key == kSmallestMemoryKey) memory = it;
    if (it.key == kOwnershipRequestKey) OnOwnershipRequest(it);
  }
  OnSmallestMemory(memory);
  OnOwnerKey(owner);
}

void PoolOwner::OnOwnerChanges(const std::vector<store::Change>& changes) {
  const store::Change* owner = nullptr;
  for (const store::Change& it : changes) {
    if (it.item.key == kOwnerKey) owner = &it;
    if (it.item.key == kOwnershipRequestKey && !it.deleted) OnOwnershipRequest(it.item);
    if (it.item.key == kSmallestMemoryKey && !it.deleted) OnSmallestMemory(it.item);
  }
  if (owner == nullptr) return;
  OnOwnerKey(owner->deleted ? std::nullopt : std::optional<store::Item>(owner->item));
}

// `item` has revision 0 if the key does not exist.
void PoolOwner::OnSmallestMemory(const store::Item& item) {
  smallest_memory_ = std::strtoll(item.value.c_str(), nullptr, 10);
  ApplyLimits();
  const bool is_less = smallest_memory_ <= 0 || options_.memory_bytes < smallest_memory_;
  if (options_.memory_bytes > 0 && is_less) WriteSmallestMemory(item.revision);
}

// If another host has written the key in the meantime, the watch tells of it.
void PoolOwner::WriteSmallestMemory(int64_t revision) {
  store::Transaction write;
  write.conditions = {{kSmallestMemoryKey, revision}};
  write.writes = {{kSmallestMemoryKey, std::to_string(options_.memory_bytes), 0}};
  store_->Commit(write, kCommitTimeout, [this, revision](const Result<store::CommitResult>& it) {
    if (it.ok() || stopping_.load()) return;
    timer_(kRetryDelay, [this, revision] { WriteSmallestMemory(revision); });
  });
}

// Called when the owner is known. This host asks for the ownership if it is much faster.
void PoolOwner::RequestOwnershipLater(const Candidate& owner) {
  owner_ = owner;
  if (is_owner_.load() || requesting_ || !IsMuchFaster(options_.processor_milli, owner)) return;
  requesting_ = true;
  After(CampaignDelay(RandomDraw()), [this] { RequestOwnership(); });
}

void PoolOwner::RequestOwnership() {
  requesting_ = false;
  if (stopping_.load() || !owner_exists_) return;
  if (is_owner_.load() || !IsMuchFaster(options_.processor_milli, owner_)) return;
  requesting_ = true;
  if (Now() < no_request_before_) {
    return After(no_request_before_ - Now(), [this] { RequestOwnership(); });
  }
  store_->GrantLease(kRequestLease, BindToGeneration([this](const Result<store::Lease>& lease) {
                       After(kRequestInterval, [this] { RequestOwnership(); });
                       if (!lease.ok()) return;
                       store::Transaction request;
                       request.conditions = {{kOwnershipRequestKey, 0}};
                       request.writes = {{kOwnershipRequestKey, Encode(Self()), lease.value.id}};
                       store_->Commit(request, kCommitTimeout,
                                      [](const Result<store::CommitResult>&) {});
                     }));
}

// The term that the last commit of this owner writes tells slower hosts to wait for the faster one.
void PoolOwner::OnOwnershipRequest(const store::Item& item) {
  const Result<Candidate> next = DecodeCandidate(item.value);
  if (!is_owner_.load() || handing_over_ || !next.ok()) return;
  if (!IsMuchFaster(next.value.processor_milli, Self())) return;
  Log(LogLevel::kInfo, "owner", "handing_over",
      {{"epoch", term_.epoch},
       {"to", next.value.process},
       {"processor_milli", options_.processor_milli},
       {"to_processor_milli", next.value.processor_milli}});
  metrics_->Count("handovers_total");
  handing_over_ = true;
  requested_milli_ = next.value.processor_milli;
}

}  // namespace pomelopond::entry
