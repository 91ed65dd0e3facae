// Processes of pomelopond-entry, with the settings of a small deployment, and the record of a case.
#ifndef POMELOPOND_REVIEW_LAB_DAEMON_H_
#define POMELOPOND_REVIEW_LAB_DAEMON_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

#include "review/lab/store.h"

namespace pomelopond::lab {

// A machine of one of the small installations of SYSTEM.md.
struct Machine {
  std::string name;
  std::string zone;
  std::string address;
  int callers = 0;    // port
  int readiness = 0;  // port
  int metrics = 0;    // port
  double processor_share = 0.25;
  int64_t max_lease_ms = 10000;  // hold_max_ms
  pid_t pid = 0;
  std::string log;  // file
};

// Chooses free ports on the address.
Machine MakeMachine(const std::string& name, const std::string& zone, const std::string& address);

// Starts the program of the deploy file, with its settings and log in `folder`.
void StartDaemon(Machine* machine, int store_port, const std::string& store_address,
                 const std::string& folder, const std::string& policy = {});

// Sends the signal to the machine's process.
void Signal(const Machine& machine, int signal);

// Waits for the end of the process, at most this long, then kills it. Returns true if it ended by
// itself.
bool WaitForEnd(Machine* machine, int timeout_ms);

bool IsAlive(const Machine& machine);

// Peak of the resident memory in MB; 0 if the process has ended.
int64_t PeakMemoryMb(const Machine& machine);

// GET /api/ready is answered with 200 within the time.
bool WaitUntilReady(const Machine& machine, int timeout_ms);

struct Queue {
  std::string name = "jobs";
  std::string host = "lab.example";
  std::string prefix = "/jobs/";
  std::string service = "workers";
};
// A configuration with these queues, which have the same service.
std::string ConfigText(const std::vector<Queue>& queues, int64_t version);

// A call of a client.
Response ClientCall(const Machine& machine, const Queue& queue, const std::string& method,
                    const std::string& rest, const std::string& body, int deadline_ms);

// Milliseconds since the start of the program.
int64_t ElapsedMs();

// Milliseconds since 1970.
int64_t WallMs();

void SleepMs(int64_t ms);

// The id of a submission: `n` in 16 hexadecimal digits.
std::string IdOf(int n);

// Kills the processes and waits for them.
void EndAll(std::vector<Machine>* machines);

// Writes a line to record.txt in the case's folder, and to the output.
void OpenRecord(const std::string& path);
void Record(const std::string& line);

// True unless TROUBLE=0 is set.
bool HasTrouble();

// A folder of its own below /tmp, for settings and logs.
std::string TemporaryFolder();

// Removes the folder, unless KEEP_LOGS is set.
void RemoveFolder(const std::string& folder);

}  // namespace pomelopond::lab

#endif  // POMELOPOND_REVIEW_LAB_DAEMON_H_
