// Connections of a simulated owner to workers, on which its start orders go out.
#ifndef POMELOPOND_TESTS_DISPATCH_SIMULATED_CONNECTIONS_H_
#define POMELOPOND_TESTS_DISPATCH_SIMULATED_CONNECTIONS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/endpoint.h"
#include "dispatch/worker.h"

namespace pomelopond::dispatch {

// Connections of an owner to one worker that carry orders.
inline constexpr size_t kMaxOrderConnections = 2;

// A connection ends with the process at its other end, which its owner may not notice before it
// sends something.
struct OrderConnection {
  int64_t number = 0;
  int64_t incarnation = 0;                   // of the worker at its other end
  std::optional<int64_t> named_incarnation;  // by a report on the connection
  bool busy = true;                          // is being made or carries a call
};

// Names a connection of the owner with this epoch.
struct ConnectionId {
  int64_t epoch = 0;
  Endpoint endpoint;
  int64_t number = 0;
};

// Returns an idle connection, if possible one to `incarnation`; null if there is none.
inline OrderConnection* FindIdle(std::vector<OrderConnection>* connections, int64_t incarnation) {
  OrderConnection* found = nullptr;
  for (OrderConnection& it : *connections) {
    if (it.busy) continue;
    if (it.named_incarnation == incarnation) return &it;
    found = &it;
  }
  return found;
}

inline void Close(std::vector<OrderConnection>* connections, int64_t number) {
  const auto end =
      std::remove_if(connections->begin(), connections->end(),
                     [number](const OrderConnection& it) { return it.number == number; });
  connections->erase(end, connections->end());
}

inline Report WithoutAnswer(OrderStatus status) { return {{status, 0, 0}, {}, {}}; }

// The answer to a start that was not sent, as `report` does not name its incarnation.
inline Report AnswerWithoutStart(const Report& report) {
  const OrderStatus status = report.answer.status;
  const bool refused = status == OrderStatus::kStaleEpoch ||
                       status == OrderStatus::kWrongIncarnation ||
                       status == OrderStatus::kUnhealthy;
  return refused ? report : WithoutAnswer(OrderStatus::kUnreachable);
}

}  // namespace pomelopond::dispatch

#endif  // POMELOPOND_TESTS_DISPATCH_SIMULATED_CONNECTIONS_H_
