#include "peer/peer_server.h"

#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>

#include <string>
#include <thread>
#include <vector>

#include "base/log.h"
#include "base/result_code.h"

namespace pomelopond::peer {

struct PeerServer::Impl {
  // Receives messages, handles them and replies until the socket is closed.
  void Serve(nng_ctx ctx) {
    for (;;) {
      nng_aio* aio = nullptr;
      if (nng_aio_alloc(&aio, nullptr, nullptr) != 0) return;
      nng_ctx_recv(ctx, aio);
      nng_aio_wait(aio);
      const int rv = nng_aio_result(aio);
      nng_msg* msg = rv == 0 ? nng_aio_get_msg(aio) : nullptr;
      nng_aio_free(aio);
      if (rv == NNG_ECLOSED) return;
      if (rv != 0) continue;
      HandleRequest(ctx, msg);
    }
  }

  void HandleRequest(nng_ctx ctx, nng_msg* msg) {
    const std::string bytes(static_cast<const char*>(nng_msg_body(msg)), nng_msg_len(msg));
    const Result<Message> in = Decode(bytes);
    if (!in.ok()) {
      // A malformed message gets no reply, so its sender times out.
      Log(LogLevel::kWarn, "peer", "bad_message", {{"bytes", bytes.size()}});
      nng_msg_free(msg);
      return;
    }
    const std::string out = Encode(handler(in.value));
    nng_msg_clear(msg);
    nng_msg_append(msg, out.data(), out.size());
    nng_aio* aio = nullptr;
    if (nng_aio_alloc(&aio, nullptr, nullptr) != 0) {
      nng_msg_free(msg);
      return;
    }
    nng_aio_set_msg(aio, msg);
    nng_ctx_send(ctx, aio);
    nng_aio_wait(aio);
    if (nng_aio_result(aio) != 0) nng_msg_free(msg);
    nng_aio_free(aio);
  }

  Endpoint endpoint;
  int thread_count = 0;
  PeerHandler handler;
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  bool open = false;
  std::vector<std::thread> threads;
};

PeerServer::PeerServer(Endpoint endpoint, int threads, PeerHandler handler)
    : impl_(std::make_unique<Impl>()) {
  impl_->endpoint = std::move(endpoint);
  impl_->thread_count = threads;
  impl_->handler = std::move(handler);
}

PeerServer::~PeerServer() {
  if (impl_->open) nng_close(impl_->socket);
  for (std::thread& it : impl_->threads) it.join();
}

std::error_code PeerServer::Start() {
  if (nng_rep0_open(&impl_->socket) != 0) return ResultCode::kInternal;
  impl_->open = true;
  nng_socket_set_size(impl_->socket, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  const std::string url = "tcp://" + ToString(impl_->endpoint);
  if (nng_listen(impl_->socket, url.c_str(), nullptr, 0) != 0) return ResultCode::kBadEndpoint;
  for (int n = 0; n < impl_->thread_count; ++n) {
    nng_ctx ctx = NNG_CTX_INITIALIZER;
    if (nng_ctx_open(&ctx, impl_->socket) != 0) return ResultCode::kInternal;
    impl_->threads.emplace_back([impl = impl_.get(), ctx] { impl->Serve(ctx); });
  }
  return {};
}

}  // namespace pomelopond::peer
