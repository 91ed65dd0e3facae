// Failure tests of hostile input to a router process, generated from a fixed seed.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "tests/support/cluster.h"
#include "tests/support/raw_client.h"

namespace pomelopond::support {
namespace {

constexpr uint64_t kSeed = 20261204;
constexpr int kInputs = 600;
constexpr Duration kAnswerTime = std::chrono::seconds(10);

class Generator {
 public:
  Generator() : random_(kSeed) {}

  size_t Below(size_t n) { return random_() % n; }

  std::string Bytes(size_t n) {
    std::string text;
    for (size_t it = 0; it < n; ++it) text.push_back(static_cast<char>(random_() % 256));
    return text;
  }

  // Returns printable ASCII characters, which HTTP allows in a header value.
  std::string Visible(size_t n) {
    std::string text;
    for (size_t it = 0; it < n; ++it) text.push_back(static_cast<char>(33 + random_() % 94));
    return text;
  }

  std::string Pick(const std::vector<std::string>& all) { return all[Below(all.size())]; }

 private:
  std::mt19937_64 random_;
};

std::string Request(const std::string& method, const std::string& path, const std::string& headers,
                    const std::string& body) {
  return method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Returns a path that is valid in HTTP but that the router must refuse.
std::string BadPath(Generator* it) {
  return it->Pick({"/", "//", "/v1", "/v1/services", "/v1/services/", "/v1/services//",
                   "/v1/services/none/x", "/v1/services/%00/x", "/v1/services/../../etc/passwd",
                   "/v1/services/svc%2f/x", "/?%25",
                   "/v1/services/" + std::string(5000, 'a') + "/b",
                   "/v1/services/" + std::to_string(it->Below(1000000))});
}

// Returns a path that the HTTP library refuses with a bare 400 before the router sees it.
std::string MalformedPath(Generator* it) {
  return it->Pick({"*", "/v1/services/%zz", "http://[", "/#", "/?%", "/" + it->Visible(40)});
}

std::string BadToken(Generator* it) {
  return it->Pick({"", ".", "....", "entry-0.1.1.1.", "entry-0.-1.1.1.aa", "entry-0.1.1.1.aa",
                   "entry-0.99999999999999999999.1.1.a", "entry-0.1.9223372036854775807.1.a",
                   std::string(300, 'a'), "x.1.1.1.1", it->Visible(60),
                   "entry-0.1.1." + it->Visible(20) + ".b"});
}

// Returns a well-formed request with hostile content, which must get an answer with a result code.
std::string HostileContent(Generator* it) {
  switch (it->Below(7)) {
    case 0:
      return Request(it->Pick({"GET", "POST"}), BadPath(it), "", "");
    case 1:
      return Request("POST", "/v1/services/svc/buy", "Idempotency-Key: " + BadToken(it) + "\r\n",
                     it->Bytes(it->Below(200)));
    case 2:
      return Request("POST", "/v1/services/svc/x",
                     "Request-Timeout-Ms: " +
                         it->Pick({"0", "-1", "1e3", "600001", "99999999999999999999", "x"}) +
                         "\r\n",
                     "");
    case 5:
      return Request("POST", "/v1/services/svc/x",
                     it->Pick({"A: b\vc\r\n", "A: b\rc\r\n", "A b: c\r\n",
                               std::string("A: \0\r\n", 6), "A\x01: c\r\n", "A\x80: c\r\n"}),
                     "");
    case 3:
      return Request(it->Pick({"PUT", "DELETE", "PATCH", "OPTIONS", "TRACE", "HEADS"}),
                     "/v1/services/svc/x", "", "");
    case 4:
      return "POST /v1/services/svc/x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
             it->Pick({"1048577", "99999999999", "18446744073709551615"}) + "\r\n\r\n";
    default:
      return "POST /v1/services/svc/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
             it->Pick({"5\r\nhello\r\n0\r\n\r\n", "zz\r\n", "ffffffffffffffff\r\n"});
  }
}

// Returns input that is not HTTP or is incomplete. The router answers it or closes the connection,
// and must not crash.
std::string Malformed(Generator* it) {
  switch (it->Below(7)) {
    case 0:
      return it->Bytes(1 + it->Below(300)) + "\r\n\r\n";
    case 5:
      return Request("POST", MalformedPath(it), "", "");
    case 1:
      return "GET\r\n\r\n";
    case 2:
      return "POST /v1/services/svc/x HTTP/9.9\r\n" + it->Bytes(20) + "\r\n\r\n";
    case 3:
      return "POST /v1/services/svc/x HTTP/1.1\r\nContent-Length: " +
             it->Pick({"-1", "x", "1 2", ""}) + "\r\n\r\nab";
    case 4:
      return "POST /v1/services/svc/x HTTP/1.1\r\nContent-Length: 100\r\n\r\nshort";
    default:
      return "GET /" + std::string(it->Below(100000), 'a') + " HTTP/1.1\r\n" +
             "X: " + std::string(it->Below(200000), 'b') + "\r\n\r\n";
  }
}

// Guards against input that crashes the router, that it forwards to a target, or that it answers
// without a result code.
TEST(RequestHostileTest, EachInputGetsANumberedErrorAndTheRouterLives) {
  ClusterOptions options;
  options.net = 123;
  options.entry_hosts = 1;
  Cluster cluster(options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  Generator generator;
  for (int n = 0; n < kInputs; ++n) {
    RawClient client(cluster.Router(0));
    ASSERT_TRUE(client.Connect()) << n;
    const std::string input = HostileContent(&generator);
    ASSERT_TRUE(client.Write(input));
    const auto response = client.Read(kAnswerTime);
    ASSERT_TRUE(response) << n << ": " << input.substr(0, 300);
    EXPECT_GE(response->status, 400) << input.substr(0, 300);
    const Result<Json> body = ParseJson(response->body);
    ASSERT_TRUE(body.ok()) << input.substr(0, 300) << "\n" << response->body;
    EXPECT_GT(body.value.value("code", 0), 0) << input.substr(0, 300);
    EXPECT_EQ(http::HeaderOf(response->headers, http::kOutcomeHeader),
              body.value.value("outcome", "none"));
  }
  for (int n = 0; n < kInputs; ++n) {
    RawClient client(cluster.Router(0));
    ASSERT_TRUE(client.Connect()) << n;
    // The write may fail, because the router may close the connection before the input is complete.
    client.Write(Malformed(&generator));
  }
  const http::HttpResult alive = Send(cluster.Router(0), "POST", "/v1/services/svc/x");
  EXPECT_EQ(alive.response.status, 200);
  EXPECT_TRUE(cluster.ProgramOf("router", 0).running());
  const Json counts = Get(cluster.Targets().front(), "/counts");
  ASSERT_FALSE(counts.is_null());
  EXPECT_EQ(counts["runs"].value("", 0), 1);  // only the last request reached a target
}

}  // namespace
}  // namespace pomelopond::support
