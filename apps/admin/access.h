// Who may call the administration API.
#ifndef POMELOPOND_APPS_ADMIN_ACCESS_H_
#define POMELOPOND_APPS_ADMIN_ACCESS_H_

#include <string>
#include <system_error>
#include <vector>

#include "base/entry_settings.h"
#include "http/http_message.h"

namespace pomelopond::apps {

enum class Role { kRead, kOperate, kApprove };

// The key that a request presents as `Authorization: Bearer <key>`, or nullptr. All keys are
// compared, each in constant time.
const AccessKey* FindKey(const std::vector<AccessKey>& keys, const http::HttpRequest& request);

// Clear when the key's role includes `needed`: approve includes operate, operate includes read.
// kNoKey without a key, kRoleMissing with a lower role.
std::error_code CheckRole(const AccessKey* key, Role needed);

// kTeamMismatch when the key is for another team.
std::error_code CheckTeam(const AccessKey& key, const std::string& team);

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_ADMIN_ACCESS_H_
