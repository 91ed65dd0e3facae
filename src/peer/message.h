// The envelope of all peer messages between the programs, and its encoding.
#ifndef POMELOPOND_PEER_MESSAGE_H_
#define POMELOPOND_PEER_MESSAGE_H_

#include <cstdint>
#include <string>

#include "base/json.h"
#include "base/result.h"

namespace pomelopond::peer {

// Largest size of an encoded message. Client and server reject larger messages.
inline constexpr size_t kMaxMessageBytes = 16 << 20;

struct Message {
  std::string type;          // "release.get", "hosts.get", "status.get" or "release.notify"
  std::string from;          // id of the sending host
  uint64_t incarnation = 0;  // incarnation of the sending process
  Json body = Json::object();

  friend bool operator==(const Message& a, const Message& b) {
    return a.type == b.type && a.from == b.from && a.incarnation == b.incarnation &&
           a.body == b.body;
  }
};

// Encodes a message as MessagePack.
std::string Encode(const Message& message);

// Fails with kPeerBadMessage if `bytes` cannot be the output of Encode().
Result<Message> Decode(const std::string& bytes);

}  // namespace pomelopond::peer

#endif  // POMELOPOND_PEER_MESSAGE_H_
