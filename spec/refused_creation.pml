/* A creation that is refused because the pool is full, beside copies of it without an answer (docs/platform.md,
 * Acceptance).
 *
 * Code: src/entry/write_verdict.h, src/entry/job_service_commits.cc (OnVerdict, Revoke).
 * Bounds: one job, one host, three copies of the creation. The store may carry out a copy without an answer at any
 * later time, if its condition holds then; the revocation, whose answer may be lost as well, makes the condition of all
 * copies so far fail. The pool is full and has room in turn. Each transaction of the store is one step. The mark of the
 * revocation is taken to last longer than any copy is under way.
 *
 * verify: refused_creation            | refused_creation | safety | - |
 * verify: refused_creation/no-revoke  | refused_creation | safety | R5_not_run | -DNO_REVOKE
 * verify: refused_creation/unguarded  | refused_creation | safety | R5_not_run | -DUNGUARDED
 */
#define COPIES 3

bool R5_not_run;

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

bool job;     /* the job's key exists */
bool pool_full;    /* the pool is full */
bool refused; /* the caller was told that the job does not run */
byte late;    /* copies that the store has not answered and may still carry out */

inline judge() { check(!(refused && job), R5_not_run) }

/* Once the host knows that no copy takes effect, or believes so. */
inline refuse() { refused = true; done = true; judge() }

active proctype Host() {
  bool done, unanswered, revoke;
  byte sent;
  do
  :: !done && sent < COPIES ->
     sent++;
     if
     :: atomic { late++; unanswered = true }
     :: atomic { job -> done = true }
     :: atomic { !job && !pool_full -> job = true; done = true; judge() }
     :: atomic {
          !job && pool_full ->
          if
          :: !unanswered -> refuse()
          :: unanswered -> revoke = true
          fi
        }
     fi;
     if
     :: revoke ->
        revoke = false;
        if
#ifdef NO_REVOKE
        :: refuse()
#else
#ifdef UNGUARDED
        :: atomic { late = 0; refuse() }
#else
        :: atomic { !job -> late = 0; refuse() }
#endif
        :: atomic { job -> skip }              /* the next copy finds the job */
        :: atomic { !job -> late = 0; unanswered = false } /* its answer is lost; the next copy finds the mark */
        :: skip                                /* it is lost */
#endif
        fi
     :: else
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
