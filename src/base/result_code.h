// Numbered result codes, their std::error_category, and what they mean to a caller.
#ifndef POMELOPOND_BASE_RESULT_CODE_H_
#define POMELOPOND_BASE_RESULT_CODE_H_

#include <system_error>
#include <vector>

namespace pomelopond {

// The table in docs/result-codes.md lists every code; a test compares it with this enum.
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
  kHeaderTooLarge = 110,
  kRequestTimeout = 111,
  // 2xx: the request was refused; nothing was run or will be run for it.
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
  kOutdated = 210,
  kPoolFull = 211,
  kOverloaded = 212,
  kServerBusy = 213,
  // 3xx: the request conflicts with stored data.
  kConflict = 300,
  kStaleBase = 301,
  kTieWithoutVote = 302,
  kStaleEpoch = 303,
  kStaleAttempt = 304,
  kCancelled = 305,
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
  kStoreRejected = 504,
  // 6xx: internal errors.
  kInternal = 600,
  kPeerUnavailable = 601,
  kPeerBadMessage = 602,
  // 7xx: access.
  kNoKey = 700,
  kRoleMissing = 701,
  kTeamMismatch = 702,
};

// What a result code tells a caller about its request: the request was carried out, it was not run,
// or its outcome is unknown.
enum class Outcome { kDone, kNotRun, kUnknown };

const std::error_category& ResultCategory();
std::error_code make_error_code(ResultCode code);

// Returns the name of a code in answers and logs, such as "queue_full".
const char* ResultName(ResultCode code);

// Codes 1xx to 3xx, 7xx, kStoreUnavailable and kStoreRejected mean that nothing was run. All other
// codes of 4xx, 5xx and 6xx leave the outcome unknown.
Outcome OutcomeOf(ResultCode code);

// Returns "done", "not-run" or "unknown", the value of the Pomelopond-Outcome header.
const char* OutcomeName(Outcome outcome);

// Returns all codes in ascending order, for the documentation test and the command line.
const std::vector<ResultCode>& AllResultCodes();

// Returns the HTTP status of a response with the code.
int HttpStatusOf(ResultCode code);

}  // namespace pomelopond

template <>
struct std::is_error_code_enum<pomelopond::ResultCode> : std::true_type {};

#endif  // POMELOPOND_BASE_RESULT_CODE_H_
