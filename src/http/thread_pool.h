// The pool threads of the cpprest library, which run all work of its clients and servers.
#ifndef POMELOPOND_HTTP_THREAD_POOL_H_
#define POMELOPOND_HTTP_THREAD_POOL_H_

#include "base/time.h"

namespace pomelopond::http {

// Sets the number of pool threads of the whole process. Must be called before any other use of this
// library; otherwise the cpprest library starts 40 threads.
void InitThreadPool(int n);

// Waits until the pool has run all work that is ready, with the work that this makes ready. Does
// not wait for calls in flight and timers. Returns false if `timeout` passes first. Must not be
// called on a pool thread or by two threads at once.
bool DrainThreadPool(Duration timeout);

}  // namespace pomelopond::http

#endif  // POMELOPOND_HTTP_THREAD_POOL_H_
