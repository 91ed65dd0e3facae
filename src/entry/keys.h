// Keys in the store that all entry hosts use.
#ifndef POMELOPOND_ENTRY_KEYS_H_
#define POMELOPOND_ENTRY_KEYS_H_

#include <string>

namespace pomelopond::entry {

// The key of a job holds the job as it was accepted. The entry host that accepts the job writes it
// once.
inline constexpr const char* kJobPrefix = "pomelopond/job/";
inline std::string JobKey(const std::string& id) { return kJobPrefix + id; }
// This key exists if the job has been cancelled. It is below the job's key, so that one list call
// returns both.
inline constexpr const char* kCancelSuffix = "/cancel";
inline std::string CancelKey(const std::string& id) { return JobKey(id) + kCancelSuffix; }

// This key exists for some time after a job was cancelled that did not exist. The creation of the
// job, which may still be under way, fails on it. The owner has no use for it, so it is not below
// kJobPrefix.
inline constexpr const char* kCancelledPrefix = "pomelopond/cancelled/";
inline std::string CancelledKey(const std::string& id) { return kCancelledPrefix + id; }
// Values of the key. A revocation is no cancellation: it only makes the copies of a creation fail
// that were sent before, so that their caller can be told truthfully that the job is refused.
inline constexpr const char* kCancelledMark = "1";
inline constexpr const char* kRevokedMark = "revoked";

// Only the owner writes these keys, on the condition that the stored term is its own.
inline constexpr const char* kProgressPrefix = "pomelopond/progress/";
inline std::string ProgressKey(const std::string& id) { return kProgressPrefix + id; }
inline constexpr const char* kWorkersKey = "pomelopond/workers";
inline constexpr const char* kLeaseBoundsKey = "pomelopond/lease-bounds";
inline constexpr const char* kWaitingKey = "pomelopond/waiting";
// This key exists while the jobs take more memory than they may. Creations of jobs fail on it, so
// that they need no call to learn of it.
inline constexpr const char* kPoolFullKey = "pomelopond/full";
// Holds the owner's epoch, the identity of its process and the number of its last commit.
inline constexpr const char* kTermKey = "pomelopond/term";
// This key exists while the owner renews its lease.
inline constexpr const char* kOwnerKey = "pomelopond/owner";
// Smallest memory of all hosts, in bytes. Each host writes its own if that is less. It is below the
// owner's key, so that one watch covers both.
inline constexpr const char* kSmallestMemoryKey = "pomelopond/owner/smallest-memory";
// Memory of the large jobs that the owner's last sum may lack, in bytes. A host that accepts a
// large job writes it in the same transaction, so two hosts cannot use the same room.
inline constexpr const char* kLargeJobsKey = "pomelopond/large-jobs";
// A much faster host writes this key to ask for the ownership. It is below the owner's key, so that
// one watch covers both.
inline constexpr const char* kOwnershipRequestKey = "pomelopond/owner/request";

}  // namespace pomelopond::entry

#endif  // POMELOPOND_ENTRY_KEYS_H_
