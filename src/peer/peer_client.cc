#include "peer/peer_client.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/req.h>

#include <string>

#include "base/result_code.h"

namespace pomelopond::peer {
namespace {

constexpr nng_duration kReconnectMin = 50;   // ms
constexpr nng_duration kReconnectMax = 500;  // ms

}  // namespace

struct PeerClient::Impl {
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  bool open = false;
};

PeerClient::PeerClient(const Endpoint& endpoint) : impl_(std::make_unique<Impl>()) {
  if (nng_req0_open(&impl_->socket) != 0) return;
  impl_->open = true;
  nng_socket_set_size(impl_->socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  nng_socket_set_ms(impl_->socket, NNG_OPT_RECONNMINT, kReconnectMin);
  nng_socket_set_ms(impl_->socket, NNG_OPT_RECONNMAXT, kReconnectMax);
  const std::string url = "tcp://" + ToString(endpoint);
  nng_dial(impl_->socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

PeerClient::~PeerClient() {
  if (impl_->open) nng_close(impl_->socket);
}

Result<Message> PeerClient::Call(const Message& message, Duration timeout) {
  const Result<Message> failed{ResultCode::kPeerUnavailable, {}};
  if (!impl_->open) return failed;
  const auto ms = static_cast<nng_duration>(timeout.count() / 1000);
  nng_ctx ctx = NNG_CTX_INITIALIZER;
  if (nng_ctx_open(&ctx, impl_->socket) != 0) return failed;
  nng_aio* aio = nullptr;
  if (nng_aio_alloc(&aio, nullptr, nullptr) != 0) {
    nng_ctx_close(ctx);
    return failed;
  }
  nng_aio_set_timeout(aio, ms);
  const std::string out = Encode(message);
  nng_msg* msg = nullptr;
  std::string in;
  if (nng_msg_alloc(&msg, 0) == 0) {
    nng_msg_append(msg, out.data(), out.size());
    nng_aio_set_msg(aio, msg);
    nng_ctx_send(ctx, aio);
    nng_aio_wait(aio);
    if (nng_aio_result(aio) != 0) {
      nng_msg_free(msg);
    } else {
      nng_ctx_recv(ctx, aio);
      nng_aio_wait(aio);
      if (nng_aio_result(aio) == 0) {
        msg = nng_aio_get_msg(aio);
        in.assign(static_cast<const char*>(nng_msg_body(msg)), nng_msg_len(msg));
        nng_msg_free(msg);
      }
    }
  }
  nng_aio_free(aio);
  nng_ctx_close(ctx);
  return in.empty() ? failed : Decode(in);
}

}  // namespace pomelopond::peer
