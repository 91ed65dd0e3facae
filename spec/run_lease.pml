/* Run leases: a task runs on at most one worker at a time (design section 7).
 *
 * Code: src/planning/worker_session.cc, src/planning/shard_state.cc, fakes/worker/worker_state.cc,
 * ShardRunner::OnOwnerStopped.
 * Time advances in ticks, which any interleaving may delay. Leases and echoed clock readings are stored
 * as remaining ticks, so that the state space is finite. A worker stops its task up to SLACK ticks after
 * the end of its lease, which models slower clocks and timers.
 * Bounds: one task, two workers, two owners (the second takes over at any time; the first continues, is
 * paused or is killed), SENDS messages in total, two attempts. A message arrives at once, is lost, or
 * leaves a copy that arrives at any later time and any number of times; one such copy at a time.
 * Answers arrive at once or are lost. RESTARTS worker restarts and EVICTIONS evictions; the two
 * exhaustive runs take one each, since both together exceed the time limit of scripts/verify. Grants
 * and ends take two steps, decision and journal append; the append of an owner whose epoch is no longer
 * current fails (shard_log.pml).
 * A worker's highest epoch persists across its restart, as section 7 of the design requires.
 *
 * verify: run_lease/restart     | run_lease | safety | - | -DRESTARTS=1 -DSENDS=4
 * verify: run_lease/eviction    | run_lease | safety | - | -DEVICTIONS=1 -DSENDS=4
 * verify: run_lease/no-copies   | run_lease | safety | - | -DRESTARTS=1 -DEVICTIONS=1 -DSENDS=6 -DCOPIES=0
 * verify: run_lease/no-epoch    | run_lease | safety | R2_one_place | -DNO_EPOCH -DONLY_R2 -DCOPIES=0
 * verify: run_lease/no-sequence | run_lease | safety | R3_started_once | -DNO_SEQUENCE -DEVICTIONS=1
 * verify: run_lease/no-wait     | run_lease | safety | R2_one_place | -DNO_WAIT
 * verify: run_lease/no-margin   | run_lease | safety | R2_one_place | -DNO_MARGIN
 * verify: run_lease/no-echo     | run_lease | safety | R2_one_place | -DNO_ECHO
 * verify: run_lease/no-proof    | run_lease | safety | R2_one_place | -DNO_PROOF
 * verify: run_lease/first-answer-ends-lease | run_lease | safety | R2_one_place | -DFIRST_ANSWER_ENDS_LEASE
 * verify: run_lease/epoch-lost  | run_lease | safety | R2_one_place | -DEPOCH_LOST -DRESTARTS=1 -DONLY_R2 -DCOPIES=0 -DSENDS=7
 * verify: run_lease/no-incarnation | run_lease | safety | R2_one_place | -DNO_INCARNATION -DRESTARTS=1 -DONLY_R2 -DSENDS=5
 * verify: run_lease/no-given-up | run_lease | safety | R2_one_place | -DNO_GIVEN_UP
 * verify: run_lease/placed-on-stop-sent | run_lease | safety | R2_one_place | -DPLACED_ON_STOP_SENT -DEVICTIONS=1
 * verify: run_lease/stop-without-checkpoint | run_lease | safety | R3_last_checkpoint | -DNO_CHECKPOINT -DEVICTIONS=1 -DCOPIES=0
 * verify: run_lease/send-before-journal | run_lease | safety | R3_started_once | -DSEND_BEFORE_JOURNAL
 */
#ifndef TTL
#define TTL 1
#endif
#ifndef SLACK
#define SLACK 1
#endif
#ifndef SENDS
#define SENDS 6
#endif
#ifdef NO_MARGIN
#define OWNER_WAIT TTL
#else
#define OWNER_WAIT (TTL + SLACK)
#endif
#ifndef COPIES
#define COPIES 1
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifndef EVICTIONS
#define EVICTIONS 0
#endif
#define MAXATT 2
#define UNKNOWN 15      /* lease end unknown */

bool R2_one_place, R3_started_once, R3_last_checkpoint;

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

