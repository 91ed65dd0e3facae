/* A job that is accepted while the ownership of the pool changes (docs/platform.md, R2).
 *
 * Code: src/dispatch/decide.cc (JobsInOrder, IsWithheld), src/dispatch/dispatcher.cc (OnProvenRevision, InheritWorker),
 * src/entry/pool_owner.cc (BecomeOwner), src/entry/pool_owner_commits.cc (VerifyTermForNewJobs, OnTermRead),
 * src/entry/pool_owner_watchers.cc (ApplyJobItems).
 * Bounds: one job of one task, two workers, two owners. The second takes over at any time; the
 * first continues without noticing. The job is accepted at any time, and each owner sees it at any
 * later time. A start message arrives at any later time, once. The first owner starts the task on worker
 * 0, the second on worker 1. Leases and ends of runs are in run_lease.pml; here a started run never ends.
 *
 * verify: new_job             | new_job | safety | - |
 * verify: new_job/no-proof    | new_job | safety | R2_one_place | -DNO_PROOF
 * verify: new_job/early-proof | new_job | safety | R2_one_place | -DEARLY_PROOF
 * verify: new_job/no-settle   | new_job | safety | R2_one_place | -DNO_SETTLE
 * verify: new_job/no-epoch    | new_job | safety | R2_one_place | -DNO_EPOCH
 */
bool R2_one_place;

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

byte term = 1;       /* epoch of the owner in the store */
bool accepted;       /* the job's record exists */
bool inherited;      /* the record existed when the second owner read the jobs */
bool running[2];     /* by worker */
byte w_epoch[2] = 1; /* highest epoch accepted, by worker */
bool start[2];       /* start messages in flight, by owner */

#ifdef NO_EPOCH
#define FOLLOWS(w, e) true
#else
#define FOLLOWS(w, e) ((e) >= w_epoch[w])
#endif

active proctype Callers() {
  accepted = true
}

/* Reading the term proves ownership at a time after the job was seen. */
active proctype First() {
#ifndef EARLY_PROOF
  accepted;
#endif
#ifndef NO_PROOF
  if
  :: term == 1
  :: else -> goto replaced
  fi;
#endif
  accepted;
  start[0] = true;
replaced:
  skip
}

active proctype Second() {
  bool seen;
  /* Takes over, then reads the jobs. */
  term = 2;
  atomic { inherited = accepted; seen = accepted };
  if
  :: seen ->
#ifndef NO_SETTLE
     /* Each worker reports its runs and, from then on, rejects lower epochs. */
     atomic { w_epoch[0] = 2; seen = running[0] };
     atomic { w_epoch[1] = 2; seen = seen || running[1] };
     if
     :: seen -> goto adopted
     :: else
     fi
#endif
     skip
  :: else -> accepted
  fi;
  start[1] = true;
adopted:
  skip
}

active proctype Network() {
  do
  :: atomic { start[0] -> start[0] = false;
       if
       :: FOLLOWS(0, 1) -> running[0] = true
       :: else
       fi;
       check(!(running[0] && running[1]), R2_one_place) }
  :: atomic { start[1] -> start[1] = false;
       w_epoch[1] = 2;
       running[1] = true;
       check(!(running[0] && running[1]), R2_one_place) }
  :: timeout -> break
  od
}
