#include "base/result_code.h"

#include <string>

namespace pomelopond {
namespace {

struct Row {
  ResultCode code;
  const char* name;
  int http_status;
};

constexpr Row kRows[] = {
    {ResultCode::kOk, "ok", 200},
    {ResultCode::kBadJson, "bad_json", 400},
    {ResultCode::kBadField, "bad_field", 400},
    {ResultCode::kUnknownField, "unknown_field", 400},
    {ResultCode::kTooLarge, "too_large", 413},
    {ResultCode::kNotFound, "not_found", 404},
    {ResultCode::kMethodNotAllowed, "method_not_allowed", 405},
    {ResultCode::kLengthRequired, "length_required", 411},
    {ResultCode::kBadSettings, "bad_settings", 400},
    {ResultCode::kTokenRequired, "token_required", 428},
    {ResultCode::kBadEndpoint, "bad_endpoint", 400},
    {ResultCode::kHeaderTooLarge, "header_too_large", 431},
    {ResultCode::kRequestTimeout, "request_timeout", 408},
    {ResultCode::kDeadlineTooShort, "deadline_too_short", 503},
    {ResultCode::kQueueFull, "queue_full", 503},
    {ResultCode::kCallerLimit, "caller_limit", 429},
    {ResultCode::kNoTarget, "no_target", 503},
    {ResultCode::kStopping, "stopping", 503},
    {ResultCode::kUnschedulable, "unschedulable", 422},
    {ResultCode::kQuotaExceeded, "quota_exceeded", 429},
    {ResultCode::kNoRelease, "no_release", 503},
    {ResultCode::kNotOwner, "not_owner", 421},
    {ResultCode::kTargetUnreachable, "target_unreachable", 503},
    {ResultCode::kOutdated, "outdated", 503},
    {ResultCode::kPoolFull, "pool_full", 503},
    {ResultCode::kOverloaded, "overloaded", 429},
    {ResultCode::kServerBusy, "server_busy", 503},
    {ResultCode::kConflict, "conflict", 409},
    {ResultCode::kStaleBase, "stale_base", 409},
    {ResultCode::kTieWithoutVote, "tie_without_vote", 409},
    {ResultCode::kStaleEpoch, "stale_epoch", 409},
    {ResultCode::kStaleAttempt, "stale_attempt", 409},
    {ResultCode::kCancelled, "cancelled", 409},
    {ResultCode::kOutcomeUnknown, "outcome_unknown", 502},
    {ResultCode::kTokenExpired, "token_expired", 410},
    {ResultCode::kRouterGone, "router_gone", 502},
    {ResultCode::kTruncatedAnswer, "truncated_answer", 502},
    {ResultCode::kTimeout, "timeout", 504},
    {ResultCode::kStoreUnavailable, "store_unavailable", 503},
    {ResultCode::kStoreCompareFailed, "store_compare_failed", 409},
    {ResultCode::kStoreAnswerLost, "store_answer_lost", 502},
    {ResultCode::kStoreBadAnswer, "store_bad_answer", 502},
    {ResultCode::kStoreRejected, "store_rejected", 413},
    {ResultCode::kInternal, "internal", 500},
    {ResultCode::kPeerUnavailable, "peer_unavailable", 503},
    {ResultCode::kPeerBadMessage, "peer_bad_message", 502},
    {ResultCode::kNoKey, "no_key", 401},
    {ResultCode::kRoleMissing, "role_missing", 403},
    {ResultCode::kTeamMismatch, "team_mismatch", 403},
};

const Row* Find(ResultCode code) {
  for (const Row& it : kRows) {
    if (it.code == code) return &it;
  }
  return nullptr;
}

class Category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "pomelopond"; }
  std::string message(int value) const override {
    return ResultName(static_cast<ResultCode>(value));
  }
};

}  // namespace

const std::error_category& ResultCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(ResultCode code) {
  return {static_cast<int>(code), ResultCategory()};
}

const char* ResultName(ResultCode code) {
  const Row* row = Find(code);
  return row == nullptr ? "unlisted_code" : row->name;
}

Outcome OutcomeOf(ResultCode code) {
  const int group = static_cast<int>(code) / 100;
  if (code == ResultCode::kOk) return Outcome::kDone;
  // If the store is unavailable, the record is withdrawn before it is sent, so nothing was run.
  if (code == ResultCode::kStoreUnavailable) return Outcome::kNotRun;
  if (code == ResultCode::kStoreRejected) return Outcome::kNotRun;
  if (group <= 3 || group == 7) return Outcome::kNotRun;
  return Outcome::kUnknown;
}

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const std::vector<ResultCode>& AllResultCodes() {
  static const std::vector<ResultCode> codes = [] {
    std::vector<ResultCode> all;
    for (const Row& it : kRows) all.push_back(it.code);
    return all;
  }();
  return codes;
}

int HttpStatusOf(ResultCode code) {
  const Row* row = Find(code);
  return row == nullptr ? 500 : row->http_status;
}

}  // namespace pomelopond
