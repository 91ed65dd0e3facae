// A thread that runs posted functions in order, so that data used only by them needs no lock.
#ifndef POMELOPOND_BASE_EVENT_LOOP_H_
#define POMELOPOND_BASE_EVENT_LOOP_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "base/time.h"

namespace pomelopond {

class EventLoop {
 public:
  // Calls `on_batch_done` on the loop's thread after each batch of posted functions, and after
  // `interval` if no function was posted.
  EventLoop(Duration interval, std::function<void()> on_batch_done);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Queues a function to run on the loop's thread. Functions that are posted after Stop() are
  // discarded. Thread-safe.
  void Post(std::function<void()> work);

  // Waits until all functions posted before the call have run, then ends the thread.
  void Stop();

 private:
  void Run();

  const Duration interval_;
  const std::function<void()> on_batch_done_;
  // Guards queue_ and stopping_. No other mutex is acquired while it is held.
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_EVENT_LOOP_H_
