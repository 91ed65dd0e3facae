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
inline constexpr Duration kTokenLife = std::chrono::minutes(10);

enum class TokenUse {
  kDispatch,  // first use: the caller of Use must dispatch and then call Finish
  kWait,      // a request with this token is in flight
  kReplay,    // finished; the stored answer is to be given again
  kExpired,   // the outcome is no longer known
  kForged,    // not a token of this process
};

// Answers that wait for the first request of the same token.
template <class Answer>
struct TokenRecord {
  bool finished = false;
  Answer answer{};
  std::vector<std::function<void(Answer)>> waiting;
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
  std::map<int64_t, TokenRecord<Answer>> used;  // by sequence; expiry grows with it
};

template <class Answer>
std::string IssueToken(TokenTable<Answer>* table, TimePoint now) {
  const Token token{table->host, table->incarnation, table->next_sequence++,
                    now.time_since_epoch() + kTokenLife};
  return FormatToken(token, table->secret);
}

// Decides the use of a token at `now`. With kWait, `waiter` is called by Finish. `text` must have
// been parsed as `token`.
template <class Answer>
TokenUse UseToken(TokenTable<Answer>* table, const Token& token, const std::string& text,
                  const std::string& fingerprint, std::function<void(Answer)> waiter, TimePoint now,
                  Answer* replay) {
  const bool own = token.host == table->host && token.incarnation == table->incarnation;
  if (!own || !VerifyToken(text, table->secret)) return TokenUse::kForged;
  if (token.expiry <= now.time_since_epoch()) return TokenUse::kExpired;
  const auto it = table->used.find(token.sequence);
  if (it == table->used.end()) {
    TokenRecord<Answer>& record = table->used[token.sequence];
    record.expiry = token.expiry;
    record.fingerprint = fingerprint;
    return TokenUse::kDispatch;
  }
  if (it->second.fingerprint != fingerprint) return TokenUse::kForged;
  if (!it->second.finished) {
    it->second.waiting.push_back(std::move(waiter));
    return TokenUse::kWait;
  }
  *replay = it->second.answer;
  return TokenUse::kReplay;
}

// Stores the answer of a token's request; returns the waiters, to be called without any lock.
template <class Answer>
std::vector<std::function<void(Answer)>> FinishToken(TokenTable<Answer>* table, int64_t sequence,
                                                     const Answer& answer) {
  TokenRecord<Answer>& record = table->used[sequence];
  record.finished = true;
  record.answer = answer;
  std::vector<std::function<void(Answer)>> waiting;
  waiting.swap(record.waiting);
  return waiting;
}

// Drops finished records whose token has expired.
template <class Answer>
void DropExpired(TokenTable<Answer>* table, TimePoint now) {
  for (auto it = table->used.begin(); it != table->used.end();) {
    if (it->second.expiry > now.time_since_epoch()) return;
    it = it->second.finished ? table->used.erase(it) : std::next(it);
  }
}

}  // namespace pomelopond::routing

#endif  // POMELOPOND_ROUTING_TOKEN_TABLE_H_
