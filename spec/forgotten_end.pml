/* Ends of runs that workers are told to forget, while the store is slow and owners follow each other
 * (docs/incidents/2026-12-07-early-acknowledgement.md).
 *
 * Code: src/dispatch/reports.cc (OnReport, ApplyEnd), src/dispatch/commits.cc (NextCommit, OnCommitted).
 * Bounds: a job of two tasks and one attempt. The run of the first task has failed on the first worker, which may be
 * lost; the run of the second one is done on the second worker. A commit is taken and lands in two steps, and one that
 * is in flight at a takeover fails. Four owners.
 *
 * verify: forgotten_end            | forgotten_end | safety | - |
 * verify: forgotten_end/early      | forgotten_end | safety | R3_runs_again | -DEARLY
 * verify: forgotten_end/old-commit | forgotten_end | safety | R3_runs_again | -DOLD_COMMIT
 */
bool R3_runs_again;

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

#define OWNERS 4

bool stored_failed, stored_done; /* the job is failed; the second task is done */
bool lists_failed = true;        /* the first worker */
bool lists_done = true;          /* the second worker */
bool first_lost;
byte owner = 1;

/* What the present owner knows. */
bool failed, done, heard_first, heard_second;
bool in_flight, taken_failed, taken_done;

#ifdef EARLY
#define COVERED (stored_done || failed)
#else
#define COVERED (stored_done || stored_failed)
#endif

active proctype Pool() {
  do
  /* Reports. An end that changes nothing is one of a job that has failed. */
  :: atomic { !first_lost -> heard_first = true; failed = failed || lists_failed }
  :: atomic { heard_second = true; done = done || (lists_done && !failed) }
  :: atomic { !first_lost -> first_lost = true }
  /* Commits. */
  :: atomic { !in_flight -> in_flight = true; taken_failed = failed; taken_done = done }
  :: atomic {
       in_flight ->
       in_flight = false;
       stored_failed = stored_failed || taken_failed;
       stored_done = stored_done || taken_done;
#ifdef OLD_COMMIT
       if
       :: heard_second && (failed || done) -> lists_done = false
       :: else
       fi
#endif
     }
  /* Acknowledgements. */
  :: atomic { heard_second && lists_done && COVERED -> lists_done = false }
  :: atomic { heard_first && !first_lost && lists_failed && stored_failed -> lists_failed = false }
  /* A takeover. */
  :: atomic {
       owner < OWNERS ->
       owner++;
       in_flight = false;
       failed = stored_failed;
       done = stored_done;
       heard_first = false;
       heard_second = false
     }
  /* The owner starts the second task once it has heard of all workers or their leases are over. */
  :: atomic {
       heard_second && (heard_first || first_lost) && !failed && !done ->
       check(lists_done, R3_runs_again);
       break
     }
  :: atomic { owner == OWNERS && !lists_done && stored_failed -> break }
  od
}
