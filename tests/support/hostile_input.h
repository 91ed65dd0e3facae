// Provides malformed and hostile requests, generated from a fixed seed.
#ifndef POMELOPOND_TESTS_SUPPORT_HOSTILE_INPUT_H_
#define POMELOPOND_TESTS_SUPPORT_HOSTILE_INPUT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "http/http_message.h"

namespace pomelopond::support {

// Returns `count` requests to an admin, all of which it must refuse. They have wrong types, unknown
// members, huge or deeply nested documents, invalid encodings, or wrong keys, paths or methods.
// `key` is a valid key, used in the requests that are wrong in another respect.
std::vector<http::HttpRequest> HostileRequests(int count, uint32_t seed, const std::string& key);

}  // namespace pomelopond::support

#endif  // POMELOPOND_TESTS_SUPPORT_HOSTILE_INPUT_H_
