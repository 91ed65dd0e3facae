// pomelopond-admin: accepts release notes, serves the operators' API, and distributes releases and
// the host list to the other processes of its host.
#include "apps/admin/admin.h"
#include "base/exit_log.h"
#include "base/log.h"
#include "base/program.h"
#include "base/random_id.h"
#include "base/signals.h"
#include "http/thread_pool.h"

namespace pomelopond::apps {
namespace {

constexpr int kPeerThreads = 4;
constexpr Duration kDrainLimit = std::chrono::seconds(30);

int Main(int argc, char** argv) {
  InstallExitLog("pomelopond-admin");
  InstallSignals();
  ProgramStart start =
      StartProgram(argc, argv, "pomelopond-admin", "Accepts and distributes release notes");
  if (!start.settings) return start.exit_status;
  const EntrySettings settings = *start.settings;
  const EntryHost local_host = LocalEntryHost(settings);
  http::InitThreadPool(settings.http_threads);
  Admin admin(settings, RandomIncarnation());
  peer::PeerServer peers(local_host.peer, kPeerThreads,
                         [&admin](const peer::Message& it) { return admin.OnMessage(it); });
  http::HttpServer server(local_host.admin, settings.max_body_bytes,
                          [&admin](const http::HttpRequest& request, const http::Reply& reply) {
                            admin.Handle(request, reply);
                          });
  const std::error_code peer_ec = peers.Start();
  const std::error_code http_ec = server.Start();
  if (peer_ec || http_ec) {
    Log(LogLevel::kError, "main", "listen_failed",
        {{"admin", ToString(local_host.admin)}, {"peer", ToString(local_host.peer)}});
    return kExitFailure;
  }
  Log(LogLevel::kInfo, "main", "started",
      {{"host", local_host.id}, {"endpoint", ToString(local_host.admin)}});
  admin.Start();
  while (!WaitForStopOrReload(&start, std::chrono::seconds(1))) continue;
  Log(LogLevel::kInfo, "main", "stopping", {});
  server.Stop(kDrainLimit);
  admin.Stop();
  return kExitOk;
}

}  // namespace
}  // namespace pomelopond::apps

int main(int argc, char** argv) { return pomelopond::apps::Main(argc, argv); }
