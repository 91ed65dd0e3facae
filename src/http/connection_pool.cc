#include "http/connection_pool.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "http/internal/pool_reactor.h"

namespace pomelopond::http {

class ConnectionPool::Impl {
 public:
  explicit Impl(const ConnectionPoolOptions& options)
      : options_(options),
        wake_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
        reactor_(options, wake_fd_),
        thread_([this] { Run(); }) {}

  ~Impl() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      work_.stops = true;
      Wake();
    }
    thread_.join();
    close(wake_fd_);
  }

  void Send(PoolCallPtr call) {
    const std::lock_guard<std::mutex> lock(mutex_);
    work_.calls.push_back(std::move(call));
    Wake();
  }

  void Disconnect() {
    const std::lock_guard<std::mutex> lock(mutex_);
    work_.disconnects = true;
    Wake();
  }

  size_t max_answer_bytes() const { return options_.max_answer_bytes; }

 private:
  // What other threads have asked for.
  struct Work {
    std::vector<PoolCallPtr> calls;
    bool disconnects = false;
    bool stops = false;

    bool empty() const { return calls.empty() && !disconnects && !stops; }
  };

  // Requires the lock. The thread looks for work by itself unless it sleeps.
  void Wake() {
    if (!std::exchange(sleeps_, false)) return;
    const uint64_t one = 1;
    (void)!write(wake_fd_, &one, sizeof(one));
  }

  bool BeginSleep() {
    const std::lock_guard<std::mutex> lock(mutex_);
    sleeps_ = work_.empty();
    return sleeps_;
  }

  void TakeWork(Work* work) {
    const std::lock_guard<std::mutex> lock(mutex_);
    sleeps_ = false;
    work->calls.swap(work_.calls);
    work->disconnects = std::exchange(work_.disconnects, false);
    work->stops = work_.stops;
  }

  void Run();
  // Returns false once the pool ends.
  bool RunOnce();
  void Stop(Work* work);

  const ConnectionPoolOptions options_;
  const int wake_fd_;
  PoolReactor reactor_;  // used by thread_ only
  TimePoint last_ = Now();
  Work taken_;

  std::mutex mutex_;  // guards the members below; a leaf in every lock order
  Work work_;
  bool sleeps_ = false;
  std::thread thread_;
};

void ConnectionPool::Impl::Run() {
  while (RunOnce()) {
  }
}

bool ConnectionPool::Impl::RunOnce() {
  reactor_.Wait(BeginSleep(), last_);
  TakeWork(&taken_);
  const TimePoint now = Now();
  const bool has_answers = reactor_.HandleReady(now);
  // Handling the answers took time, in which a server may have closed a connection. One look at all
  // connections costs less than one at each that is used.
  while (has_answers && !taken_.calls.empty()) {
    reactor_.Wait(false, now);
    reactor_.HandleReady(now);
    if (!reactor_.may_have_more()) break;
  }
  const bool has_work = has_answers || !taken_.calls.empty();
  for (PoolCallPtr& it : taken_.calls) reactor_.Start(std::move(it), now);
  taken_.calls.clear();
  if (taken_.disconnects) reactor_.Disconnect(now);
  if (taken_.stops) {
    Stop(&taken_);
    return false;
  }
  const bool is_busy = has_work && now - last_ < 2 * options_.coalescing;
  last_ = now;
  if (is_busy) std::this_thread::sleep_for(options_.coalescing);
  return true;
}

void ConnectionPool::Impl::Stop(Work* work) {
  do {
    const TimePoint now = Now();
    reactor_.EndAll(now);
    for (PoolCallPtr& it : work->calls) it->Finish(ResultCode::kTargetUnreachable, {}, now);
    work->calls.clear();
    TakeWork(work);
  } while (!work->calls.empty());
}

ConnectionPool::ConnectionPool(const ConnectionPoolOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::Send(const ServerLane& lane, const HttpRequest& request, Duration timeout,
                          HttpCallback done, const ConnectionTie& tie) {
  auto call = std::make_unique<PoolCall>(lane, request, timeout, std::move(done),
                                         impl_->max_answer_bytes(), Now());
  call->tied_to = tie.connection;
  call->process = tie.process;
  call->is_from_process = tie.is_from_process;
  if (tie.IsTied()) call->other_text = RequestText(tie.other_request, lane.endpoint);
  impl_->Send(std::move(call));
}

void ConnectionPool::Disconnect() { impl_->Disconnect(); }

}  // namespace pomelopond::http
