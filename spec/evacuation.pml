/* Evacuation of a failure domain (docs/design/evacuation.md).
 *
 * Code: src/entry/catalog_watcher.cc, src/entry/pool_owner.cc (ApplyCatalog, MissesEvacuations),
 * src/dispatch/evacuation.cc (StopStartsInEvacuatedDomains), src/dispatch/decide.cc (RetryRunsOn).
 * Bounds: ticks of a second; one worker in the domain; one start order at a time, as orders do not affect each other;
 * any number of owners, one after the other. The operator writes and deletes the key at any time. The present owner
 * calls the store once in each tick: the store answers its commit, and its watch unless that is broken, which may begin
 * and end at any time. A start order takes effect at any later time until its lease ends, or never. A stop arrives
 * within a call timeout, a tick, and the next owner's first heartbeat within a tick of its takeover. Not modelled:
 * owners that the store does not answer (they go on with the last set), replaced owners that do not know it yet,
 * restarts of the worker. An owner is lost at any time, but only in rows two-faults while stops that it has ordered are
 * under way: then a broken watch and a takeover add up, and the bound is exceeded by a tick.
 *
 * verify: evacuation              | evacuation | safety | -             |
 * verify: evacuation/two-faults   | evacuation | safety | -             | -DTWO_FAULTS -DBOUND=6
 * verify: evacuation/two-faults-bound | evacuation | safety | E1_no_start | -DTWO_FAULTS
 * verify: evacuation/no-list      | evacuation | safety | E1_no_start   | -DNO_LIST
 * verify: evacuation/no-stop      | evacuation | safety | E1_no_start   | -DNO_STOP
 * verify: evacuation/no-stop-held | evacuation | safety | E1_no_start   | -DNO_STOP_HELD
 * verify: evacuation/no-age       | evacuation | safety | E1_no_start   | -DNO_AGE
 * verify: evacuation/long-age     | evacuation | safety | E1_no_start   | -DMAX_AGE=4
 * verify: evacuation/no-fence     | evacuation | safety | E1_no_start   | -DNO_FENCE
 * verify: evacuation/no-deletion  | evacuation | safety | E2_taken_back | -DNO_DELETION
 */
#ifndef BOUND
#define BOUND 5    /* evacuate_ms */
#endif
#define LEASE 5    /* in a start order */
#define TIMEOUT 1  /* of a call */
#ifndef MAX_AGE
#define MAX_AGE 3  /* kMaxEvacuationAge */
#endif

bool E1_no_start;    /* no start takes effect in the domain later than BOUND after it was evacuated */
bool E2_taken_back;  /* an owner whose watch works knows within a tick that the key is deleted */

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

mtype = { UNKNOWN, OPEN, EVACUATED };

/* Times are ages in ticks. They grow to the value after which they make no difference. */

/* The store. */
bool evacuated;
byte written;           /* since the key was written */

/* The present owner. */
mtype known = UNKNOWN;
byte confirmed;         /* since the store last answered the watch */
bool broken;            /* the watch gets no answer */
bool has_called;        /* in this tick */
bool is_held = true;    /* it holds starts */
bool contacted;         /* the worker has heard from it */
byte took_over;

/* The start order. */
bool sent;
bool is_earlier;        /* an earlier owner has sent it */
byte ordered;
bool stopping;
byte stop_ordered;

#ifdef NO_AGE
#define is_outdated false
#else
#define is_outdated (confirmed > MAX_AGE)
#endif
#ifdef NO_LIST
#define may_start (known != EVACUATED && !is_held)
#define holds (known != UNKNOWN && is_outdated)
#else
#define may_start (known == OPEN && !is_held)
#define holds (known == UNKNOWN || is_outdated)
#endif
#ifdef NO_STOP
#define stops false
#else
#ifdef NO_STOP_HELD
#define stops (known == EVACUATED)
#else
#define stops (known == EVACUATED || is_held)
#endif
#endif

#ifdef TWO_FAULTS
#define may_be_lost true
#else
#define may_be_lost (!stopping)
#endif

inline end_order() { sent = false; is_earlier = false; ordered = 0; stopping = false; stop_ordered = 0 }

inline age(n, most) { if :: n < most -> n++ :: else fi }

/* The store answers the owner's calls. */
inline call() {
  has_called = true;
  if
  :: broken
  :: !broken ->
     confirmed = 0;
     if
     :: evacuated -> known = EVACUATED
#ifdef NO_DELETION
     :: !evacuated && known == EVACUATED
     :: !evacuated && known != EVACUATED -> known = OPEN
#else
     :: !evacuated -> known = OPEN
#endif
     fi;
     check(evacuated || known == OPEN, E2_taken_back)
  fi;
  is_held = holds;
  if
  :: stops && sent && !is_earlier -> stopping = true
  :: else
  fi
}

active proctype Time() {
  do
  :: atomic { has_called && (contacted || took_over < 1) && (!stopping || stop_ordered < TIMEOUT) ->
       age(confirmed, MAX_AGE + 1);
       if :: evacuated -> age(written, BOUND + 1) :: else fi;
       if :: !contacted -> took_over++ :: else fi;
       if :: sent -> age(ordered, LEASE) :: else fi;
       if :: stopping -> stop_ordered++ :: else fi;
       has_called = false
     }
  od
}

active proctype Operator() {
  do
  :: atomic { evacuated = !evacuated; written = 0 }
  od
}

active proctype Owner() {
  do
  :: atomic { !has_called -> call() }
  :: broken = !broken
  /* Another host takes over. It has not listed the keys, and starts nothing before its first calls. */
  :: atomic { contacted && has_called && may_be_lost ->
       known = UNKNOWN; confirmed = 0; is_held = holds;
       has_called = false; contacted = false; took_over = 0;
       is_earlier = sent; stopping = false; stop_ordered = 0
     }
  :: atomic { !contacted ->
       contacted = true; took_over = 0;
#ifndef NO_FENCE
       if :: sent && is_earlier -> end_order() :: else fi
#endif
     }
  :: atomic { has_called && contacted && may_start && !sent -> sent = true }
  od
}

/* The worker. */
active proctype Worker() {
  do
  :: atomic { sent && ordered < LEASE ->
       check(!evacuated || written <= BOUND, E1_no_start);
       end_order()
     }
  :: atomic { sent && (stopping || ordered >= LEASE) -> end_order() }
  od
}
