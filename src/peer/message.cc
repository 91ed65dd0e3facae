#include "peer/message.h"

#include "base/json_reader.h"
#include "base/result_code.h"

namespace pomelopond::peer {

std::string Encode(const Message& message) {
  const Json envelope = {{"type", message.type},
                         {"from", message.from},
                         {"incarnation", message.incarnation},
                         {"body", message.body}};
  std::string bytes;
  Json::to_msgpack(envelope, bytes);
  return bytes;
}

Result<Message> Decode(const std::string& bytes) {
  if (bytes.size() > kMaxMessageBytes) return {ResultCode::kPeerBadMessage, {}};
  const Json envelope = ParseMessagePack(bytes);
  if (!envelope.is_object()) return {ResultCode::kPeerBadMessage, {}};
  FieldErrors errors;
  JsonReader reader(envelope, "", &errors);
  Message message;
  message.type = reader.String("type");
  message.from = reader.String("from");
  message.body = reader.Object("body");
  const bool has_incarnation =
      reader.Has("incarnation") && envelope["incarnation"].is_number_unsigned();
  reader.Finish();
  if (!errors.empty() || !has_incarnation) return {ResultCode::kPeerBadMessage, {}};
  message.incarnation = envelope["incarnation"].get<uint64_t>();
  return {{}, std::move(message)};
}

}  // namespace pomelopond::peer
