#include "peer/message.h"

#include <gtest/gtest.h>

#include <random>

#include "base/result_code.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"

namespace pomelopond::peer {
namespace {

// Guards against a decoder that crashes on corrupted input or accepts it: messages that are
// truncated, and messages in which bytes are replaced by random ones.
TEST(MessageTest, DamagedBytesAreRefusedOrDecodeToAMessage) {
  const Message message{"status.get", "entry-1", 7, {{"have", 3}}};
  const std::string bytes = Encode(message);
  EXPECT_EQ(Decode(bytes).value, message);
  std::mt19937 random(1);
  for (int n = 0; n < 20000; ++n) {
    std::string damaged = bytes.substr(0, random() % (bytes.size() + 1));
    for (int flips = static_cast<int>(random() % 4); flips > 0 && !damaged.empty(); --flips) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    const Result<Message> decoded = Decode(damaged);
    if (damaged.size() == bytes.size()) continue;
    EXPECT_EQ(decoded.ec, ResultCode::kPeerBadMessage);
  }
}

// Guards against a message whose nesting exhausts the stack of the process that receives it.
TEST(MessageTest, DeepNestingIsRefused) {
  constexpr size_t kDepth = 100000;
  EXPECT_EQ(Decode(std::string(kDepth, '\x91') + "\xc0").ec, ResultCode::kPeerBadMessage);
}

TEST(PeerTest, AnswersAndTimesOut) {
  const Endpoint endpoint{"127.77.0.1", 7301};
  PeerClient client(endpoint);
  const Message ping{"status.get", "a", 1, Json::object()};
  EXPECT_EQ(client.Call(ping, std::chrono::milliseconds(100)).ec, ResultCode::kPeerUnavailable);
  PeerServer server(endpoint, 2, [](const Message& it) {
    return Message{it.type, "b", 2, {{"from", it.from}}};
  });
  ASSERT_FALSE(server.Start());
  const Result<Message> answer = client.Call(ping, std::chrono::seconds(30));
  ASSERT_TRUE(answer.ok());
  EXPECT_EQ(answer.value.body["from"], "a");
}

}  // namespace
}  // namespace pomelopond::peer
