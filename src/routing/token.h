// One-time request tokens, which let a non-idempotent request run at most once.
#ifndef POMELOPOND_ROUTING_TOKEN_H_
#define POMELOPOND_ROUTING_TOKEN_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "base/result.h"
#include "base/time.h"

namespace pomelopond::routing {

// Names the one router process that may dispatch the request.
struct Token {
  std::string host;  // of the router that issued it
  uint64_t incarnation = 0;
  int64_t sequence = 0;
  Duration expiry{};  // on the issuing process's clock, since the clock's epoch

  friend bool operator==(const Token& a, const Token& b) {
    return std::tie(a.host, a.incarnation, a.sequence, a.expiry) ==
           std::tie(b.host, b.incarnation, b.sequence, b.expiry);
  }
};

// "<host>.<incarnation>.<sequence>.<expiry>.<mac>". The code is an HMAC-SHA256 under `secret`, cut
// to 128 bits, so that a caller can neither make tokens nor guess those of others.
std::string FormatToken(const Token& token, const std::string& secret);

// Reads the members without checking the code, which only the issuing router can do. Fails with
// kTokenRequired on anything that is not a token.
Result<Token> ParseToken(const std::string& text);

// True when the code of `text` is right. Compares in constant time.
bool VerifyToken(const std::string& text, const std::string& secret);

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TOKEN_H_
