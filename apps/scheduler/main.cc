// pomelopond-scheduler: accepts jobs and runs their tasks on the workers of the shards it owns.
#include "apps/common/admin_poller.h"
#include "apps/scheduler/scheduler.h"
#include "base/exit_log.h"
#include "base/log.h"
#include "base/program.h"
#include "base/random_id.h"
#include "base/signals.h"
#include "http/http_server.h"
#include "http/thread_pool.h"

namespace pomelopond::apps {
namespace {

constexpr Duration kAdminPollTimeout = std::chrono::seconds(1);
constexpr Duration kDrainLimit = std::chrono::seconds(30);  // for requests in flight at a stop

int Main(int argc, char** argv) {
  InstallExitLog("pomelopond-scheduler");
  InstallSignals();
  ProgramStart start =
      StartProgram(argc, argv, "pomelopond-scheduler", "Places and supervises tasks on workers");
  if (!start.settings) return start.exit_status;
  const EntrySettings settings = *start.settings;
  const EntryHost own = LocalEntryHost(settings);
  http::InitThreadPool(settings.http_threads);
  const uint64_t incarnation = RandomIncarnation();
  Scheduler scheduler(settings, incarnation);
  http::HttpServer server(own.scheduler, settings.max_body_bytes,
                          [&scheduler](const http::HttpRequest& request, const http::Reply& reply) {
                            scheduler.Handle(request, reply);
                          });
  if (const std::error_code ec = server.Start()) {
    Log(LogLevel::kError, "main", "listen_failed",
        {{"endpoint", ToString(own.scheduler)}, {"error", ec.message()}});
    return kExitFailure;
  }
  Log(LogLevel::kInfo, "main", "started",
      {{"host", own.id}, {"endpoint", ToString(own.scheduler)}, {"incarnation", incarnation}});
  AdminPoller admin_poller(own.peer, "scheduler", incarnation);
  scheduler.Start();
  while (!WaitForStopOrReload(&start, kAdminPollInterval)) {
    if (admin_poller.Poll(kAdminPollTimeout)) {
      scheduler.UpdateHosts(admin_poller.hosts());
      scheduler.UpdateRelease(admin_poller.release());
    }
    scheduler.Tick(Now());
  }
  Log(LogLevel::kInfo, "main", "stopping", {});
  scheduler.Stop();
  server.Stop(kDrainLimit);
  return kExitOk;
}

}  // namespace
}  // namespace pomelopond::apps

int main(int argc, char** argv) { return pomelopond::apps::Main(argc, argv); }
