// pomelopond-router: routes callers' HTTP requests to the targets of services.
#include <algorithm>
#include <thread>

#include "apps/common/admin_poller.h"
#include "apps/router/router.h"
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
constexpr Duration kDrainLimit = std::chrono::minutes(11);  // exceeds the longest request timeout

int Main(int argc, char** argv) {
  InstallExitLog("pomelopond-router");
  InstallSignals();
  ProgramStart start =
      StartProgram(argc, argv, "pomelopond-router", "Routes callers' requests to targets");
  if (!start.settings) return start.exit_status;
  const EntrySettings settings = *start.settings;
  const EntryHost local_host = LocalEntryHost(settings);
  http::InitThreadPool(settings.http_threads);
  const uint64_t incarnation = RandomIncarnation();
  Router router(settings, incarnation);
  http::HttpServer server(local_host.router, settings.max_body_bytes,
                          [&router](const http::HttpRequest& request, const http::Reply& reply) {
                            router.Handle(request, reply);
                          });
  if (const std::error_code ec = server.Start()) {
    Log(LogLevel::kError, "main", "listen_failed",
        {{"endpoint", ToString(local_host.router)}, {"error", ec.message()}});
    return kExitFailure;
  }
  Log(LogLevel::kInfo, "main", "started",
      {{"host", local_host.id},
       {"endpoint", ToString(local_host.router)},
       {"incarnation", incarnation}});
  AdminPoller admin_poller(local_host.peer, "router", incarnation);
  while (!WaitForStopOrReload(&start, kAdminPollInterval)) {
    router.Tick(Now());
    if (!admin_poller.Poll(kAdminPollTimeout)) continue;
    router.UpdateRelease(admin_poller.release());
    router.UpdateHosts(admin_poller.hosts());
  }
  router.BeginStop();
  server.BeginStop();
  Log(LogLevel::kInfo, "main", "stopping", {{"in_flight", server.InFlight()}});
  // Within this time the load balancer polls /readyz and sends new requests to other routers.
  const TimePoint drain_end = Now() + settings.drain_grace;
  while (Now() < drain_end) {
    std::this_thread::sleep_for(std::min<Duration>(kAdminPollInterval, drain_end - Now()));
    if (!admin_poller.Poll(kAdminPollTimeout)) continue;
    router.UpdateHosts(admin_poller.hosts());
  }
  const int64_t unfinished = server.Stop(kDrainLimit);
  Log(LogLevel::kInfo, "main", "stopped", {{"cut", unfinished}});
  return unfinished == 0 ? kExitOk : kExitFailure;
}

}  // namespace
}  // namespace pomelopond::apps

int main(int argc, char** argv) { return pomelopond::apps::Main(argc, argv); }
