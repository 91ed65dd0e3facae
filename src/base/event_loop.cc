#include "base/event_loop.h"

#include <utility>

namespace pomelopond {

EventLoop::EventLoop(const EventLoopTimes& times, std::function<void()> on_batch_done)
    : times_(times), on_batch_done_(std::move(on_batch_done)), thread_([this] { Run(); }) {}

EventLoop::~EventLoop() { Stop(); }

void EventLoop::Post(std::function<void()> work) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (stopping_) return;
  queue_.push_back(std::move(work));
  if (queue_.size() == 1 && !pausing_) wake_.notify_one();
}

void EventLoop::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    wake_.notify_one();
  }
  if (thread_.joinable()) thread_.join();
}

std::deque<std::function<void()>> EventLoop::AwaitBatch(Duration pause, bool* last) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (pause > Duration::zero()) {
    pausing_ = true;
    wake_.wait_for(lock, pause, [this] { return stopping_; });
    pausing_ = false;
  }
  wake_.wait_for(lock, times_.interval - pause, [this] { return stopping_ || !queue_.empty(); });
  *last = stopping_;
  return std::exchange(queue_, {});
}

void EventLoop::Run() {
  Duration pause{};
  for (bool last = false; !last;) {
    const std::deque<std::function<void()>> batch = AwaitBatch(pause, &last);
    for (const std::function<void()>& it : batch) it();
    on_batch_done_();
    pause = batch.empty() ? Duration::zero() : times_.pause;
  }
}

}  // namespace pomelopond
