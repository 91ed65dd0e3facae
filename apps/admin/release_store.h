// Reads and writes releases in the platform's key-value store.
#ifndef POMELOPOND_APPS_ADMIN_RELEASE_STORE_H_
#define POMELOPOND_APPS_ADMIN_RELEASE_STORE_H_

#include <map>
#include <string>
#include <vector>

#include "base/result.h"
#include "release/chunks.h"
#include "release/note.h"
#include "store/store_client.h"

namespace pomelopond::apps {

// Access to the accepted releases. Calls block on the store. Not thread-safe.
class ReleaseStore {
 public:
  explicit ReleaseStore(store::StoreClient* store);

  // Returns the accepted release, or version 0 if there is none. If the version in force is not
  // newer than `known_version`, reads only the manifest and returns an empty release with the
  // version in force.
  Result<release::Release> ReadIfNewer(int64_t known_version);

  // Applies a note to the release in force and stores the result. If the note has errors, adds them
  // to `errors` and stores nothing. Returns kStaleBase if another note was accepted first; the
  // error names the objects that both notes change. With `rebase`, a note that changes no object
  // changed since its base is moved to the release in force. Returns kOutcomeUnknown if it is
  // unknown whether the store accepted the note. `audit` is stored in the log entry of the release.
  Result<release::Release> Accept(release::Note note, bool rebase, const Json& audit,
                                  FieldErrors* errors);

  // Returns the audit entries of the versions from `from` on, at most `limit`, oldest first.
  Result<std::vector<Json>> History(int64_t from, int64_t limit);

 private:
  Result<store::KeyValue> ReadHead();
  Result<release::Release> Load(const release::Manifest& manifest);
  Result<release::Release> ReadInForce(const store::KeyValue& head);
  std::error_code TryRebase(const release::Release& current, bool rebase, release::Note* note,
                            FieldErrors* errors);
  std::error_code PutChunks(const release::ChunkedRelease& next);
  std::error_code Commit(const store::Txn& txn, int64_t version, const std::string& write_id);
  std::error_code ResolveOutcome(int64_t version, const std::string& write_id);

  store::StoreClient* store_;
  // Chunks of the last release read or written, by digest.
  std::map<std::string, std::string> chunks_;
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_ADMIN_RELEASE_STORE_H_
