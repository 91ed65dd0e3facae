// One thread that runs posted functions in order, so that what they share needs no lock.
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
  // Calls `after` on the loop's thread after each batch of functions, and at least every
  // `interval`.
  EventLoop(Duration interval, std::function<void()> on_batch_done);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Thread-safe. Functions that are posted after Stop() are dropped.
  void Post(std::function<void()> work);

  // Waits until the functions posted before have run, then ends the thread.
  void Stop();

 private:
  void Run();

  const Duration interval_;
  const std::function<void()> on_batch_done_;
  std::mutex mutex_;  // guards queue_ and stopping_; a leaf in every lock order
  std::condition_variable wake_;
  std::deque<std::function<void()>> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_EVENT_LOOP_H_
