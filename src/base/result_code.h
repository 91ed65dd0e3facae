// Numbered result codes and their std::error_category.
#ifndef POMELOPOND_BASE_RESULT_CODE_H_
#define POMELOPOND_BASE_RESULT_CODE_H_

#include <system_error>
#include <vector>

namespace pomelopond {

// The table in docs/result-codes.md lists each code; a test compares the two.
enum class ResultCode {
  kOk = 0,
  // 1xx: bad input.
  kBadJson = 100,
  kBadField = 101,
  kUnknownField = 102,
  kTooLarge = 103,
  kNotFound = 104,
  kMethodNotAllowed = 105,
  kLengthRequired = 106,
  kBadSettings = 107,
  kTokenRequired = 108,
  kBadEndpoint = 109,
  // 2xx: refused; nothing was or will be run for the request.
  kDeadlineTooShort = 200,
  kQueueFull = 201,
  kCallerLimit = 202,
  kNoTarget = 203,
  kStopping = 204,
  kUnschedulable = 205,
  kQuotaExceeded = 206,
  kNoRelease = 207,
  kNotOwner = 208,
  kTargetUnreachable = 209,
  // 3xx: conflict with what is already stored.
  kConflict = 300,
  kStaleBase = 301,
  kTieWithoutVote = 302,
  kStaleEpoch = 303,
  kStaleAttempt = 304,
  // 4xx: the outcome is unknown.
  kOutcomeUnknown = 400,
  kTokenExpired = 401,
  kRouterGone = 402,
  kTruncatedAnswer = 403,
  kTimeout = 404,
  // 5xx: the platform's store.
  kStoreUnavailable = 500,
  kStoreCompareFailed = 501,
  kStoreAnswerLost = 502,
  kStoreBadAnswer = 503,
  // 6xx: internal errors.
  kInternal = 600,
  kPeerUnavailable = 601,
  kPeerBadMessage = 602,
  // 7xx: access.
  kNoKey = 700,
  kRoleMissing = 701,
  kTeamMismatch = 702,
};

// What a caller may conclude about its request from a result code.
enum class Outcome { kDone, kNotRun, kUnknown };

const std::error_category& ResultCategory();
std::error_code make_error_code(ResultCode code);

// The identifier of a code as used in answers and logs, such as "queue_full".
const char* ResultName(ResultCode code);

// Codes 1xx to 3xx, 7xx and kStoreUnavailable mean that nothing was run; the others of 4xx, 5xx and
// 6xx leave the outcome unknown.
Outcome OutcomeOf(ResultCode code);

// "done", "not-run" or "unknown", as in the Pomelopond-Outcome header.
const char* OutcomeName(Outcome outcome);

// All codes in ascending order, for the documentation test and the command line.
const std::vector<ResultCode>& AllResultCodes();

// The HTTP status that carries the code.
int HttpStatusOf(ResultCode code);

}  // namespace pomelopond

template <>
struct std::is_error_code_enum<pomelopond::ResultCode> : std::true_type {};

#endif  // POMELOPOND_BASE_RESULT_CODE_H_
