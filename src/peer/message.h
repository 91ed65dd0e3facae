// The envelope of all messages between the processes of the system.
#ifndef POMELOPOND_PEER_MESSAGE_H_
#define POMELOPOND_PEER_MESSAGE_H_

#include <cstdint>
#include <string>

#include "base/json.h"
#include "base/result.h"

namespace pomelopond::peer {

// Messages above this size are refused on both sides.
inline constexpr size_t kMaxMessageBytes = 16 << 20;

struct Message {
  std::string type;  // "release.get", "hosts.get", "status.get" or "release.notify"
  std::string from;  // id of the sending host
  uint64_t incarnation = 0;
  Json body = Json::object();

  friend bool operator==(const Message& a, const Message& b) {
    return a.type == b.type && a.from == b.from && a.incarnation == b.incarnation &&
           a.body == b.body;
  }
};

// MessagePack encoding of a message.
std::string Encode(const Message& message);

// Fails with kPeerBadMessage on anything that Encode cannot have produced.
Result<Message> Decode(const std::string& bytes);

}  // namespace pomelopond::peer

#endif  // POMELOPOND_PEER_MESSAGE_H_
