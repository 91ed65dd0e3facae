// Measures the marginal costs for the capacity page: CPU time and bytes per unit of work, without
// I/O.
//
// Each time is the CPU time of this process, the minimum of five runs, so that other load on the
// machine adds little to it. A marginal cost is the difference between a large and a small case,
// divided by the difference in units.
#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <cxxopts.hpp>
#include <random>
#include <string>
#include <vector>

#include "bench/support/bench_result.h"
#include "planning/placement.h"
#include "planning/worker_session.h"
#include "release/chunks.h"
#include "release/note.h"
#include "routing/target_choice.h"
#include "routing/token_table.h"
#include "store/shard_head.h"

namespace pomelopond::bench {
namespace {

constexpr int kRuns = 5;
constexpr int kHosts = 48;
constexpr int kTasksPerHost = 30;
constexpr Duration kTtl = std::chrono::seconds(20);

double ProcessorMicros() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

// Returns the CPU time of one call in microseconds: the minimum over `kRuns` runs.
template <class Work>
double MeasureMicros(int calls, const Work& work) {
  double best = 0;
  for (int run = 0; run < kRuns; ++run) {
    const double start = ProcessorMicros();
    for (int n = 0; n < calls; ++n) work(n);
    const double used = (ProcessorMicros() - start) / calls;
    if (run == 0 || used < best) best = used;
  }
  return best;
}

struct Row {
  std::string key;
  std::string description;
  double micros = 0;  // CPU time per unit in microseconds; negative if not measured
  double bytes = 0;   // bytes per unit; negative if not measured
};

planning::JobSpec Job(int n) {
  planning::JobSpec spec;
  spec.id = "nightly-report-" + std::to_string(n);
  spec.team = "team-" + std::to_string(n % 49);
  spec.work_class = "report";
  spec.count = 10;
  spec.need = {500 + n % 7 * 250, 1000 + n % 5 * 500, 0};
  spec.run_time = std::chrono::minutes(10);
  return spec;
}

std::string HostId(int n) { return "worker-" + std::to_string(n); }

struct Shard {
  planning::ShardState state;
  planning::Planner planner;
  std::vector<planning::AttemptId> running;
  int jobs = 0;
};

void Place(Shard* shard, size_t limit) {
  for (const planning::Event& it : PlaceTasks(shard->state, &shard->planner, limit, TimePoint{})) {
    Apply(&shard->state, &shard->planner, it);
    Apply(&shard->state, &shard->planner,
          planning::TaskEvent(planning::EventType::kRunning, it.task, it.attempt));
    shard->running.push_back({it.task, it.attempt});
  }
}

Shard MakeShard(int tasks) {
  std::vector<planning::PlacementHost> hosts;
  for (int n = 0; n < kHosts; ++n) {
    hosts.push_back({HostId(n), {64000, 256000, 0}, true, "rack", "domain", false});
  }
  Shard shard;
  shard.planner = planning::MakePlanner({}, hosts, {});
  for (; shard.jobs < tasks / 10; ++shard.jobs) {
    Apply(&shard.state, &shard.planner, planning::AcceptEvent(Job(shard.jobs)));
  }
  while (static_cast<int>(shard.running.size()) < tasks) {
    const size_t before = shard.running.size();
    Place(&shard, 500);
    if (shard.running.size() == before) break;
  }
  return shard;
}

planning::Event Grant(int n) {
  planning::Event event = planning::TaskEvent(planning::EventType::kGrant,
                                              "nightly-report-" + std::to_string(n) + "/3", 1);
  event.host = HostId(n % kHosts);
  return event;
}

void MeasureTasks(std::mt19937_64* random, std::vector<Row>* rows) {
  const double empty = HeapBytes();
  Shard populated = MakeShard(kHosts * kTasksPerHost);
  const auto tasks = static_cast<double>(populated.running.size());
  populated.running = {};
  rows->push_back(
      {"running_task", "running task held in memory", -1, (HeapBytes() - empty) / tasks});
  Shard shard = MakeShard(kHosts * kTasksPerHost);
  rows->push_back({"task_start", "task start: accept, choose, grant, running, end applied",
                   MeasureMicros(5000,
                                 [&shard, random](int n) {
                                   if (n % 10 == 0) {
                                     Apply(&shard.state, &shard.planner,
                                           planning::AcceptEvent(Job(shard.jobs++)));
                                   }
                                   planning::AttemptId& end =
                                       shard.running[(*random)() % shard.running.size()];
                                   Apply(&shard.state, &shard.planner,
                                         planning::TaskEvent(planning::EventType::kFinished,
                                                             end.task, end.attempt));
                                   end = shard.running.back();
                                   shard.running.pop_back();
                                   Place(&shard, 1);
                                 }),
                   -1});
}

void MeasureSnapshot(std::vector<Row>* rows) {
  const Shard shard = MakeShard(kHosts * kTasksPerHost);
  const auto tasks = static_cast<double>(shard.state.tasks.size());
  std::string bytes;
  const double encode =
      MeasureMicros(20, [&](int) { bytes = EncodeSnapshot(shard.state); }) / tasks;
  rows->push_back({"snapshot_write", "task written to a snapshot", encode,
                   static_cast<double>(bytes.size()) / tasks});
  rows->push_back({"snapshot_read", "task read from a snapshot at takeover",
                   MeasureMicros(20, [&](int) { planning::DecodeSnapshot(bytes); }) / tasks, -1});
  std::vector<planning::PlacementHost> hosts;
  for (const auto& it : shard.planner.hosts) hosts.push_back(it.info);
  rows->push_back(
      {"planner_build", "task entered into the planner at takeover",
       MeasureMicros(20, [&](int) { planning::MakePlanner(shard.state, hosts, {}); }) / tasks, -1});
}

// Returns the request body of one journal append as the store receives it: the encoded record in
// base64 inside a transaction.
std::string Append(const std::vector<planning::Event>& events) {
  store::VersionedHead from;
  from.head.owner = "entry-1";
  from.head.write_id = "0123456789abcdef0123456789abcdef";
  from.mod_revision = 1000;
  store::ShardHead to = from.head;
  to.position += 1;
  return ToJson(store::MakeAppend("domain/rack", from, to, planning::EncodeEvents(events))).dump();
}

void MeasureJournal(std::vector<Row>* rows) {
  const std::vector<planning::Event> one = {Grant(1)};
  std::vector<planning::Event> many;
  for (int n = 0; n < 501; ++n) many.push_back(Grant(n));
  const double small = MeasureMicros(500, [&](int) { Append(one); });
  const double large = MeasureMicros(20, [&](int) { Append(many); });
  const double event_micros = (large - small) / 500;
  const double event_bytes = static_cast<double>(Append(many).size() - Append(one).size()) / 500;
  rows->push_back({"journal_record", "journal record without its events", small - event_micros,
                   static_cast<double>(Append(one).size()) - event_bytes});
  rows->push_back({"journal_event", "event in a journal record", event_micros, event_bytes});
  const std::string record = planning::EncodeEvents(many);
  rows->push_back({"journal_replay", "event decoded and applied at takeover",
                   MeasureMicros(20, [&](int) { planning::Rebuild("", {record}); }) / 501, -1});
  std::vector<planning::Event> jobs;
  for (int n = 0; n < 100; ++n) jobs.push_back(planning::AcceptEvent(Job(n)));
  rows->push_back({"journal_job", "acceptance of a job in a journal record",
                   MeasureMicros(50, [&](int) { Append(jobs); }) / 100,
                   static_cast<double>(Append(jobs).size() - Append({}).size()) / 100});
}

struct ExchangeCost {
  double micros = 0;
  double bytes = 0;
};

// Measures one exchange with a worker that holds `tasks` tasks. The last `fresh` of them are
// granted and reported as running in the reply.
ExchangeCost MeasureExchange(int tasks, int fresh) {
  planning::ShardState state;
  planning::ExchangeReply reply;
  reply.epoch = 1;
  reply.incarnation = 0x123456789abcdef0;
  reply.worker_clock = std::chrono::hours(100);
  for (int n = 0; n < tasks; ++n) {
    planning::JobSpec spec = Job(n);
    spec.count = 1;
    Apply(&state, planning::AcceptEvent(spec));
    planning::Event grant =
        planning::TaskEvent(planning::EventType::kGrant, planning::TaskId(spec.id, 0), 1);
    grant.host = HostId(0);
    Apply(&state, grant);
    if (n < tasks - fresh) {
      Apply(&state, planning::TaskEvent(planning::EventType::kRunning, grant.task, 1));
      continue;
    }
    reply.reports.push_back({{grant.task, 1}, planning::ReportState::kRunning, 0, spec.need});
  }
  planning::WorkerSession session;
  session.host = HostId(0);
  session.confirmed = true;
  session.incarnation = reply.incarnation;
  const std::string answer = ToJson(reply).dump();
  ExchangeCost cost;
  cost.micros = MeasureMicros(300, [&](int) {
    session.known = 0;
    const std::string request =
        ToJson(planning::MakeExchange(state, "domain/rack", 1, kTtl, {}, {}, &session)).dump();
    cost.bytes = static_cast<double>(request.size() + answer.size());
    FieldErrors errors;
    const planning::ExchangeReply read =
        planning::ReadExchangeReply(ParseJson(answer).value, &errors);
    planning::OnReply(state, 1, read, kTtl, TimePoint{}, &session);
  });
  return cost;
}

void MeasureExchanges(std::vector<Row>* rows) {
  const ExchangeCost empty = MeasureExchange(0, 0);
  const ExchangeCost idle = MeasureExchange(100, 0);
  const ExchangeCost fresh = MeasureExchange(100, 100);
  rows->push_back(
      {"exchange", "exchange with a worker: encode, decode, decide", empty.micros, empty.bytes});
  rows->push_back({"exchange_running", "running task on the worker of an exchange",
                   (idle.micros - empty.micros) / 100, (idle.bytes - empty.bytes) / 100});
  rows->push_back({"exchange_start", "start and its report in an exchange",
                   (fresh.micros - idle.micros) / 100, (fresh.bytes - idle.bytes) / 100});
}

release::Release ReleaseOf(int services) {
  release::Release release = release::EmptyRelease();
  for (int n = 0; n < services; ++n) {
    release.sections["services"]["service-" + std::to_string(n)] =
        Json{{"team", "team-" + std::to_string(n % 490)},
             {"objective_ms", 200},
             {"objective_ratio", 0.99},
             {"non_idempotent", {"book", "cancel"}}};
  }
  return release;
}

struct ChangeCost {
  double accept = 0;  // CPU time to validate, apply and split a change, in microseconds
  double join = 0;    // CPU time to join the chunks, in microseconds
  double bytes = 0;   // total size of the chunks that a process reads
};

ChangeCost MeasureChange(int services) {
  const release::Release base = ReleaseOf(services);
  release::Note note;
  note.base = base.version;
  note.author = "operator";
  note.change["services"]["service-0"] = Json{{"team", "team-0"}, {"objective_ms", 100}};
  ChangeCost cost;
  release::ChunkedRelease chunked;
  cost.accept = MeasureMicros(5, [&](int) {
    FieldErrors errors;
    chunked = release::SplitIntoChunks(release::ApplyNote(base, note, &errors), "write");
  });
  cost.join = MeasureMicros(5, [&](int) { release::JoinChunks(chunked.manifest, chunked.chunks); });
  for (const auto& [digest, chunk] : chunked.chunks) {
    cost.bytes += static_cast<double>(chunk.size());
  }
  return cost;
}

void MeasureChanges(std::vector<Row>* rows) {
  const ChangeCost small = MeasureChange(100);
  const ChangeCost large = MeasureChange(4100);
  const double objects = 4000;
  rows->push_back({"change_accept", "configuration change of 100 objects: apply and chunk",
                   small.accept, small.bytes});
  rows->push_back({"change_accept_object", "further object: apply and chunk",
                   (large.accept - small.accept) / objects, (large.bytes - small.bytes) / objects});
  rows->push_back({"change_join", "configuration change of 100 objects: join", small.join, -1});
  rows->push_back(
      {"change_join_object", "further object: join", (large.join - small.join) / objects, -1});
}

std::vector<routing::Target> Targets(int count, std::mt19937_64* random) {
  std::vector<routing::Target> targets;
  targets.reserve(count);
  for (int n = 0; n < count; ++n) {
    routing::Target target;
    target.host = HostId(n);
    target.failure_domain = "domain-" + std::to_string(n % 4);
    target.slot_share = 2;
    target.in_flight = static_cast<int64_t>((*random)() % 3);
    target.latency = std::chrono::milliseconds(20 + (*random)() % 60);
    target.samples = 100;
    targets.push_back(std::move(target));
  }
  return targets;
}

void MeasureRouter(std::mt19937_64* random, std::vector<Row>* rows) {
  const TimePoint now = TimePoint{} + std::chrono::hours(1);
  const std::vector<routing::Target> small = Targets(48, random);
  const double before = HeapBytes();
  const std::vector<routing::Target> large = Targets(4848, random);
  const double target_bytes = (HeapBytes() - before) / 4848;
  const auto choose = [&now](const std::vector<routing::Target>& targets) {
    routing::ChooseTarget(targets, "domain-1", 1, now, 0.5);
  };
  const double small_micros = MeasureMicros(2000, [&](int) { choose(small); });
  const double large_micros = MeasureMicros(50, [&](int) { choose(large); });
  rows->push_back({"router_target", "target in a router, for each choice",
                   (large_micros - small_micros) / 4800, target_bytes});
  std::vector<routing::Target> targets = small;
  rows->push_back(
      {"router_request", "request in a router: choose among 48 targets, add latency",
       MeasureMicros(5000,
                     [&](int n) {
                       const int chosen = routing::ChooseTarget(targets, "domain-1", 1, now, 0.5);
                       routing::RecordLatency(&targets[std::max(chosen, 0)],
                                              std::chrono::milliseconds(20 + n % 50), now);
                     }),
       -1});
  const std::string body(200, 'x');
  const double heap = HeapBytes();
  routing::TokenTable<std::string> table;
  table.host = "entry-1";
  table.incarnation = 77;
  table.secret = std::string(32, 's');
  constexpr int kTokens = 20000;
  const double token_micros = MeasureMicros(kTokens / kRuns, [&](int) {
    const std::string text = routing::IssueToken(&table, now);
    const Result<routing::Token> token = routing::ParseToken(text);
    std::string replay;
    routing::RedeemToken<std::string>(
        &table, token.value, text, "POST /v1/services/a/book", [](const std::string&) {}, now,
        &replay);
    routing::FinishToken<std::string>(&table, token.value.sequence, body);
  });
  rows->push_back({"router_token",
                   "one-time token: issue, check, use, finish (answer of 200 bytes)", token_micros,
                   (HeapBytes() - heap) / kTokens});
}

int Main(uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<Row> rows;
  MeasureTasks(&random, &rows);
  MeasureExchanges(&rows);
  MeasureJournal(&rows);
  MeasureSnapshot(&rows);
  MeasureChanges(&rows);
  MeasureRouter(&random, &rows);
  std::printf("%-22s %12s %12s  %s\n", "unit", "us", "bytes", "meaning");
  Figures figures;
  bool measured = true;
  for (const Row& it : rows) {
    std::printf("%-22s", it.key.c_str());
    if (it.micros >= 0) std::printf(" %12.3f", it.micros);
    if (it.micros < 0) std::printf(" %12s", "-");
    if (it.bytes >= 0) std::printf(" %12.1f", it.bytes);
    if (it.bytes < 0) std::printf(" %12s", "-");
    std::printf("  %s\n", it.description.c_str());
    if (it.micros >= 0) figures.emplace_back(it.key + "_us", it.micros);
    if (it.bytes >= 0) figures.emplace_back(it.key + "_bytes", it.bytes);
    measured = measured && (it.micros > 0 || it.bytes > 0);
  }
  return Report("capacity", figures, measured);
}

}  // namespace
}  // namespace pomelopond::bench

int main(int argc, char** argv) {
  cxxopts::Options options("bench-capacity", "Marginal costs for the capacity page");
  options.add_options()("seed", "random seed", cxxopts::value<uint64_t>()->default_value("1"));
  return pomelopond::bench::Main(options.parse(argc, argv)["seed"].as<uint64_t>());
}
