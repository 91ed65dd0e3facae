// Provides a bounded queue that is ordered by rank and fair among callers.
#ifndef POMELOPOND_ROUTING_FAIR_QUEUE_H_
#define POMELOPOND_ROUTING_FAIR_QUEUE_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/time.h"

namespace pomelopond::routing {

// The flow of an item: items of the same caller and rank form one flow.
struct QueueFlow {
  std::string caller;
  int64_t rank = 0;    // higher ranks are served first
  int64_t weight = 1;  // items of the flow that each round of its rank serves
};

// Serves the callers of a rank by deficit round robin with items of cost 1: a round serves as many
// items of a caller as its weight. Not thread-safe.
template <class T>
class FairQueue {
 public:
  explicit FairQueue(size_t limit) : limit_(limit) {}

  size_t size() const { return size_; }

  // Adds an item. A full queue then evicts and returns one item, which may be the new item: the
  // newest item of the caller with the most items relative to its weight in the lowest rank. Within
  // a rank, a caller that queues less than its share therefore never loses an item to one that
  // queues more.
  std::optional<T> Push(const QueueFlow& flow, T item) {
    Caller& caller = FindOrAddCaller(flow);
    caller.items.push_back(std::move(item));
    caller.weight = std::max<int64_t>(flow.weight, 1);
    size_ += 1;
    if (size_ <= limit_) return std::nullopt;
    return EvictFromLongest();
  }

  // Returns the item that Pop() would return. The queue must not be empty.
  const T& Front() const { return ranks_.begin()->second.front().items.front(); }

  // Removes and returns the next item, which uses its caller's turn. The queue must not be empty.
  T Pop(TimePoint now) {
    Caller& caller = ranks_.begin()->second.front();
    if (caller.turns > 0) {
      const double sample = static_cast<double>((now - caller.last_turn).count());
      const double weight = std::max(kIntervalWeight, 1 / static_cast<double>(caller.turns));
      caller.mean_interval += weight * (sample - caller.mean_interval);
    }
    caller.turns += 1;
    caller.last_turn = now;
    return PopFront(1);
  }

  // Removes and returns the next item without using its caller's turn, because the item is not
  // served. Otherwise a caller whose requests expire would lose its turns to the other callers. The
  // queue must not be empty.
  T DiscardFront() { return PopFront(0); }

  // Estimates how long a new item waits for the turns of its caller's queued items. The estimate
  // uses the mean time between the caller's turns since its queue was last empty, and is zero while
  // that time is unknown. Unlike CountAhead(), it accounts for turns that go to items which other
  // callers queue later.
  Duration EstimateCallerWait(const QueueFlow& flow) const {
    const auto rank = ranks_.find(flow.rank);
    if (rank == ranks_.end()) return Duration::zero();
    for (const Caller& it : rank->second) {
      if (it.name != flow.caller) continue;
      return Duration(std::llround(it.mean_interval * static_cast<double>(it.items.size())));
    }
    return Duration::zero();
  }

  // Removes an item. Returns false when the item is not in the queue.
  bool Remove(const QueueFlow& flow, const T& item) {
    const auto rank = ranks_.find(flow.rank);
    if (rank == ranks_.end()) return false;
    for (auto it = rank->second.begin(); it != rank->second.end(); ++it) {
      if (it->name != flow.caller) continue;
      const auto found = std::find(it->items.begin(), it->items.end(), item);
      if (found == it->items.end()) return false;
      it->items.erase(found);
      size_ -= 1;
      if (it->items.empty()) RemoveCaller(rank, it);
      return true;
    }
    return false;
  }

  // Returns the number of items that are served before a new item of `flow`.
  int64_t CountAhead(const QueueFlow& flow) const {
    int64_t ahead = 0;
    for (const auto& [rank, round] : ranks_) {
      if (rank < flow.rank) break;
      if (rank > flow.rank) {
        for (const Caller& it : round) ahead += static_cast<int64_t>(it.items.size());
        continue;
      }
      int64_t own = 0;
      for (const Caller& it : round) {
        if (it.name == flow.caller) own = static_cast<int64_t>(it.items.size());
      }
      const int64_t rounds = own / std::max<int64_t>(flow.weight, 1) + 1;
      for (const Caller& it : round) {
        const auto size = static_cast<int64_t>(it.items.size());
        ahead += it.name == flow.caller ? size : std::min(size, rounds * it.weight);
      }
    }
    return ahead;
  }

 private:
  // Weight of the newest interval between turns in the mean. The mean covers about 20 turns, so
  // that it follows a change within 0.1 s at 200 turns per second.
  static constexpr double kIntervalWeight = 0.05;

  // The flow of one caller in one rank.
  struct Caller {
    std::string name;
    std::deque<T> items;       // in the order of arrival
    int64_t weight = 1;        // items that each round serves
    int64_t deficit = 0;       // items that may still be served in this round
    int64_t turns = 0;         // turns used since the caller was added
    TimePoint last_turn{};     // when the last turn was used
    double mean_interval = 0;  // mean time between turns in microseconds
  };
  using Round = std::list<Caller>;  // callers of one rank in the order of service
  using Ranks = std::map<int64_t, Round, std::greater<>>;  // by rank, highest first

  // Removes the next item and charges `cost` (0 or 1) to the deficit of its caller.
  T PopFront(int64_t cost) {
    Round& round = ranks_.begin()->second;
    Caller& caller = round.front();
    if (caller.deficit < cost) caller.deficit += caller.weight;
    T item = std::move(caller.items.front());
    caller.items.pop_front();
    caller.deficit -= cost;
    size_ -= 1;
    if (caller.items.empty()) {
      RemoveCaller(ranks_.begin(), round.begin());
    } else if (cost > 0 && caller.deficit < 1) {
      round.splice(round.end(), round, round.begin());
    }
    return item;
  }

  Caller& FindOrAddCaller(const QueueFlow& flow) {
    Round& round = ranks_[flow.rank];
    for (Caller& it : round) {
      if (it.name == flow.caller) return it;
    }
    round.emplace_back().name = flow.caller;
    return round.back();
  }

  // Removes a caller that has no items left. The caller loses its deficit, so that it cannot save
  // up service.
  void RemoveCaller(typename Ranks::iterator rank, typename Round::iterator caller) {
    rank->second.erase(caller);
    if (rank->second.empty()) ranks_.erase(rank);
  }

  // Removes the newest item of the caller with the most items relative to its weight in the lowest
  // rank.
  T EvictFromLongest() {
    const auto rank = std::prev(ranks_.end());
    auto longest = rank->second.begin();
    for (auto it = rank->second.begin(); it != rank->second.end(); ++it) {
      const size_t size = it->items.size() * static_cast<size_t>(longest->weight);
      if (size > longest->items.size() * static_cast<size_t>(it->weight)) longest = it;
    }
    T item = std::move(longest->items.back());
    longest->items.pop_back();
    size_ -= 1;
    if (longest->items.empty()) RemoveCaller(rank, longest);
    return item;
  }

  size_t limit_;     // maximum number of items
  size_t size_ = 0;  // items in all ranks
  Ranks ranks_;      // holds no empty round
};

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_FAIR_QUEUE_H_
