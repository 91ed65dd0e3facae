/* A creation that is refused because the pool is full, beside copies of it without an answer (docs/platform.md,
 * Acceptance).
 *
 * Code: src/entry/write_verdict.h, src/entry/job_service_writes.cc (OnCommit).
 * Bounds: one job, one host, three copies of the creation. The store may carry out a copy without an answer at any
 * later time, if its condition holds then. The pool is full and has room in turn. Each transaction of the store is
 * one step.
 *
 * verify: refused_creation          | refused_creation | safety | - |
 * verify: refused_creation/any-copy | refused_creation | safety | R5_not_run | -DIGNORE_UNANSWERED
 */
#define COPIES 3

bool R5_not_run;

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

bool job;     /* the job's key exists */
bool pool_full;    /* the pool is full */
bool refused; /* the caller was told that the job does not run */
byte late;    /* copies that the store has not answered and may still carry out */

inline judge() { check(!(refused && job), R5_not_run) }

inline refuse() { refused = true; done = true; judge() }

active proctype Host() {
  bool done, unanswered;
  byte sent;
  do
  :: !done && sent < COPIES ->
     sent++;
     if
     :: atomic { late++; unanswered = true }
     :: atomic { !pool_full -> job = true; done = true; judge() }
     :: atomic {
          pool_full ->
          if
#ifdef IGNORE_UNANSWERED
          :: true -> refuse()
#else
          :: !unanswered -> refuse()
          :: unanswered -> skip
#endif
          fi
        }
     fi
  :: else -> break
  od
}

active proctype Store() {
end:
  do
  :: atomic {
       late > 0 -> late--;
       if
       :: !pool_full -> job = true
       :: else
       fi;
       judge()
     }
  od
}

active proctype Owner() {
end:
  do
  :: pool_full = !pool_full
  od
}
