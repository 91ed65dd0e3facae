// The JSON type, and parsers with limits for untrusted input.
#ifndef POMELOPOND_BASE_JSON_H_
#define POMELOPOND_BASE_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

#include "base/result.h"

namespace pomelopond {

using Json = nlohmann::json;

// Largest nesting depth of a document. The parser keeps a stack, which deeper nesting could
// exhaust, and no valid input nests this deep.
inline constexpr int kMaxJsonDepth = 64;

// Parses a complete document. Fails with kBadJson on syntax errors, invalid UTF-8, duplicate keys
// and nesting deeper than kMaxJsonDepth, and with kTooLarge on more than `max_values` values, keys
// included. These checks precede the construction of the document.
Result<Json> ParseJson(std::string_view text, int64_t max_values = INT64_MAX);

// Largest nesting depth of MessagePack. Stored records and messages may contain documents of up to
// kMaxJsonDepth.
inline constexpr int kMaxMessagePackDepth = 2 * kMaxJsonDepth;

// Parses one complete value in MessagePack. Returns a discarded value, whose members cannot be
// accessed without an exception, on syntax errors and nesting deeper than kMaxMessagePackDepth.
Json ParseMessagePack(std::string_view bytes);

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_JSON_H_
