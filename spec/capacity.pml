/* Capacity of one host across a takeover (design section 7, requirement R1).
 *
 * Code: src/planning/shard_state.cc (GrantedOn, Apply), src/planning/placement.cc (PlaceTasks),
 * src/planning/worker_session.cc (MakeExchange, OnReply), fakes/worker/worker_state.cc (Exchange).
 * The worker's own capacity check is not modelled, so the owners' accounting alone must be sufficient.
 * Bounds: a host with capacity for one task, two tasks, two attempts each, two owners (the second takes
 * over at any time; the first continues without noticing), stops and ends of tasks at any time, start
 * messages that arrive at any later time and any number of times. Epochs: 1 and 2. Leases are
 * in run_lease.pml.
 *
 * verify: capacity              | capacity | safety | - |
 * verify: capacity/no-epoch     | capacity | safety | R1_capacity | -DNO_EPOCH
 * verify: capacity/freed-on-stop-sent  | capacity | safety | R1_capacity | -DFREED_ON_STOP_SENT
 * verify: capacity/counted-when-running | capacity | safety | R1_capacity | -DCOUNTED_WHEN_RUNNING
 * verify: capacity/send-before-journal | capacity | safety | R1_capacity | -DSEND_BEFORE_JOURNAL
 * verify: capacity/no-room-check | capacity | safety | R1_capacity | -DNO_ROOM_CHECK
 * verify: capacity/no-attempt-check | capacity | safety | R1_capacity | -DNO_ATTEMPT_CHECK
 */
#define ROOM 1
#define TASKS 2
#define ATTEMPTS 2

bool R1_capacity;

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

#define PENDING 0
#define GRANTED 1
#define RUNNING 2
#define STOPPING 3

byte j_epoch = 1;
byte j_state[TASKS], j_att[TASKS];
/* Each owner's view of the tasks, indexed by owner * TASKS + task. */
byte state[4], att[4];
bool on[2], confirmed[2];

byte w_epoch;
byte w_run[TASKS];      /* running attempt, 0: none */
byte w_started[TASKS];  /* last attempt started; the worker retains it until its end is journalled */
byte w_last[4];         /* last attempt accepted by the sequence check, by owner and task */

/* Start messages in flight: bit (epoch - 1) * 4 + task * 2 + attempt - 1. */
bool start[8];

#define V(o, t) ((o) * TASKS + (t))
#define S(o, t, a) ((o) * 4 + (t) * 2 + (a) - 1)
#ifdef FREED_ON_STOP_SENT
#define COUNTS(x) (state[x] == GRANTED || state[x] == RUNNING)
#elif defined(COUNTED_WHEN_RUNNING)
#define COUNTS(x) (state[x] == RUNNING || state[x] == STOPPING)
#else
#define COUNTS(x) (state[x] != PENDING)
#endif
#define USED(o) ((COUNTS(V(o, 0)) -> 1 : 0) + (COUNTS(V(o, 1)) -> 1 : 0))
#ifdef NO_ROOM_CHECK
#define HAS_ROOM(o) true
#else
#define HAS_ROOM(o) (USED(o) < ROOM)
#endif
#ifdef NO_EPOCH
#define ACCEPTED(o) true
#else
#define ACCEPTED(o) ((o) + 1 >= w_epoch)
#endif
#ifdef NO_ATTEMPT_CHECK
#define NEW_ATTEMPT(o, t, a) (w_run[t] == 0)
#else
#define NEW_ATTEMPT(o, t, a) (w_run[t] == 0 && w_started[t] < (a) && w_last[V(o, t)] < (a))
#endif
#ifdef SEND_BEFORE_JOURNAL
#define SEND_EARLY true
#else
#define SEND_EARLY false
#endif

#define RUNS ((w_run[0] != 0 -> 1 : 0) + (w_run[1] != 0 -> 1 : 0))

/* Appends one task's state to the journal; fails if another owner has taken over. */
inline append(o, t, to, a) {
  if
  :: j_epoch == o + 1 ->
    state[V(o, t)] = to; att[V(o, t)] = a; j_state[t] = to; j_att[t] = a
  :: else -> on[o] = false
  fi
}

inline take_over() {
  j_epoch = 2; on[1] = true;
  for (k : 0 .. 1) { state[2 + k] = j_state[k]; att[2 + k] = j_att[k] }
  k = 0
}

proctype Task(byte o; byte t) {
  byte a;
end:
  do
  /* PlaceTasks: grants only on a worker that has answered at this epoch. */
  :: atomic { on[o] && confirmed[o] && state[V(o, t)] == PENDING && att[V(o, t)] < ATTEMPTS && HAS_ROOM(o) ->
      a = att[V(o, t)] + 1;
      if :: SEND_EARLY -> start[S(o, t, a)] = true :: !SEND_EARLY fi;
      append(o, t, GRANTED, a); a = 0 }
  /* MakeExchange */
  :: atomic { on[o] && state[V(o, t)] == GRANTED && !start[S(o, t, att[V(o, t)])] ->
      start[S(o, t, att[V(o, t)])] = true }
  /* Eviction or cancellation of a running task, or of a granted one whose start may not have arrived. */
  :: atomic { on[o] && (state[V(o, t)] == RUNNING || state[V(o, t)] == GRANTED) ->
      append(o, t, STOPPING, att[V(o, t)]) }
  /* Exchange and report: running, stopped on request, or ended by itself. A start that arrives
   * after a later stop is rejected by its sequence number, which `w_last` represents here. */
  :: atomic { on[o] && confirmed[o] && ACCEPTED(o) && state[V(o, t)] == GRANTED && w_run[t] == att[V(o, t)] ->
      append(o, t, RUNNING, att[V(o, t)]) }
  :: atomic { on[o] && confirmed[o] && ACCEPTED(o) && state[V(o, t)] == STOPPING ->
      if :: w_run[t] == att[V(o, t)] -> w_run[t] = 0 :: else fi;
      if :: w_last[V(o, t)] < att[V(o, t)] -> w_last[V(o, t)] = att[V(o, t)] :: else fi;
      append(o, t, PENDING, att[V(o, t)]) }
  :: atomic { on[o] && confirmed[o] && ACCEPTED(o) && state[V(o, t)] == RUNNING && w_run[t] == 0 ->
      append(o, t, PENDING, att[V(o, t)]) }
  od
}

active proctype Worker() {
  byte k;
end:
  do
  :: atomic { on[0] && !confirmed[0] && ACCEPTED(0) -> confirmed[0] = true; w_epoch = 1 }
  :: atomic { on[1] && !confirmed[1] -> confirmed[1] = true; w_epoch = 2 }
  :: atomic { j_epoch == 1 -> take_over() }
  /* A start message arrives; a copy of it may arrive again later. */
  :: atomic {
      k = 0;
      do :: k < 7 -> k++ :: break od;
      if
      :: start[k] && ACCEPTED(k / 4) && NEW_ATTEMPT(k / 4, (k % 4) / 2, k % 2 + 1) ->
        w_run[(k % 4) / 2] = k % 2 + 1; w_last[V(k / 4, (k % 4) / 2)] = k % 2 + 1;
        w_started[(k % 4) / 2] = k % 2 + 1;
        check(RUNS <= ROOM, R1_capacity)
      :: else
      fi;
      k = 0 }
  /* A task ends by itself. */
  :: atomic { w_run[0] != 0 -> w_run[0] = 0 }
  :: atomic { w_run[1] != 0 -> w_run[1] = 0 }
  od
}

init {
  atomic {
    on[0] = true;
    run Task(0, 0); run Task(0, 1); run Task(1, 0); run Task(1, 1)
  }
}
