// Failure tests of clients that send or read as no well-behaved client does. They start
// pomelopond-entry with a small memory and few descriptors, and check that it stays within both.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

#include "base/endpoint.h"
#include "base/json.h"
#include "base/time.h"
#include "review/http.h"
#include "review/store.h"
#include "tests/support/process.h"
#include "tests/support/program_path.h"

namespace pomelopond::support {
namespace {

constexpr const char* kStoreAddress = "127.0.0.74";
constexpr const char* kEntryAddress = "127.0.0.75";
constexpr const char* kQueueHost = "hostile.example";
constexpr const char* kFirstJob = "/jobs/00000000000000a1";
constexpr const char* kLastJob = "/jobs/00000000000000a2";
constexpr const char* kNoQueue = "/none/00000000000000a3";

// Limits of the process. At rest it takes about 15 MB and 20 descriptors.
constexpr int kMemoryMb = 64;
constexpr int kMaxDescriptors = 400;
constexpr int kPeakMemoryBoundMb = 48;
constexpr size_t kMaxBodyBytes = 262144;
constexpr size_t kMissingBytes = 144;
constexpr size_t kSmallPiece = 2000;
constexpr size_t kWhole = size_t{1} << 30;

constexpr Duration kReadyLimit = std::chrono::seconds(20);
constexpr Duration kCrowdLimit = std::chrono::seconds(20);
constexpr Duration kCrowdQuiet = std::chrono::milliseconds(500);
constexpr Duration kPoll = std::chrono::milliseconds(20);
constexpr int kCallTimeoutMs = 3000;

// Clients that each send their bytes in pieces and keep their connection open without reading.
class Crowd {
 public:
  Crowd() = default;
  ~Crowd() {
    for (const Client& it : clients_) close(it.fd);
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  void Add(const Endpoint& endpoint, std::string bytes, size_t piece) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    // The connection is made while the first bytes are sent.
    static_cast<void>(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    clients_.push_back({fd, std::move(bytes), 0, piece});
  }

  // Returns when all bytes are sent or no client could send any for some time.
  void Send() {
    const TimePoint limit = Now() + kCrowdLimit;
    TimePoint last = Now();
    while (Now() < limit && Now() - last < kCrowdQuiet) {
      bool sent = false;
      for (Client& it : clients_) sent = SendPiece(&it) || sent;
      if (sent) {
        last = Now();
      } else {
        std::this_thread::sleep_for(kPoll);
      }
    }
  }

 private:
  struct Client {
    int fd;
    std::string bytes;
    size_t sent;
    size_t piece;
  };

  static bool SendPiece(Client* it) {
    const size_t n = std::min(it->piece, it->bytes.size() - it->sent);
    if (n == 0) return false;
    const ssize_t done = send(it->fd, it->bytes.data() + it->sent, n, MSG_NOSIGNAL);
    if (done > 0) it->sent += static_cast<size_t>(done);
    return done > 0;
  }

  std::vector<Client> clients_;
};

std::string Head(const std::string& method, const std::string& path, const std::string& headers) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + kQueueHost + "\r\n" + headers + "\r\n";
}

std::string Announce(size_t body_bytes) {
  return "Content-Length: " + std::to_string(body_bytes) + "\r\n";
}

// A request whose body lacks its last bytes.
std::string Unfinished(const std::string& path) {
  return Head("POST", path, Announce(kMaxBodyBytes)) +
         std::string(kMaxBodyBytes - kMissingBytes, ' ');
}

// A chunked request without its last chunk.
std::string UnfinishedChunks(const std::string& path) {
  std::string out = Head("POST", path, "Transfer-Encoding: chunked\r\n");
  for (size_t n = 0; n < kMaxBodyBytes / 4096; ++n) {
    out += "1000\r\n" + std::string(4096, ' ') + "\r\n";
  }
  return out;
}

// A complete request whose body has the text `item` repeated between `begin` and `end`.
std::string Repeated(const std::string& begin, const std::string& item, const std::string& end) {
  std::string body = begin;
  while (body.size() + 2 * item.size() + end.size() < kMaxBodyBytes) body += item + ",";
  body += item + end;
  return Head("POST", kLastJob, Announce(body.size())) + body;
}

std::string ManyFields(size_t fields) {
  std::string headers;
  for (size_t n = 0; n < fields; ++n) headers += "a" + std::to_string(n) + ":b\r\n";
  return Head("GET", kFirstJob, headers);
}

class HostileClientsTest : public ::testing::Test {
 protected:
  HostileClientsTest() {
    if (mkdtemp(folder_.data()) == nullptr) std::abort();
  }
  ~HostileClientsTest() override {
    process_.Kill();
    store_->GoDown();
    std::filesystem::remove_all(folder_);
  }

