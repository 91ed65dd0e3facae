// The rule LOST, as it holds after the end of the traffic: `finish_s` later, no accepted submission
// may have nothing running for 3 s while its turn has come and the executors are idle.
#ifndef POMELOPOND_REVIEW_LAB_LOST_H_
#define POMELOPOND_REVIEW_LAB_LOST_H_

#include <functional>
#include <string>
#include <vector>

#include "review/lab/daemon.h"
#include "review/lab/executor.h"

namespace pomelopond::lab {

// A small installation.
struct Installation {
  std::vector<std::string> zones;  // of each machine
  int first_number = 10;
  double processor_share = 0.25;
  int64_t max_lease_ms = 10000;
  int executors = 4;
  int64_t executor_cpu = 16000;
};

class LostCase {
 public:
  explicit LostCase(Installation installation) : installation_(std::move(installation)) {}

  // Starts the installation, runs one ordinary submission in calm, calls `trouble`, then hands in
  // ordinary submissions, one a second, and checks the rule. Returns the exit status of the case.
  int Run(const std::string& folder, const std::function<void(LostCase*)>& trouble);

  // Hands a submission in once, as one attempt of a client. Returns the status.
  int Post(size_t machine, int id, const std::string& body);

  const std::vector<Machine>& machines() const { return machines_; }
  const Queue& queue() const { return queue_; }

 private:
  int Play(const std::function<void(LostCase*)>& trouble);
  // Hands an ordinary submission in with the retries of a client. Returns its id, or nothing if it
  // was never accepted.
  std::string Submit(int n);
  bool HasRun(const std::string& id, bool done_only);
  bool IsDoneInTime(const std::string& id);
  int CountLost();

  const Installation installation_;
  Store* const store_ = new Store;  // its threads end with the program
  int store_port_ = 0;
  std::string temporary_;
  Queue queue_;
  std::vector<Executor*> executors_;
  std::vector<Machine> machines_;
  std::vector<std::string> probes_;
};

}  // namespace pomelopond::lab

#endif  // POMELOPOND_REVIEW_LAB_LOST_H_
