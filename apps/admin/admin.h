// The admin of one entry host: accepts release notes, distributes releases and the host list, and
// tracks the release version of each process.
#ifndef POMELOPOND_APPS_ADMIN_ADMIN_H_
#define POMELOPOND_APPS_ADMIN_ADMIN_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "apps/admin/access.h"
#include "apps/admin/release_store.h"
#include "base/entry_settings.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "membership/host_list.h"
#include "metrics/registry.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "release/release.h"

namespace pomelopond::apps {

class Admin {
 public:
  Admin(const EntrySettings& settings, uint64_t incarnation);
  ~Admin();
  Admin(const Admin&) = delete;
  Admin& operator=(const Admin&) = delete;

  // Starts the threads that poll the store and the host list and the thread that runs tasks.
  void Start();
  void Stop();

  void Handle(const http::HttpRequest& request, const http::Reply& reply);
  peer::Message OnMessage(const peer::Message& message);

 private:
  // The release version that a process of this host last reported, and when.
  struct ProcessRelease {
    int64_t release = 0;
    TimePoint seen;
  };

  void PollStore();
  void PollHostList();
  void RunTasks();
  void EnqueueTask(std::function<void()> task);
  void Adopt(release::Release found);
  void FetchReleaseFromPeers();
  void NotifyPeers();
  http::HttpResponse ApplyNote(const std::string& body, bool rebase, const std::string& approver);
  http::HttpResponse History(const http::HttpRequest& request);
  http::HttpResponse Explain();
  void HandleOnTaskThread(const http::HttpRequest& request, const AccessKey& key,
                          const http::Reply& reply);
  http::HttpResponse Status();
  http::HttpResponse Ready();
  Json LocalStatus();
  void ForwardJobs(const http::HttpRequest& request, const http::Reply& reply);

  const EntrySettings settings_;
  const EntryHost local_host_;
  const uint64_t incarnation_;
  metrics::Registry metrics_;
  store::StoreClient store_;
  http::HttpClient host_list_;
  http::HttpClient scheduler_;
  std::map<std::string, std::unique_ptr<peer::PeerClient>> peers_;  // by id of the other hosts
  std::atomic<bool> stopping_{false};
  std::thread store_thread_;
  std::thread hosts_thread_;
  std::thread task_thread_;

  // The only lock. It is not held during store calls or while messages are exchanged.
  std::mutex mutex_;
  std::condition_variable wake_store_;
  std::condition_variable wake_tasks_;
  bool notified_ = false;
  release::Release release_;
  bool confirmed_ = false;  // release_ is confirmed by the store or by a majority of admins
  TimePoint last_store_read_;
  membership::HostList hosts_;
  std::map<std::string, ProcessRelease> process_releases_;
  std::deque<std::function<void()>> tasks_;
};

}  // namespace pomelopond::apps

#endif  // POMELOPOND_APPS_ADMIN_ADMIN_H_
