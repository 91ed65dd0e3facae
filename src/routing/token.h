// Provides one-time request tokens, which ensure that a non-idempotent request runs at most once.
#ifndef POMELOPOND_ROUTING_TOKEN_H_
#define POMELOPOND_ROUTING_TOKEN_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/result.h"
#include "base/time.h"

namespace pomelopond::routing {

// The content of a token, which identifies the one router process that may dispatch the request.
struct Token {
  std::string host;          // host of the router that issued the token
  uint64_t incarnation = 0;  // identifies the router process on that host
  int64_t sequence = 0;      // number of the token within the process
  Duration expiry{};         // time since the epoch of the issuing process's clock

  friend bool operator==(const Token& a, const Token& b) {
    return std::tie(a.host, a.incarnation, a.sequence, a.expiry) ==
           std::tie(b.host, b.incarnation, b.sequence, b.expiry);
  }
};

// Returns "<host>.<incarnation>.<sequence>.<expiry>.<mac>". The MAC is an HMAC-SHA256 under
// `secret`, truncated to 128 bits, so that a caller can neither forge tokens nor guess those of
// other callers.
std::string FormatToken(const Token& token, const std::string& secret);

// Parses a token without verifying its MAC, which only the issuing router can do. Fails with
// kTokenRequired when `text` does not have the format of a token.
Result<Token> ParseToken(const std::string& text);

// Returns true when the MAC of the token `text` is valid. Compares in constant time.
bool VerifyToken(const std::string& text, const std::string& secret);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TOKEN_H_
