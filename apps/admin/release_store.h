// Releases in the platform's store.
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

// Reads and writes releases. Blocks on store calls; not thread-safe.
class ReleaseStore {
 public:
  explicit ReleaseStore(store::StoreClient* store);

  // The accepted release, or version 0 when there is none. Reads only the head when `have` is
  // still the version in force; `value` is then an empty release with that version.
  Result<release::Release> ReadIfNewer(int64_t known_version);

  // Accepts a note on the release in force. Errors of the note are added to `errors` and nothing
  // changes. kStaleBase: another note was accepted first; the error names what both touch. With
  // `rebase` a note that touches nothing accepted since its base is moved to the release in force.
  // kOutcomeUnknown: the store did not tell whether the note was accepted. `audit` is kept beside
  // the note.
  Result<release::Release> Accept(release::Note note, bool rebase, const Json& audit,
                                  FieldErrors* errors);

  // Audit entries of the versions from `from` on, at most `limit`, oldest first.
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
  std::map<std::string, std::string> chunks_;  // of the last release read or written, by digest
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_ADMIN_RELEASE_STORE_H_
