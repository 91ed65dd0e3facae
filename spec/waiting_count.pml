/* The age of the waiting counts that a host gives (docs/platform.md, "Waiting counts").
 *
 * Code: src/dispatch/commits.cc (NextCommit), src/entry/pool_owner_watchers.cc (StartWatchers),
 * src/entry/revision_history.cc (MaxAge), src/entry/job_service.cc (TryCountWaiting).
 * Bounds: two jobs, two owners that do not know of each other and write two records each, one host that looks at the
 * store once, four ticks of time, of which a count may be one old. An owner may pause between its look at the jobs and
 * its write. No job starts, so that a count that is too low has missed one. That starts count only once they are
 * confirmed is tested by PendingJobTest.
 *
 * verify: waiting_count                 | waiting_count | safety | - |
 * verify: waiting_count/no-age          | waiting_count | safety | C1_recent | -DNO_AGE
 * verify: waiting_count/age-of-record   | waiting_count | safety | C1_recent | -DAGE_OF_RECORD
 * verify: waiting_count/time-of-answer  | waiting_count | safety | C1_recent | -DTIME_OF_ANSWER
 */
#define TICKS 3
#define MAX_AGE 1
#define JOBS 2

bool C1_recent;

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

byte now;
byte accepted;             /* jobs */
byte accepted_before[4];   /* by tick: jobs accepted before it began */
byte revision = 1;         /* of the store */
byte counted;              /* the stored record */
byte jobs_revision;

active proctype Time() {
  do
  :: atomic { now < TICKS -> now++; accepted_before[now] = accepted }
  :: now == TICKS -> break
  od
}

active proctype Callers() {
  do
  :: atomic { accepted < JOBS -> accepted++; revision++ }
  :: break
  od
}

active [2] proctype Owner() {
  byte seen, seen_revision, n;
  do
  :: n < 2 ->
    n++;
    atomic { seen = accepted; seen_revision = revision };
    atomic {
      revision++;
      counted = seen;
#ifdef AGE_OF_RECORD
      jobs_revision = revision
#else
      jobs_revision = seen_revision
#endif
    }
  :: break
  od
}

active proctype Host() {
  byte sent, found, count, count_revision;
  sent = now;
  /* The store answers at any later time. */
  found = revision;
#ifdef TIME_OF_ANSWER
  sent = now;
#endif
  atomic { count = counted; count_revision = jobs_revision };
  atomic {
    if
#ifdef NO_AGE
    :: true ->
#else
    :: now - sent <= MAX_AGE && found <= count_revision ->
#endif
      check(now < MAX_AGE || count >= accepted_before[now - MAX_AGE], C1_recent)
    :: else
    fi
  }
}