#define PENDING 0
#define GRANTED 1
#define RUNNING 2
#define STOPPING 3

/* Journal: epoch of the head and the durable state of the task. */
byte j_epoch = 1, j_state, j_host, j_att, j_ckpt;

/* Owners 0 and 1, with epochs 1 and 2. An owner's view is the journal as of its last append. */
bool on[2], killed, proved;
byte v_state[2], v_host[2], v_att[2], v_ckpt[2];
/* A decision whose append has not finished: 0 none, 1 grant, 2 running, 3 stop, 4 stopped. */
byte d_kind[2], d_host[2], d_ckpt[2];
byte d_att[2];

/* Sessions, indexed by owner * 2 + worker. */
bool conf[4];
byte seq[4];
byte ack[4];            /* ended attempt that the worker may discard */
byte lease[4];          /* ticks until the owner considers the worker's lease expired */
byte fresh[4];          /* the same, counted from the last answer, for a renewal sent now */
byte echo[4];           /* remaining ticks that a renewal sent now grants to the worker */
bool e_inc[4];          /* incarnation of the worker that sent the echoed reading */

/* Workers. */
bool w_inc[2];
byte w_epoch[2], w_seq[2], w_lease[2];
byte w_state[2];        /* 0 no task, 1 running, 2 stopped */
byte w_att[2];

byte started[MAXATT + 1];
byte saved;             /* last attempt whose reported checkpoint is journalled */
bool d_saves[2];        /* the uncommitted decision comes from such a report */
byte restarts = RESTARTS, evictions = EVICTIONS, sends = SENDS;

/* Requests in flight. */
typedef Message {
  bool used; byte session; byte seq; byte left; bool inc; byte start; byte ckpt; byte stop; byte ack
}
Message net[2];

inline clear(m) {
  net[m].used = false; net[m].session = 0; net[m].seq = 0; net[m].left = 0; net[m].inc = 0;
  net[m].start = 0; net[m].ckpt = 0; net[m].stop = 0; net[m].ack = 0
}

#define OWNER(s) ((s) / 2)
#define WORKER(s) ((s) % 2)
#define EPOCH(s) ((s) / 2 + 1)

/* Guards; each is disabled by one mutation. */
#ifdef NO_EPOCH
#define EPOCH_ACCEPTED(s, w) true
#else
#define EPOCH_ACCEPTED(s, w) (EPOCH(s) >= w_epoch[w])
#endif
#ifdef NO_SEQUENCE
#define SEQUENCE_ACCEPTED(s, w, m) true
#else
#define SEQUENCE_ACCEPTED(s, w, m) (EPOCH(s) != w_epoch[w] || net[m].seq > w_seq[w])
#endif
#ifdef NO_INCARNATION
#define INCARNATION_ACCEPTED(w, m) true
#else
#define INCARNATION_ACCEPTED(w, m) (net[m].inc == w_inc[w])
#endif
#ifdef NO_GIVEN_UP
#define NOT_GIVEN_UP(s) true
#else
#define NOT_GIVEN_UP(s) (d_kind[OWNER(s)] != 4)   /* the attempt's end is being journalled */
#endif
#ifdef SEND_BEFORE_JOURNAL
#define SEND_EARLY true
#else
#define SEND_EARLY false
#endif
#ifdef FIRST_ANSWER_ENDS_LEASE
#define FIRST_WAIT 0
#else
#define FIRST_WAIT OWNER_WAIT
#endif
#ifdef NO_WAIT
#define LEASE_OVER(o) true
#else
#define LEASE_OVER(o) (lease[(o) * 2 + v_host[o]] == 0)
#endif

#ifdef NO_CHECKPOINT
#define CHECKPOINT(o) 0
#else
#define CHECKPOINT(o) v_att[o]
#endif