  void SetUp() override {
    store_->Start();
    store_->Put("op/config", Config().dump());
    callers_ = {kEntryAddress, static_cast<uint16_t>(review::FreePort(kEntryAddress))};
    readiness_ = {kEntryAddress, static_cast<uint16_t>(review::FreePort(kEntryAddress))};
    const Json settings = {{"host", "entry"},
                           {"failure_domain", "a"},
                           {"callers", ToString(callers_)},
                           {"readiness", ToString(readiness_)},
                           {"metrics_port", 0},
                           {"memory_mb", kMemoryMb},
                           {"max_fds", kMaxDescriptors},
                           {"store", store_->Endpoint()}};
    const std::string path = folder_ + "/settings.json";
    std::ofstream(path) << settings.dump(2) << "\n";
    process_ = Process({ProgramPath("pomelopond-entry"), "--settings", path}, folder_ + "/log");
    ASSERT_TRUE(Succeeds([this] {
      return review::Call(ToString(readiness_), "GET", "/", "", "", kCallTimeoutMs).status;
    }));
    ASSERT_TRUE(Succeeds([this] { return Submit(kFirstJob); }));
  }

  // Checks the bounds while the crowd still holds its connections.
  void Check() {
    descriptors_ = std::max(descriptors_, OpenDescriptors());
    const int64_t peak_mb = PeakMemoryMb();
    std::cout << "peak memory " << peak_mb << " MB, descriptors " << descriptors_ << "\n";
    EXPECT_GT(peak_mb, 0) << "the process has ended";
    EXPECT_LT(peak_mb, kPeakMemoryBoundMb);
    EXPECT_LT(descriptors_, kMaxDescriptors);
    EXPECT_TRUE(Succeeds([this] { return Submit(kLastJob); }));
    EXPECT_TRUE(Succeeds([this] { return CallEntry("GET", kFirstJob, ""); }));
    EXPECT_TRUE(Succeeds([this] {
      return review::Call(ToString(readiness_), "GET", "/", "", "", kCallTimeoutMs).status;
    }));
    EXPECT_LT(PeakMemoryMb(), kPeakMemoryBoundMb);
  }

  // Sends the same bytes on `n` connections and checks the bounds.
  void Attack(int n, const Endpoint& endpoint, const std::string& bytes, size_t piece) {
    Crowd crowd;
    for (int it = 0; it < n; ++it) {
      crowd.Add(endpoint, bytes, piece);
      descriptors_ = std::max(descriptors_, it % 50 == 0 ? OpenDescriptors() : 0);
    }
    crowd.Send();
    Check();
  }

  const Endpoint& callers() const { return callers_; }
  const Endpoint& readiness() const { return readiness_; }

