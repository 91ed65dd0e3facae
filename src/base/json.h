// JSON type and parsing with limits.
#ifndef POMELOPOND_BASE_JSON_H_
#define POMELOPOND_BASE_JSON_H_

#include <nlohmann/json.hpp>
#include <string_view>

#include "base/result.h"

namespace pomelopond {

using Json = nlohmann::json;

// Deeper documents are refused: the parser keeps a stack, and no valid input nests this deep.
inline constexpr int kMaxJsonDepth = 64;

// Parses a whole document. Fails with kBadJson on syntax errors, invalid UTF-8, duplicate keys and
// nesting above kMaxJsonDepth.
Result<Json> ParseJson(std::string_view text);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_JSON_H_