/* MakeExchange */
inline make_exchange(m, s) {
  sends--;
  seq[s]++;
  net[m].used = true; net[m].session = s; net[m].seq = seq[s];
  if
  :: conf[s] ->
    net[m].left = echo[s]; net[m].inc = e_inc[s];
    if :: lease[s] < fresh[s] -> lease[s] = fresh[s] :: else fi;
    if
    :: v_host[OWNER(s)] == WORKER(s) && v_state[OWNER(s)] == GRANTED && NOT_GIVEN_UP(s) ->
      net[m].start = v_att[OWNER(s)]; net[m].ckpt = v_ckpt[OWNER(s)]
    :: SEND_EARLY && d_kind[OWNER(s)] == 1 && d_host[OWNER(s)] == WORKER(s) ->
      net[m].start = d_att[OWNER(s)]; net[m].ckpt = v_ckpt[OWNER(s)]
    :: v_host[OWNER(s)] == WORKER(s) && v_state[OWNER(s)] == STOPPING -> net[m].stop = v_att[OWNER(s)]
    :: else
    fi;
    net[m].ack = ack[s]
  :: else
  fi
}

#ifdef ONLY_R2
#define CHECK_R3(cond, violated) skip
#else
#define CHECK_R3(cond, violated) check(cond, violated)
#endif

inline start_task(x, y, z) {
  w_state[x] = 1; w_att[x] = y;
  started[y]++;
  CHECK_R3(started[y] <= 1, R3_started_once);
  CHECK_R3(z >= saved, R3_last_checkpoint);
  check(!(w_state[0] == 1 && w_state[1] == 1), R2_one_place)
}

inline decide(o, kind, host, att, ckpt) {
  d_saves[o] = false;
  d_kind[o] = kind; d_host[o] = host; d_att[o] = att; d_ckpt[o] = ckpt
}

inline forget(x) {
  conf[x] = false; seq[x] = 0; ack[x] = 0; lease[x] = 0; fresh[x] = 0; echo[x] = 0; e_inc[x] = 0
}

/* The owner gives up the shard and clears its state. */
inline leave(o) {
  on[o] = false; decide(o, 0, 0, 0, 0);
  v_state[o] = 0; v_host[o] = 0; v_att[o] = 0; v_ckpt[o] = 0;
  forget(o * 2); forget(o * 2 + 1)
}

inline commit(o) {
  if
  :: j_epoch == o + 1 ->
    if
    :: d_kind[o] == 1 && v_state[o] == PENDING ->
      v_state[o] = GRANTED; v_host[o] = d_host[o]; v_att[o] = d_att[o]
    :: d_kind[o] == 2 && v_state[o] == GRANTED -> v_state[o] = RUNNING
    :: d_kind[o] == 3 && (v_state[o] == GRANTED || v_state[o] == RUNNING) -> v_state[o] = STOPPING
    :: d_kind[o] == 4 && v_state[o] != PENDING ->
      v_state[o] = PENDING;
      if :: d_saves[o] -> saved = v_att[o] :: else fi;
      if :: v_ckpt[o] < d_ckpt[o] -> v_ckpt[o] = d_ckpt[o] :: else fi
    :: else
    fi;
    j_state = v_state[o]; j_host = v_host[o]; j_att = v_att[o]; j_ckpt = v_ckpt[o];
    decide(o, 0, 0, 0, 0)
  :: else -> leave(o)
  fi
}

