// Server that replies to messages from other processes over nng.
#ifndef POMELOPOND_PEER_PEER_SERVER_H_
#define POMELOPOND_PEER_PEER_SERVER_H_

#include <functional>
#include <memory>
#include <system_error>

#include "base/endpoint.h"
#include "peer/message.h"

namespace pomelopond::peer {

// Returns the reply to a message. Runs on one of the server's threads and may block.
using PeerHandler = std::function<Message(const Message&)>;

class PeerServer {
 public:
  PeerServer(Endpoint endpoint, int threads, PeerHandler handler);
  // Closes the socket and waits for running handlers.
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // Listens on the endpoint. Fails with kBadEndpoint if the address cannot be bound.
  std::error_code Start();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace pomelopond::peer

#endif  // POMELOPOND_PEER_PEER_SERVER_H_
