#include "base/event_loop.h"

#include <utility>

namespace pomelopond {

EventLoop::EventLoop(Duration interval, std::function<void()> on_batch_done)
    : interval_(interval), on_batch_done_(std::move(on_batch_done)), thread_([this] { Run(); }) {}

EventLoop::~EventLoop() { Stop(); }

void EventLoop::Post(std::function<void()> work) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (stopping_) return;
  queue_.push_back(std::move(work));
  if (queue_.size() == 1) wake_.notify_one();
}

void EventLoop::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    wake_.notify_one();
  }
  if (thread_.joinable()) thread_.join();
}

void EventLoop::Run() {
  for (;;) {
    std::deque<std::function<void()>> batch;
    bool last = false;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_.wait_for(lock, interval_, [this] { return stopping_ || !queue_.empty(); });
      batch.swap(queue_);
      last = stopping_;
    }
    for (const std::function<void()>& it : batch) it();
    on_batch_done_();
    if (last) return;
  }
}

}  // namespace pomelopond
