#include "http/server_limits.h"

#include <algorithm>

namespace pomelopond::http {
namespace {

// Jobs may take five eighths of a process's memory (src/jobs/job_size.h), and the process itself
// takes 15 MB of the 160 MB of the smallest hosts.
constexpr int64_t kBudgetShare = 8;
constexpr int64_t kUnknownBudget = int64_t{64} << 20;
constexpr int64_t kProbeBudgetShare = 16;  // for each of two addresses

// Descriptors reserved for files.
constexpr int64_t kFileDescriptors = 200;
// The owner of the largest pool needs 3,300 of 4,100 descriptors for its workers.
constexpr int64_t kConnectionShare = 6;
constexpr int64_t kUnknownConnections = 650;
constexpr int64_t kProbeConnectionShare = 8;  // for each of two addresses
constexpr int64_t kMinConnections = 4;

constexpr int64_t kMaxProbeBodyBytes = 1024;
constexpr int64_t kMaxProbeHeaderBytes = 8192;

}  // namespace

const char* CloseCauseName(CloseCause cause) {
  switch (cause) {
    case CloseCause::kBadRequest:
      return "bad_request";
    case CloseCause::kLengthRequired:
      return "length_required";
    case CloseCause::kHeaderTooLarge:
      return "header_too_large";
    case CloseCause::kBodyTooLarge:
      return "body_too_large";
    case CloseCause::kBudgetFull:
      return "budget_full";
    case CloseCause::kHeaderTimeout:
      return "header_timeout";
    case CloseCause::kBodyTimeout:
      return "body_timeout";
    case CloseCause::kWriteTimeout:
      return "write_timeout";
    case CloseCause::kIdleTimeout:
      return "idle_timeout";
    case CloseCause::kNoConnection:
      return "no_connection";
    case CloseCause::kReplaced:
      return "replaced";
    case CloseCause::kStalled:
      return "stalled";
  }
  return "unlisted_cause";
}

ProcessLimits DivideLimits(const ServerLimits& callers, int64_t memory_bytes, int64_t max_fds) {
  const int64_t budget = memory_bytes > 0 ? memory_bytes / kBudgetShare : kUnknownBudget;
  const int64_t connections =
      max_fds > 0 ? (max_fds - kFileDescriptors) / kConnectionShare : kUnknownConnections;
  ProcessLimits out;
  out.callers = callers;
  out.probes = callers;
  out.probes.max_body_bytes = kMaxProbeBodyBytes;
  out.probes.max_header_bytes = kMaxProbeHeaderBytes;
  out.probes.budget_bytes = budget / kProbeBudgetShare;
  out.probes.max_connections = std::max(connections / kProbeConnectionShare, kMinConnections);
  out.callers.budget_bytes = budget - 2 * out.probes.budget_bytes;
  out.callers.max_connections =
      std::max(connections - 2 * out.probes.max_connections, kMinConnections);
  return out;
}

}  // namespace pomelopond::http
