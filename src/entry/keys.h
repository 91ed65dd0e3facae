// The keys of the store that the entry hosts share.
#ifndef POMELOPOND_ENTRY_KEYS_H_
#define POMELOPOND_ENTRY_KEYS_H_

#include <string>

namespace pomelopond::entry {

// A job as it was accepted, written once by the entry host that accepted it.
inline constexpr const char* kJobPrefix = "pomelopond/job/";
inline std::string JobKey(const std::string& id) { return kJobPrefix + id; }
// Exists when the job has been cancelled. Below the job's key, so that one list shows both.
inline constexpr const char* kCancelSuffix = "/cancel";
inline std::string CancelKey(const std::string& id) { return JobKey(id) + kCancelSuffix; }

// Written by the owner only, under the condition that the term is its own.
inline constexpr const char* kProgressPrefix = "pomelopond/progress/";
inline std::string ProgressKey(const std::string& id) { return kProgressPrefix + id; }
inline constexpr const char* kWorkersKey = "pomelopond/workers";
inline constexpr const char* kWaitingKey = "pomelopond/waiting";
// The owner's epoch, its process and the number of its last commit.
inline constexpr const char* kTermKey = "pomelopond/term";
// Exists while the owner renews its lease.
inline constexpr const char* kOwnerKey = "pomelopond/owner";

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_KEYS_H_
