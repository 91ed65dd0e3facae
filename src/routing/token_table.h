// The tokens that one router process has issued and what became of each.
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

// How long a token may be used after it was issued.
inline constexpr Duration kTokenLifetime = std::chrono::minutes(10);

enum class TokenUse {
  kDispatch,  // first use: the caller of Use must dispatch and then call Finish
  kWait,      // a request with this token is in flight
  kReplay,    // finished; the stored answer is to be given again
  kExpired,   // the outcome is no longer known
  kInvalid,   // not a token of this process
};

// Answers that wait for the first request of the same token.
template <class Answer>
struct TokenRecord {
  bool finished = false;
  Answer answer{};
  std::vector<std::function<void(Answer)>> waiters;
  Duration expiry{};
  std::string fingerprint;  // of the request; another request may not use the token
};

// Not thread-safe.
template <class Answer>
struct TokenTable {
  std::string host;
  uint64_t incarnation = 0;
  std::string secret;
  int64_t next_sequence = 1;
  std::map<int64_t, TokenRecord<Answer>> records;  // by sequence; expiry grows with it
};

template <class Answer>
std::string IssueToken(TokenTable<Answer>* table, TimePoint now) {
  const Token token{table->host, table->incarnation, table->next_sequence++,
                    now.time_since_epoch() + kTokenLifetime};
  return FormatToken(token, table->secret);
}

// Decides the use of a token at `now`. With kWait, `waiter` is called by Finish. `text` must have
// been parsed as `token`.
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

// Stores the answer of a token's request; returns the waiters, to be called without any lock.
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

// Drops finished records whose token has expired.
template <class Answer>
void RemoveExpiredTokens(TokenTable<Answer>* table, TimePoint now) {
  for (auto it = table->records.begin(); it != table->records.end();) {
    if (it->second.expiry > now.time_since_epoch()) return;
    it = it->second.finished ? table->records.erase(it) : std::next(it);
  }
}

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TOKEN_TABLE_H_
