// Access control of the administration API: keys, roles and teams.
#ifndef POMELOPOND_APPS_ADMIN_ACCESS_H_
#define POMELOPOND_APPS_ADMIN_ACCESS_H_

#include <string>
#include <system_error>
#include <vector>

#include "base/entry_settings.h"
#include "http/http_message.h"

namespace pomelopond::apps {

enum class Role { kRead, kOperate, kApprove };

// Returns the key that the request presents as `Authorization: Bearer <key>`, or nullptr if the key
// is missing or unknown. Compares all keys, each in constant time.
const AccessKey* FindKey(const std::vector<AccessKey>& keys, const http::HttpRequest& request);

// Returns no error if the key's role includes `needed`: approve includes operate, operate includes
// read. Returns kNoKey if `key` is null and kRoleMissing if the role is lower.
std::error_code CheckRole(const AccessKey* key, Role needed);

// Returns kTeamMismatch if the key belongs to another team.
std::error_code CheckTeam(const AccessKey& key, const std::string& team);

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_ADMIN_ACCESS_H_