/* WorkerState::Exchange and, when the answer arrives, OnReply. */
inline deliver(m) {
  s = net[m].session; w = WORKER(s); o = OWNER(s);
  if
  :: EPOCH_ACCEPTED(s, w) && SEQUENCE_ACCEPTED(s, w, m) ->
    w_epoch[w] = EPOCH(s); w_seq[w] = net[m].seq;
    if
    :: INCARNATION_ACCEPTED(w, m) ->
      if :: w_lease[w] < net[m].left -> w_lease[w] = net[m].left :: else fi;
      if :: net[m].ack != 0 && w_state[w] == 2 && w_att[w] == net[m].ack -> w_state[w] = 0; w_att[w] = 0 :: else fi;
      if :: net[m].stop != 0 && w_state[w] == 1 && w_att[w] == net[m].stop -> w_state[w] = 2 :: else fi;
      if
      :: net[m].start != 0 && w_state[w] != 1 && w_lease[w] > 0 &&
         (w_att[w] < net[m].start) -> start_task(w, net[m].start, net[m].ckpt)
      :: else
      fi
    :: else
    fi;
    if
    :: !on[o]
    :: on[o] && seq[s] == net[m].seq ->     /* the answer arrives */
      if
      :: !conf[s] -> lease[s] = FIRST_WAIT
      :: else
      fi;
      conf[s] = true;
      fresh[s] = OWNER_WAIT; echo[s] = TTL + SLACK; e_inc[s] = w_inc[w];
      if
      :: w_state[w] == 2 && (w_att[w] != v_att[o] || v_state[o] == PENDING) -> ack[s] = w_att[w]
      :: else -> ack[s] = 0
      fi;
      if
      :: d_kind[o] == 0 && v_host[o] == w && v_state[o] != PENDING ->
        if
        :: w_state[w] == 1 && w_att[w] == v_att[o] && v_state[o] == GRANTED ->
          decide(o, 2, w, v_att[o], 0); commit(o)
        :: w_state[w] == 2 && w_att[w] == v_att[o] -> decide(o, 4, w, v_att[o], CHECKPOINT(o)); d_saves[o] = true
        /* A full report that lacks the attempt: a restart lost it. */
        :: w_att[w] != v_att[o] && v_state[o] != GRANTED -> decide(o, 4, w, v_att[o], v_ckpt[o])
        :: else
        fi
      :: else
      fi
    :: on[o]                                /* the answer is lost */
    fi
  :: else
  fi;
  s = 0; w = 0; o = 0
}

inline count_down(x) { if :: x > 0 && x != UNKNOWN -> x-- :: else fi }

/* A renewal grants a lease that starts at the echoed clock reading, so the remaining lease shrinks with
 * the delay of the message. */
#ifdef NO_ECHO
#define AGE(x) skip
#else
#define AGE(x) count_down(x)
#endif

inline worker_tick(w) {
  if
  :: w_lease[w] > 0 -> w_lease[w]--;
    if :: w_lease[w] == 0 && w_state[w] == 1 -> w_state[w] = 2 :: else fi
  :: else
  fi
}

inline copy_message() {
  net[0].used = true; net[0].session = net[1].session; net[0].seq = net[1].seq;
  net[0].left = net[1].left; net[0].inc = net[1].inc; net[0].start = net[1].start;
  net[0].ckpt = net[1].ckpt; net[0].stop = net[1].stop; net[0].ack = net[1].ack
}

/* Sends a message to worker `x`: it arrives, leaves a delayed copy, both, or neither. */
inline send(o, x) {
  make_exchange(1, o * 2 + x);
  if
  :: deliver(1)
  :: COPIES > 0 && !net[0].used -> copy_message(); deliver(1)
  :: COPIES > 0 && !net[0].used -> copy_message()
  :: true
  fi;
  clear(1)
}

inline kill_first() { killed = true; leave(0) }

#ifdef NO_PROOF
#define TAKEOVER_WAIT OWNER_WAIT
#else
#define TAKEOVER_WAIT UNKNOWN
#endif

inline take_over() {
  j_epoch = 2; on[1] = true;
  v_state[1] = j_state; v_host[1] = j_host; v_att[1] = j_att; v_ckpt[1] = j_ckpt;
  lease[2] = TAKEOVER_WAIT; lease[3] = TAKEOVER_WAIT
}

inline first_proved_stopped() {
  proved = true;
  if :: lease[2] == UNKNOWN -> lease[2] = OWNER_WAIT :: else fi;
  if :: lease[3] == UNKNOWN -> lease[3] = OWNER_WAIT :: else fi
}

