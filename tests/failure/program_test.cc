// Failure tests of signals to programs, and of faults that could prevent a program from starting.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "tests/support/cluster.h"
#include "tests/support/program_path.h"

namespace pomelopond::support {
namespace {

constexpr int kHangUps = 5;
constexpr Duration kSettle = std::chrono::milliseconds(300);
constexpr Duration kStopTime = std::chrono::seconds(60);

// Sends several signals in a row, to detect a handler that works only once.
void SendHangUps(Process* process) {
  for (int n = 0; n < kHangUps; ++n) {
    process->Signal(SIGHUP);
    process->Wait(kSettle / kHangUps);
  }
}

// A pomelopond-entry process without a store, on a loopback address of its own.
class EntryProgram {
 public:
  explicit EntryProgram(int net) : address_("127." + std::to_string(net) + ".0.1") {
    folder_ = testing::TempDir() + "pomelopond-entry-" + std::to_string(net);
    std::filesystem::create_directories(folder_);
  }
  ~EntryProgram() { std::filesystem::remove_all(folder_); }
  EntryProgram(const EntryProgram&) = delete;
  EntryProgram& operator=(const EntryProgram&) = delete;

  Endpoint readiness() const { return {address_, 7200}; }
  Endpoint metrics() const { return {address_, 7300}; }

  void WriteSettings(const Json& changes = Json::object()) const {
    Json settings = {{"host", "entry-0"},
                     {"failure_domain", "domain-0"},
                     {"callers", address_ + ":7100"},
                     {"readiness", ToString(readiness())},
                     {"metrics_port", metrics().port},
                     {"store", address_ + ":2379"},
                     {"max_lease_ms", 10000},
                     {"stop_limit_s", 2},
                     {"status_time_s", 120}};
    settings.update(changes);
    std::ofstream(folder_ + "/settings.json") << settings.dump(1);
  }

  Process Start() const {
    return {{ProgramPath("pomelopond-entry"), "--settings", folder_ + "/settings.json"},
            folder_ + "/log"};
  }

  // Without a store the program serves requests but reports 503 on its readiness endpoint.
  bool WaitUntilServing() const {
    return WaitUntil([this] { return Send(readiness(), "GET", "/").response.status == 503; });
  }

  bool WaitForLog(const std::string& text) const {
    return WaitUntil([this, text] { return Log().find(text) != std::string::npos; });
  }

  std::string Log() const {
    std::ifstream file(folder_ + "/log");
    return {std::istreambuf_iterator<char>(file), {}};
  }

 private:
  std::string address_;
  std::string folder_;
};

// A listening socket that occupies an endpoint.
class OccupiedPort {
 public:
  explicit OccupiedPort(const Endpoint& endpoint) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    EXPECT_EQ(inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr), 1);
    EXPECT_EQ(bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    EXPECT_EQ(listen(socket_, 1), 0);
  }
  ~OccupiedPort() { close(socket_); }
  OccupiedPort(const OccupiedPort&) = delete;
  OccupiedPort& operator=(const OccupiedPort&) = delete;

 private:
  const int socket_;
};

// Guards against a program that ends on SIGHUP, by which the platform announces changed settings.
TEST(ProgramSignalTest, HangUpKeepsTheEntryProgramServing) {
  const EntryProgram entry(161);
  entry.WriteSettings();
  Process process = entry.Start();
  ASSERT_TRUE(entry.WaitUntilServing());
  SendHangUps(&process);
  EXPECT_TRUE(process.running()) << entry.Log();
  EXPECT_EQ(Send(entry.readiness(), "GET", "/").response.status, 503);
  process.Signal(SIGTERM);
  EXPECT_EQ(process.Wait(kStopTime), 0);
}

// Guards against changed settings that are not read on SIGHUP, and against an invalid settings file
// that ends the program or is applied in part.
TEST(ProgramSignalTest, HangUpPutsChangedSettingsInForceUnlessTheyHaveErrors) {
  const EntryProgram entry(164);
  entry.WriteSettings();
  Process process = entry.Start();
  ASSERT_TRUE(entry.WaitUntilServing());
  entry.WriteSettings({{"stop_limit_s", 1.5}, {"metrics_port", 7301}});
  process.Signal(SIGHUP);
  EXPECT_TRUE(entry.WaitForLog("event=reloaded applied=stop_limit_s needs_restart=metrics_port"));
  entry.WriteSettings({{"log_level", "loud"}, {"stop_limit_s", 1}});
  process.Signal(SIGHUP);
  EXPECT_TRUE(entry.WaitForLog("event=reload_failed"));
  EXPECT_NE(entry.Log().find("log_level: is not debug, info, warn or error"), std::string::npos);
  // The last valid file, with a stop_limit_s of 1.5, is still in force, so nothing changes.
  entry.WriteSettings({{"stop_limit_s", 1.5}});
  process.Signal(SIGHUP);
  EXPECT_TRUE(entry.WaitForLog("event=reloaded applied=\"\" needs_restart=\"\""));
  EXPECT_TRUE(process.running());
}

// Guards against programs of an entry host that end on SIGHUP, which a closed terminal or a reload
// command sends.
TEST(ProgramSignalTest, HangUpKeepsAllProgramsOfAnEntryHostServing) {
  ClusterOptions options;
  options.net = 162;
  options.entry_hosts = 1;
  Cluster cluster(options);
  cluster.StartFakes();
  cluster.StartEntryHosts();
  ASSERT_TRUE(cluster.PutDefaultReleaseInForce());
  for (const char* it : {"admin", "router", "scheduler"}) {
    SendHangUps(&cluster.ProgramOf(it, 0));
    EXPECT_TRUE(cluster.ProgramOf(it, 0).running()) << it;
  }
  EXPECT_EQ(Send(cluster.Router(0), "POST", "/v1/services/svc/quote").response.status, 200);
}

// Guards against a program that does not start because its metrics port is in use.
TEST(ProgramStartTest, TakenMetricsPortDoesNotKeepTheEntryProgramFromServing) {
  const EntryProgram entry(163);
  entry.WriteSettings();
  const OccupiedPort taken(entry.metrics());
  Process process = entry.Start();
  EXPECT_TRUE(entry.WaitUntilServing()) << entry.Log();
  EXPECT_TRUE(process.running());
  EXPECT_NE(entry.Log().find("event=listen_failed"), std::string::npos);
}

}  // namespace
}  // namespace pomelopond::support
