// Malformed and hostile requests from a fixed seed.
#ifndef POMELOPOND_TESTS_SUPPORT_HOSTILE_INPUT_H_
#define POMELOPOND_TESTS_SUPPORT_HOSTILE_INPUT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "http/http_message.h"

namespace pomelopond::support {

// `count` requests to an admin, none of which may be accepted: wrong types, unknown members, huge
// and deeply nested documents, damaged encodings, wrong keys, paths and methods. `key` is a valid
// key, used where something else is wrong.
std::vector<http::HttpRequest> HostileRequests(int count, uint32_t seed, const std::string& key);

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_HOSTILE_INPUT_H_