#ifdef EPOCH_LOST
#define EPOCH_AFTER_RESTART(x) w_epoch[x] = 0
#else
#define EPOCH_AFTER_RESTART(x) skip
#endif
inline restart(x) {
  restarts--;
  /* A run that is lost with the worker's memory may be started again as the same attempt. */
  if :: w_att[x] != 0 && started[w_att[x]] > 0 -> started[w_att[x]]-- :: else fi;
  w_inc[x] = !w_inc[x]; w_seq[x] = 0; w_lease[x] = 0; w_state[x] = 0; w_att[x] = 0;
  EPOCH_AFTER_RESTART(x)
}

#ifdef PLACED_ON_STOP_SENT
#define STOP_SUFFICES true
#else
#define STOP_SUFFICES false
#endif

#define IDLE(o) (on[o] && d_kind[o] == 0)

/* A single process executes all steps; a paused owner is one whose steps are not executed. */
active proctype System() {
  byte s, w, o, n, k;
  on[0] = true;
end:
  do
  :: atomic { sends > 0 && on[0] -> if :: send(0, 0) :: send(0, 1) fi }
  :: atomic { sends > 0 && on[1] -> if :: send(1, 0) :: send(1, 1) fi }
  :: atomic { net[0].used -> deliver(0) }
  :: atomic { net[0].used -> clear(0) }
  /* PlaceTasks. The workers are symmetric, so the first grant goes to worker 0. */
  :: atomic { IDLE(0) && v_state[0] == PENDING && v_att[0] < MAXATT && conf[0] ->
      decide(0, 1, 0, v_att[0] + 1, 0) }
  :: atomic { IDLE(0) && v_state[0] == PENDING && v_att[0] < MAXATT && conf[1] && v_att[0] > 0 ->
      decide(0, 1, 1, v_att[0] + 1, 0) }
  :: atomic { IDLE(1) && v_state[1] == PENDING && v_att[1] < MAXATT && conf[2] ->
      decide(1, 1, 0, v_att[1] + 1, 0) }
  :: atomic { IDLE(1) && v_state[1] == PENDING && v_att[1] < MAXATT && conf[3] ->
      decide(1, 1, 1, v_att[1] + 1, 0) }
  /* Evictions */
  :: atomic { evictions > 0 && IDLE(0) && v_state[0] == RUNNING ->
      evictions--; decide(0, 3, v_host[0], v_att[0], 0); commit(0) }
  :: atomic { evictions > 0 && IDLE(1) && v_state[1] == RUNNING ->
      evictions--; decide(1, 3, v_host[1], v_att[1], 0); commit(1) }
  :: atomic { STOP_SUFFICES && IDLE(0) && v_state[0] == STOPPING ->
      decide(0, 4, v_host[0], v_att[0], v_ckpt[0]) }
  /* OnLeaseEnd */
  :: atomic { IDLE(0) && v_state[0] != PENDING && LEASE_OVER(0) ->
      decide(0, 4, v_host[0], v_att[0], v_ckpt[0]) }
  :: atomic { IDLE(1) && v_state[1] != PENDING && LEASE_OVER(1) ->
      decide(1, 4, v_host[1], v_att[1], v_ckpt[1]) }
  /* Journal appends */
  :: atomic { on[0] && d_kind[0] != 0 -> commit(0) }
  :: atomic { on[1] && d_kind[1] != 0 -> commit(1) }
  /* Faults */
  :: atomic { !killed -> kill_first() }
  :: atomic { j_epoch == 1 -> take_over() }
  :: atomic { j_epoch == 2 && killed && !proved -> first_proved_stopped() }
  :: atomic { restarts > 0 -> if :: restart(0) :: restart(1) fi }
  /* Time. A worker may stop its task exactly at the end of its lease, or SLACK ticks later. */
  :: atomic { worker_tick(0); worker_tick(1);
      for (k : 0 .. 3) { count_down(lease[k]); count_down(fresh[k]); AGE(echo[k]) }
      AGE(net[0].left); k = 0 }
  :: atomic { w_lease[0] == 1 && w_state[0] == 1 -> w_state[0] = 2 }
  :: atomic { w_lease[1] == 1 && w_state[1] == 1 -> w_state[1] = 2 }
  od
}
