// One connection of a server: reads a request, waits for its response, writes it, and so on.
#ifndef POMELOPOND_HTTP_INTERNAL_CONNECTION_H_
#define POMELOPOND_HTTP_INTERNAL_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include "http/internal/listener.h"
#include "http/internal/request_head.h"

namespace pomelopond::http {

// Used on the strand of its listener. Nothing is read while a request waits for its response or the
// response is written. At rest it has no buffer.
class Connection : public std::enable_shared_from_this<Connection>,
                   public boost::intrusive::list_base_hook<> {
 public:
  Connection(std::shared_ptr<Listener> listener, Socket socket);

  // Begins to read. The connection owns itself until it is closed.
  void Start(TimePoint now);
  // Ends the connection at once.
  void Close();
  void Close(CloseCause cause);
  // Ends the connection because it has taken too long. A peer that has begun a request is told so.
  void Expire(const std::optional<CloseCause>& cause, TimePoint now);

  // Writes the response to the request that waits for one.
  void Respond(const HttpResponse& response, TimePoint now);

  const ConnectionState& state() const { return state_; }

 private:
  void SetPhase(Phase phase, TimePoint now);
  void NoteProgress(TimePoint now);
  void SetCharge(int64_t bytes);
  void WaitForBytes();
  void ReadAvailable(TimePoint now);
  void Consume(std::string_view bytes, TimePoint now);
  void ConsumeHead(std::string_view bytes, TimePoint now);
  void BeginRequest(std::string_view head, std::string_view rest, TimePoint now);
  // Returns the code with which the request is refused before its body is read, or kOk.
  ResultCode Admit(const std::error_code& fault, size_t head_bytes, TimePoint now);
  void ConsumeBody(std::string_view bytes, TimePoint now);
  void SendContinue();
  void Handle(TimePoint now);
  void Refuse(ResultCode code, const std::string& text, CloseCause cause, TimePoint now);
  void ContinueWriting(TimePoint now);
  void FinishResponse(TimePoint now);
  void Linger(TimePoint now);

  const std::shared_ptr<Listener> listener_;
  Socket socket_;
  std::shared_ptr<Connection> self_;
  ConnectionState state_;
  std::string unread_;         // bytes after the last request, or the begin of a head
  size_t searched_ = 0;        // bytes of `unread_` that are known to contain no end of a head
  size_t remaining_body_ = 0;  // bytes of the body that have not arrived
  RequestHead head_;
  std::string echoed_id_;
  bool is_head_request_ = false;
  bool closes_ = false;     // after the response
  bool in_flight_ = false;  // counted in the listener
  std::string out_;
  size_t written_ = 0;
  size_t discarded_ = 0;
};

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_INTERNAL_CONNECTION_H_
