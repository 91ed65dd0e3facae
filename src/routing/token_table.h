// Provides the table of tokens that one router process has issued, with the outcome of each
// request.
#ifndef POMELOPOND_ROUTING_TOKEN_TABLE_H_
#define POMELOPOND_ROUTING_TOKEN_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "routing/token.h"

namespace pomelopond::routing {

// Time after its issue during which a token may be used.
inline constexpr Duration kTokenLifetime = std::chrono::minutes(10);

// What to do with a request that carries a token.
enum class TokenUse {
  kDispatch,  // first use: dispatch the request and then call FinishToken()
  kWait,      // a request with this token is in flight: wait for its answer
  kReplay,    // the request has finished: send the stored answer again
  kExpired,   // the token has expired and the outcome is no longer known
  kInvalid,   // not a token of this process, or a token used by a different request
};

// The state of a token that has been used.
template <class Answer>
struct TokenRecord {
  bool finished = false;                             // true once `answer` is set
  Answer answer{};                                   // answer to the first request
  std::vector<std::function<void(Answer)>> waiters;  // later requests that wait for the answer
  Duration expiry{};                                 // expiry of the token, since the clock's epoch
  std::string fingerprint;  // of the first request; a different request may not use the token
};

// The tokens of one router process. Not thread-safe.
template <class Answer>
struct TokenTable {
  std::string host;                                // host of the router
  uint64_t incarnation = 0;                        // identifies the router process on the host
  std::string secret;                              // key of the MAC
  int64_t next_sequence = 1;                       // sequence of the next token to issue
  std::map<int64_t, TokenRecord<Answer>> records;  // by sequence; `expiry` grows with it
};

// Returns the text of a new token.
template <class Answer>
std::string IssueToken(TokenTable<Answer>* table, TimePoint now) {
  const Token token{table->host, table->incarnation, table->next_sequence++,
                    now.time_since_epoch() + kTokenLifetime};
  return FormatToken(token, table->secret);
}

// Decides the use of a token at `now`. With kWait, stores `waiter` for FinishToken(); with kReplay,
// copies the stored answer to `replay`. `token` must be the parsed form of `text`.
template <class Answer>
TokenUse RedeemToken(TokenTable<Answer>* table, const Token& token, const std::string& text,
                     const std::string& fingerprint, std::function<void(Answer)> waiter,
                     TimePoint now, Answer* replay) {
  const bool own = token.host == table->host && token.incarnation == table->incarnation;
  if (!own || !VerifyToken(text, table->secret)) return TokenUse::kInvalid;
  if (token.expiry <= now.time_since_epoch()) return TokenUse::kExpired;
  const auto it = table->records.find(token.sequence);
  if (it == table->records.end()) {
    TokenRecord<Answer>& record = table->records[token.sequence];
    record.expiry = token.expiry;
    record.fingerprint = fingerprint;
    return TokenUse::kDispatch;
  }
  if (it->second.fingerprint != fingerprint) return TokenUse::kInvalid;
  if (!it->second.finished) {
    it->second.waiters.push_back(std::move(waiter));
    return TokenUse::kWait;
  }
  *replay = it->second.answer;
  return TokenUse::kReplay;
}

// Stores the answer to the request of a token. Returns the waiters, which the caller must call
// without holding a lock.
template <class Answer>
std::vector<std::function<void(Answer)>> FinishToken(TokenTable<Answer>* table, int64_t sequence,
                                                     const Answer& answer) {
  TokenRecord<Answer>& record = table->records[sequence];
  record.finished = true;
  record.answer = answer;
  std::vector<std::function<void(Answer)>> waiters;
  waiters.swap(record.waiters);
  return waiters;
}

// Removes the records of finished requests whose token has expired.
template <class Answer>
void RemoveExpiredTokens(TokenTable<Answer>* table, TimePoint now) {
  for (auto it = table->records.begin(); it != table->records.end();) {
    if (it->second.expiry > now.time_since_epoch()) return;
    it = it->second.finished ? table->records.erase(it) : std::next(it);
  }
}

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TOKEN_TABLE_H_
