// A small deployment on loopback: the store, entry daemons as processes, and a client.
#ifndef POMELOPOND_REVIEW_HARNESS_DEPLOYMENT_H_
#define POMELOPOND_REVIEW_HARNESS_DEPLOYMENT_H_

#include <sys/types.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "executors.h"
#include "http_io.h"
#include "record.h"
#include "store.h"

namespace pomelopond::review {

struct DeploymentOptions {
  int daemons = 3;
  int executors = 4;
  double cpu_share = 0.25;
  int64_t hold_max_ms = 10000;
  bool records_runs = true;
};

// All processes that it started end with it.
class Deployment {
 public:
  Deployment(const DeploymentOptions& options, Record* record, Journal* journal);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts everything and waits until a job is accepted and done. Returns false if that fails.
  bool Start();

  Store& store() { return *store_; }
  int daemons() const { return static_cast<int>(daemons_.size()); }
  // Daemon that owns the pool according to its metrics, or -1.
  int Owner();
  const Address& callers(int daemon) const { return daemons_[Index(daemon)].callers; }

  void StartDaemon(int n);
  void Signal(int n, int signal);
  // Ends the process and waits for it.
  void KillDaemon(int n);
  // Bytes of the process's resident memory; 0 if it has ended.
  int64_t ResidentBytes(int n);

  int executors() const { return static_cast<int>(executors_.size()); }
  Executor* executor(int n) { return executors_[Index(n)].get(); }
  void StopExecutor(int n);
  void StartExecutor(int n);

  // Calls of a client. They return the status, or 0 without an answer.
  int Submit(int daemon, const std::string& id, const Json& job);
  int SendSubmission(int daemon, const std::string& id, const Json& job);  // returns a descriptor
  // Submits without a record line and without waiting longer than needed.
  void SendAndForget(int daemon, const std::string& id, const Json& job);
  int Cancel(int daemon, const std::string& id);
  // Returns the state, or the status as text if it is not 200.
  std::string State(int daemon, const std::string& id);
  // Waits until the job has the state. Returns false if it hasn't in time.
  bool Await(const std::string& id, const std::string& state, milliseconds timeout);

 private:
  struct Daemon {
    std::string name;
    Address callers;
    Address readiness;
    uint16_t metrics_port = 0;
    pid_t pid = -1;
  };

  static size_t Index(int n) { return static_cast<size_t>(n); }
  Call MakeCall(const std::string& method, const std::string& id, const std::string& body) const;
  int Send(int daemon, const std::string& method, const std::string& id, const std::string& body);
  void WriteSettings(const Daemon& daemon) const;

  const DeploymentOptions options_;
  Record* const record_;
  Journal* const journal_;
  std::string folder_;
  Address store_address_;
  std::unique_ptr<Store> store_;
  std::vector<Daemon> daemons_;
  std::vector<ExecutorOptions> executor_options_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::vector<std::thread> registrations_;
};

// Returns a job of one step.
Json MakeJob(const std::string& spec, int replicas, int64_t cpu);
// Returns an id of 16 hexadecimal digits.
std::string MakeId(int n);

}  // namespace pomelopond::review

#endif  // POMELOPOND_REVIEW_HARNESS_DEPLOYMENT_H_
