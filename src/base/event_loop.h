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

struct EventLoopTimes {
  // A batch, possibly an empty one, begins at most this time after the last one.
  Duration interval{};
  // Minimum time from a batch that is not empty to the next one. Functions that are posted during
  // it share the next batch, and posting them wakes no thread. A function that is posted later runs
  // at once.
  Duration pause{};
};

class EventLoop {
 public:
  // Calls `on_batch_done` on the loop's thread after each batch of posted functions.
  EventLoop(const EventLoopTimes& times, std::function<void()> on_batch_done);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Queues a function to run on the loop's thread. Functions that are posted after Stop() are
  // discarded. Thread-safe.
  void Post(std::function<void()> work);

  // Waits until all functions posted before the call have run, then ends the thread. Thread-safe.
  void Stop();

 private:
  void Run();
  // Returns the functions of the next batch once it is due, after `pause`. Sets `last` when the
  // loop ends with it.
  std::deque<std::function<void()>> AwaitBatch(Duration pause, bool* last);

  const EventLoopTimes times_;
  const std::function<void()> on_batch_done_;
  // Guards queue_, stopping_ and pausing_. No other mutex is acquired while it is held.
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void()>> queue_;
  bool stopping_ = false;
  bool pausing_ = false;  // the thread wakes up by itself when the pause is over
  std::thread thread_;
};

}  // namespace pomelopond

#endif  // POMELOPOND_BASE_EVENT_LOOP_H_
