/* A job that is cancelled while its creation is under way (docs/platform.md, Acceptance).
 *
 * Code: src/entry/job_service_writes.cc (Submit), src/entry/job_service_cancel.cc (TryCancel, CancelUnknown).
 * Bounds: one job, two copies of its creation and two cancellations, each at any time and on any host. Each
 * transaction of the store is one step. A read and the transaction that follows are two steps. The lease of the
 * cancellation mark is taken to last longer than any creation is under way.
 *
 * verify: late_creation            | late_creation | safety | - |
 * verify: late_creation/no-mark    | late_creation | safety | R5_cancelled | -DNO_MARK
 * verify: late_creation/unguarded  | late_creation | safety | R5_cancelled | -DUNGUARDED
 * verify: late_creation/no-recheck | late_creation | safety | R5_cancelled | -DNO_RECHECK
 */
bool R5_cancelled;

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

bool job;          /* the job's key exists */
bool cancel;       /* the key of its cancellation exists */
bool mark;         /* the key that forbids its creation exists */
bool acknowledged; /* a cancellation was acknowledged */

#ifdef NO_MARK
#define FORBIDDEN false
#else
#define FORBIDDEN mark
#endif

/* The job runs if its key exists without the one of its cancellation. */
inline judge() { check(!(acknowledged && job && !cancel), R5_cancelled) }

active [2] proctype Creation() {
  atomic {
    if
    :: !job && !FORBIDDEN -> job = true
    :: else
    fi;
    judge()
  }
}

active [2] proctype Cancellation() {
  bool exists, done;
  do
  :: !done ->
     atomic { exists = job };
     if
     :: exists -> atomic { cancel = true; done = true }
     :: else ->
        atomic {
          if
#ifdef UNGUARDED
          :: true -> mark = true; done = true
#else
          :: !job -> mark = true; done = true
#endif
#ifdef NO_RECHECK
          :: job -> done = true
#else
          :: job -> skip
#endif
          fi
        }
     fi
  :: else -> break
  od;
  atomic { acknowledged = true; judge() }
}
