// Client that sends messages to one other process over nng.
#ifndef POMELOPOND_PEER_PEER_CLIENT_H_
#define POMELOPOND_PEER_PEER_CLIENT_H_

#include <memory>

#include "base/endpoint.h"
#include "base/time.h"
#include "peer/message.h"

namespace pomelopond::peer {

class PeerClient {
 public:
  explicit PeerClient(const Endpoint& endpoint);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Sends a message and waits for the reply. Fails with kPeerUnavailable if no reply arrives within
  // `timeout`. Messages must be idempotent, because nng sends a message again when the connection
  // breaks. Thread-safe.
  Result<Message> Call(const Message& message, Duration timeout);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pomelopond::peer

#endif  // POMELOPOND_PEER_PEER_CLIENT_H_
