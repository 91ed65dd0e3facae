#include "http/thread_pool.h"

#include <pplx/threadpool.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace pomelopond::http {
namespace {

// Number of threads that the library starts without InitThreadPool().
constexpr int kDefaultThreads = 40;

std::atomic<int> pool_threads{kDefaultThreads};

// Holds the pool threads that arrive until it is opened.
struct Barrier {
  void Hold() {
    std::unique_lock<std::mutex> lock(mutex);
    arrived += 1;
    changed.notify_all();
    changed.wait(lock, [this] { return open; });
  }

  bool WaitForArrivals(int n, TimePoint deadline) {
    std::unique_lock<std::mutex> lock(mutex);
    return changed.wait_until(lock, deadline, [this, n] { return arrived >= n; });
  }

  void Open() {
    const std::lock_guard<std::mutex> lock(mutex);
    open = true;
    changed.notify_all();
  }

  std::mutex mutex;  // guards `arrived` and `open`
  std::condition_variable changed;
  int arrived = 0;
  bool open = false;
};

}  // namespace

void InitThreadPool(int n) {
  crossplat::threadpool::initialize_with_threads(static_cast<size_t>(n));
  pool_threads.store(n);
}

bool DrainThreadPool(Duration timeout) {
  const TimePoint deadline = Now() + timeout;
  const int threads = pool_threads.load();
  boost::asio::io_service& service = crossplat::threadpool::shared_instance().service();
  // Shared because pool threads may arrive after the timeout.
  const auto barrier = std::make_shared<Barrier>();
  for (int n = 0; n < threads; ++n) {
    boost::asio::post(service, [barrier] { barrier->Hold(); });
  }
  bool drained = barrier->WaitForArrivals(threads, deadline);
  // With all pool threads held, none is amid work that could make other work ready. So the queue is
  // empty for good once this thread finds nothing left to run.
  while (drained && service.poll() > 0) drained = Now() < deadline;
  barrier->Open();
  return drained;
}

}  // namespace pomelopond::http
