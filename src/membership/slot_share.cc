#include "membership/slot_share.h"

#include <algorithm>
#include <utility>

#include "membership/rendezvous.h"

namespace pomelopond::membership {

int64_t SlotShare(const std::string& target, int64_t slots, const std::string& host,
                  const std::vector<std::string>& hosts) {
  if (hosts.empty()) return 0;
  const auto count = static_cast<int64_t>(hosts.size());
  std::vector<std::pair<uint64_t, std::string>> order;
  for (const std::string& it : hosts) order.emplace_back(RendezvousWeight(target, it), it);
  std::sort(order.rbegin(), order.rend());
  for (int64_t n = 0; n < count; ++n) {
    if (order[static_cast<size_t>(n)].second != host) continue;
    return slots / count + (n < slots % count ? 1 : 0);
  }
  return 0;
}

}  // namespace pomelopond::membership
