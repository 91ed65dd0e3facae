#include "apps/admin/access.h"

#include <openssl/crypto.h>

#include "base/result_code.h"

namespace pomelopond::apps {
namespace {

constexpr const char* kScheme = "Bearer ";

Role RoleOf(const AccessKey& key) {
  if (key.role == "approve") return Role::kApprove;
  if (key.role == "operate") return Role::kOperate;
  return Role::kRead;
}

bool ConstantTimeEquals(const std::string& a, const std::string& b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

const AccessKey* FindKey(const std::vector<AccessKey>& keys, const http::HttpRequest& request) {
  const std::string header = http::HeaderOf(request.headers, "Authorization");
  if (header.rfind(kScheme, 0) != 0) return nullptr;
  const std::string presented = header.substr(std::string(kScheme).size());
  const AccessKey* found = nullptr;
  for (const AccessKey& it : keys) {
    if (ConstantTimeEquals(it.key, presented)) found = &it;
  }
  return found;
}

std::error_code CheckRole(const AccessKey* key, Role needed) {
  if (key == nullptr) return ResultCode::kNoKey;
  return RoleOf(*key) >= needed ? ResultCode::kOk : ResultCode::kRoleMissing;
}

std::error_code CheckTeam(const AccessKey& key, const std::string& team) {
  return key.team == "*" || key.team == team ? ResultCode::kOk : ResultCode::kTeamMismatch;
}

}  // namespace pomelopond::apps
