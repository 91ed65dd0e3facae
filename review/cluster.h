// The project's programs as processes on loopback addresses, and what all cases share.
#ifndef POMELOPOND_REVIEW_CLUSTER_H_
#define POMELOPOND_REVIEW_CLUSTER_H_

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "http.h"
#include "ledger.h"
#include "store.h"

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline constexpr const char* kService = "towpath-reports";
inline constexpr const char* kPrefix = "/lohu930/";

// A configuration with one queue for each prefix, all of kService.
std::string Config(int version, int max_attempts, const std::vector<std::string>& prefixes);

// One process of the role `entry` of the deploy file.
class EntryHost {
 public:
  // `number` chooses the address 127.0.0.<number>.
  EntryHost(int number, const std::string& folder, const std::string& store);

  void Start();
  void Signal(int signal);
  // Sends SIGKILL and waits for the end.
  void Kill();
  bool IsReady() const;
  const std::string& Name() const { return name_; }
  const std::string& Callers() const { return callers_; }

 private:
  std::string name_;
  std::string settings_;
  std::string log_;
  std::string callers_;
  std::string readiness_;
  pid_t pid_ = -1;
};

struct Cluster {
  explicit Cluster(int hosts);

  // Ends all processes and removes the temporary folder, unless the variable KEEP_LOGS is set.
  void Stop();

  // Starts the store with a configuration of one queue, and all hosts. Returns false if they are
  // not ready in time.
  bool Start(int max_attempts);
  // Starts one more host, at an address of its own.
  void AddHost();
  // The host that wrote the term last, or null.
  EntryHost* Owner();

  Answer Submit(const EntryHost& host, const std::string& id, const std::string& steps);
  Answer StateOf(const EntryHost& host, const std::string& id);
  // Asks for the number of waiting jobs of a queue.
  Answer CountOf(const EntryHost& host, const std::string& prefix);

  Ledger ledger;
  Store store;
  std::string folder;  // temporary
  std::vector<EntryHost> hosts;
};

// True unless the variable TROUBLE is 0.
bool HasTrouble();
void SleepMs(int64_t ms);
// Polls until the condition is true. Returns false after `ms`.
bool WaitUntil(int64_t ms, const std::function<bool()>& condition);
// These write the record and the verdict, stop the cluster and end the process with the exit code.
// Threads of the stand-ins still run then, so no object is destroyed.
[[noreturn]] void Finish(Cluster* cluster, const std::string& record,
                         const std::vector<std::string>& breaches);
[[noreturn]] void GiveUp(Cluster* cluster, const std::string& record, const std::string& reason);

}  // namespace review

#endif  // POMELOPOND_REVIEW_CLUSTER_H_