 private:
  static Json Config() {
    const Json queue = {{"name", "jobs"},      {"host", kQueueHost},
                        {"prefix", "/jobs/"},  {"type", "non_idempotent"},
                        {"timeout_ms", 3000},  {"target_duration_ms", 1000},
                        {"service", "unused"}, {"priority", 0},
                        {"max_attempts", 4},   {"stretch", 1.5}};
    return {{"version", 1},
            {"routes", {queue}},
            {"services", {{{"name", "unused"}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", kMaxBodyBytes},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
  }

  // Repeats a call until its status is 200.
  template <class F>
  static bool Succeeds(const F& call) {
    const TimePoint limit = Now() + kReadyLimit;
    while (Now() < limit) {
      if (call() == 200) return true;
      std::this_thread::sleep_for(kPoll);
    }
    return false;
  }

  int CallEntry(const std::string& method, const std::string& path, const std::string& body) const {
    return review::Call(ToString(callers_), method, path, kQueueHost, body, kCallTimeoutMs).status;
  }

  int Submit(const std::string& path) const {
    const Json step = {{"replicas", 1}, {"cpu", 1000}, {"mem_mb", 100}, {"estimate_ms", 100}};
    return CallEntry("POST", path, Json{{"spec", "x"}, {"steps", {step}}}.dump());
  }

  // Returns 0 if the process has ended.
  int64_t PeakMemoryMb() const {
    std::ifstream in("/proc/" + std::to_string(process_.pid()) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.rfind("VmHWM:", 0) == 0) return std::atoll(line.c_str() + 6) / 1024;
    }
    return 0;
  }

  int OpenDescriptors() const {
    std::error_code ec;
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(process_.pid()) + "/fd",
                                                  ec);
    return static_cast<int>(std::distance(begin(all), end(all)));
  }

  // Its threads end with the program, so it is never deleted.
  review::Store* const store_ = new review::Store(kStoreAddress);
  std::string folder_ = "/tmp/pomelopond-hostile-XXXXXX";
  Endpoint callers_;
  Endpoint readiness_;
  Process process_;
  int descriptors_ = 0;
};

// The next five guard against bodies of legal size that stay in memory until their end arrives.
TEST_F(HostileClientsTest, UnfinishedBodiesInOnePiece) {
  Attack(300, callers(), Unfinished(kLastJob), kWhole);
}

TEST_F(HostileClientsTest, UnfinishedBodiesInSmallPieces) {
  Attack(300, callers(), Unfinished(kLastJob), kSmallPiece);
}

TEST_F(HostileClientsTest, UnfinishedChunkedBodies) {
  Attack(300, callers(), UnfinishedChunks(kLastJob), kWhole);
}

TEST_F(HostileClientsTest, UnfinishedBodiesWithoutAQueue) {
  Attack(300, callers(), Unfinished(kNoQueue), kWhole);
}

TEST_F(HostileClientsTest, UnfinishedBodiesAtTheReadinessAddress) {
  Attack(300, readiness(), Unfinished("/"), kWhole);
}

// Guards against bodies that are buffered although their announced length is refused.
TEST_F(HostileClientsTest, BodiesFarOverTheLimit) {
  Attack(100, callers(), Head("POST", kLastJob, Announce(1 << 30)) + std::string(4 << 20, ' '),
         kWhole);
}

// Guards against headers without a bound.
TEST_F(HostileClientsTest, HeadersFarOverTheLimit) {
  Attack(40, callers(), ManyFields(200000), kWhole);
}

// Guards against header fields that take far more memory than their bytes.
TEST_F(HostileClientsTest, UnfinishedHeadersOfLegalSizeWithManyFields) {
  const std::string whole = ManyFields(1600);
  Attack(340, callers(), whole.substr(0, whole.size() - 2), kWhole);
}

// Guards against responses that are buffered for clients that do not read them.
TEST_F(HostileClientsTest, RequestsAheadWithoutReadingTheResponses) {
  std::string bytes;
  for (int n = 0; n < 20000; ++n) bytes += Head("GET", kFirstJob, "");
  Attack(40, callers(), bytes, kWhole);
}

// Guards against connections that take up all descriptors of the process.
TEST_F(HostileClientsTest, SilentClients) { Attack(800, callers(), "", kWhole); }

// Guards against headers that are never complete and hold their connections for good.
TEST_F(HostileClientsTest, ClientsThatStopInTheHeader) {
  Attack(800, callers(), "POST " + std::string(kLastJob) + " HTTP/1.1\r\nHost: a", 1);
}

// Guards against silent clients that keep out the readiness probe.
TEST_F(HostileClientsTest, SilentClientsAtTheReadinessAddress) {
  Attack(800, readiness(), "", kWhole);
}

// Guards against bodies of legal size that take many times their size once decoded.
TEST_F(HostileClientsTest, BodiesOfManyEmptySteps) {
  Attack(40, callers(), Repeated("{\"steps\":[", "{}", "]}"), kWhole);
}

// Guards against JSON members that take many times their size once decoded.
TEST_F(HostileClientsTest, BodiesOfManyShortFields) {
  Attack(40, callers(), Repeated("{\"steps\":[", "{\"a\":[1]}", "]}"), kWhole);
}

}  // namespace
}  // namespace pomelopond::support
