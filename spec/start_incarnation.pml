/* Start orders and a worker that starts again under its id (docs/platform.md, R2).
 *
 * Code: platform/worker_api.cc (Start), src/http/internal/pool_reactor.cc (IsTiedTo, Complete, SendTied),
 * src/dispatch/decide.cc (MakeStartOrder, LeaseEndMs, ExpireWorker), src/dispatch/reports.cc (OnReport,
 * ApplyActiveRuns), src/dispatch/answers.cc (OnStarted, OnStopped), src/dispatch/restarts.cc (HandleRestart,
 * ForgetIncarnation), src/dispatch/worker_lease.cc (RecordClock); the lease that the users' worker grants.
 * Time advances in ticks, which any interleaving may delay. All clocks run at one rate; margins are in run_lease.pml.
 * A process that starts again has a clock that begins at 0 and remembers neither runs nor stops nor its lease.
 * Bounds: one task, one owner, RUNS runs, LAST ticks. Worker 0 starts again RESTARTS times. Worker 1 never does, its
 * connection is proven, and the owner asks it for no report. Worker 0 has one connection for orders. It ends with the
 * process at its other end; the owner notices that at any later time, and may close the connection itself (CLOSES).
 * Requests are lost with their connection; answers that were sent before may still arrive. A start order waits in the
 * connection pool for any time, then it is carried out at any later time, refused or lost. Its answer, a report, a stop
 * and a registration arrive at any later time or never. A heartbeat extends the lease at once or not at all (EXTENDS).
 * A run ends at any time, and with the lease of its worker. Incarnations have rising numbers. A report that is
 * requested before a start comes at once or never: a later one tells the same, as the connection ends with the process.
 * The last run is ordered once, and the owner does nothing more then, as only the start of that run matters.
 * Not modelled: IsClockBehind and AwaitReport, which act only if a connection outlives its process; other owners and
 * epochs; cut reports; several connections for orders; gangs; permits; perpetual tasks, whose repeated orders keep the
 * first lease end (start_lease.pml).
 * A connection is proven by a report on itself, which holds for the later orders to the same incarnation.
 * start_incarnation/late-stop holds: no start reaches another incarnation, so none has to be stopped there.
 *
 * verify: start_incarnation                   | start_incarnation | safety | - |
 * verify: start_incarnation/two-restarts      | start_incarnation | safety | - | -DRESTARTS=2 -DLAST=2 -DCLOSES=0 -DEXTENDS=0
 * verify: start_incarnation/long-lease        | start_incarnation | safety | - | -DTTL=2 -DCLOSES=0 -DEXTENDS=0
 * verify: start_incarnation/three-runs        | start_incarnation | safety | - | -DRUNS=3 -DLAST=1 -DCLOSES=0 -DEXTENDS=0
 * verify: start_incarnation/late-stop         | start_incarnation | safety | - | -DLATE_STOP -DLAST=2
 * verify: start_incarnation/any-connection    | start_incarnation | safety | R2_one_place | -DANY_CONNECTION
 * verify: start_incarnation/other-incarnation | start_incarnation | safety | R2_one_place | -DOTHER_INCARNATION
 * verify: start_incarnation/clock-of-answers  | start_incarnation | safety | R2_one_place | -DCLOCK_OF_ANSWERS -DEXTENDS=0
 * verify: start_incarnation/outlived          | start_incarnation | safety | R2_one_place | -DOUTLIVED
 */
#ifndef RUNS
#define RUNS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef LAST
#define LAST 3
#endif
#ifndef TTL
#define TTL 1            /* lease in an order */
#endif
#ifndef CLOSES
#define CLOSES 1         /* the owner may close a connection to a running process */
#endif
#ifndef EXTENDS
#define EXTENDS 1        /* heartbeats extend leases */
#endif
#define LONGEST (TTL + 1)  /* longest lease that a worker grants */
#define FIRST_CLOCK 2    /* of the processes that are there at the beginning */
#define NO_TIME 255      /* a lease end on no known clock */

#define MAY_RESTART(w) ((w) == 0)

bool R2_one_place;       /* one run of the task is active at most */

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

/* States of a run on its worker. */
#define NEVER 0
#define ACTIVE 1
#define ENDED 2
#define REFUSED 3        /* stopped before it began */

/* States of the task for its owner. */
#define WAITING 0
#define STARTING 1
#define RUNNING 2
#define STOPPING 3

/* States of a call, which is a start order, a request for a report or a stop order. */
#define NO_CALL 0
#define POOLED 1         /* waits for a connection, or for the proof of one */
#define SENT 2
#define LOST 3
#define ANSWERED 4       /* carried out; the answer is on its way */
#define TURNED_DOWN 5    /* refused; the answer is on its way */

/* States of a connection. */
#define CLOSED 0
#define OPEN 1           /* to the present process */
#define DEAD 2           /* to an earlier process, which the owner has not noticed */

byte now;

/* Workers. */
byte restarts = RESTARTS;
byte process[2];         /* incarnation */
byte clock[2];
byte w_lease[2];         /* ticks until all runs end */
byte state[RUNS];
byte message[RUNS];      /* latest lease end in the start orders that the present process may carry out, or 0 */

/* Owner. The last run is the present one. */
byte task, runs;
byte place[RUNS];
bool started, incarnation_known, confirmed, stop_confirmed;
bool unknown;            /* a start got no answer */
byte start_lease_end;    /* latest one in the orders of the run */
byte known[2];           /* incarnation */
byte known_clock[2];     /* of that incarnation; the clock shows this or more */
bool contacted[2];
byte lease[2];           /* ticks until all runs have ended */

/* Connections for orders. */
byte connection[2];
bool proven[2];          /* it reaches no later incarnation than the known one */

/* Start orders. */
byte call[RUNS], order_end[RUNS], order_incarnation[RUNS];
bool order_proven[RUNS]; /* the connection reaches no later incarnation than that of the order */

/* One report by worker. */
byte report[2], report_incarnation[2], report_clock[2];
byte listed[2];            /* state of the present run in the report */
bool confirmed_before[2];  /* the present run was confirmed last before the report was requested */

/* One stop order. */
byte stop, stop_run, stop_incarnation;

#ifdef CLOCK_OF_ANSWERS
byte answer_clock[2];    /* in the answer to an order for another task, plus 1; 0: none is on its way */
#endif

#define PRESENT (runs - 1)
#define DECIDES (runs < RUNS)
#define IS_PRESENT(n) (DECIDES && task != WAITING && (n) == PRESENT)
#define IS_ON(w) (DECIDES && task != WAITING && place[PRESENT] == (w))
#define MAY_STILL_START (unknown || (call[PRESENT] != NO_CALL && !confirmed))
#define IS_LOST (incarnation_known && !MAY_STILL_START)

/* Guards; each is disabled by one mutation. */
#ifdef ANY_CONNECTION
#define IS_PROVEN(n) true
#else
#define IS_PROVEN(n) order_proven[n]
#endif
#ifdef OTHER_INCARNATION
#define NAMES_INCARNATION(w, n) true
#else
#define NAMES_INCARNATION(w, n) (process[w] == order_incarnation[n])
#endif
#ifdef OUTLIVED
#define ENDS_WITH_PROCESS false
#else
#define ENDS_WITH_PROCESS true
#endif
#ifdef LATE_STOP
#define STOP_COUNTS(w) true
#else
#define STOP_COUNTS(w) (stop_incarnation == known[w])
#endif

inline raise(value, least) { if :: value < (least) -> value = (least) :: else fi }
inline count_down(value) { if :: value > 0 -> value-- :: else fi }

inline clear_call(n) { call[n] = NO_CALL; order_end[n] = 0; order_incarnation[n] = 0; order_proven[n] = false }

inline clear_stop() { stop = NO_CALL; stop_run = 0; stop_incarnation = 0 }

inline clear_report(w) {
  report[w] = NO_CALL; report_incarnation[w] = 0; report_clock[w] = 0; listed[w] = NEVER;
  confirmed_before[w] = false
}

/* EndRun. Answers to the calls for the run change nothing any more. */
inline end_run() {
  task = WAITING; started = false; incarnation_known = false; confirmed = false; stop_confirmed = false;
  unknown = false; start_lease_end = 0; lease[place[PRESENT]] = 0;
  listed[place[PRESENT]] = NEVER; confirmed_before[place[PRESENT]] = false;
  if :: call[PRESENT] > POOLED -> clear_call(PRESENT) :: else fi;
  if :: stop > SENT -> clear_stop() :: else fi;
  /* A run that can neither go on nor begin no longer matters, which keeps the state space small. */
  if
  :: state[PRESENT] != ACTIVE && message[PRESENT] == 0 && call[PRESENT] == NO_CALL ->
     state[PRESENT] = NEVER; place[PRESENT] = 0; clear_stop()
  :: else
  fi
}

inline forget_incarnation(w) { contacted[w] = false; known_clock[w] = 0; lease[w] = 0 }

inline handle_restart(w, incarnation) {
  known[w] = incarnation;
  forget_incarnation(w); proven[w] = false;
  if :: report[w] == ANSWERED && report_incarnation[w] < known[w] -> clear_report(w) :: else fi;
  if
  :: IS_ON(w) && IS_LOST -> end_run()
  :: IS_ON(w) && !IS_LOST ->
     lease[w] = LONGEST; incarnation_known = false; stop_confirmed = false;
     if
     :: MAY_STILL_START && started -> task = STOPPING
     :: MAY_STILL_START && !started -> task = STOPPING; start_lease_end = NO_TIME
     :: else
     fi
  :: else
  fi
}

/* Only the orders of a run that was never confirmed expire. */
inline set_started() { started = true; incarnation_known = true; start_lease_end = 0 }

/* ApplyActiveRuns */
inline apply_report(w) {
  if
  :: listed[w] == ENDED -> end_run()
  :: listed[w] == ACTIVE ->
     set_started();
     if :: task == STARTING -> task = RUNNING; confirmed = true :: else fi
  :: listed[w] == NEVER ->
     if
     :: !started && report_clock[w] > start_lease_end -> end_run()
     :: (task == RUNNING || stop_confirmed) && confirmed_before[w] -> end_run()
     :: else
     fi
  fi
}

/* OnReport */
inline receive_report(w) {
  if
  :: report_incarnation[w] > known[w] -> handle_restart(w, report_incarnation[w])
  :: report_incarnation[w] == known[w] ->
     known_clock[w] = report_clock[w]; contacted[w] = true;
     if :: IS_ON(w) -> apply_report(w) :: else fi
  fi;
  clear_report(w)
}

inline request_report(w) {
  report[w] = SENT; confirmed_before[w] = (IS_ON(w) && confirmed)
}

inline send_report(w) {
  report[w] = ANSWERED; report_incarnation[w] = process[w]; report_clock[w] = clock[w];
  if :: IS_ON(w) && state[PRESENT] != REFUSED -> listed[w] = state[PRESENT] :: else fi
}

/* The order has a new lease end, which extends the lease of the worker. */
inline order_start(n, w) {
  call[n] = POOLED; order_end[n] = known_clock[w] + TTL; order_incarnation[n] = known[w];
  order_proven[n] = proven[w];
  raise(start_lease_end, order_end[n]);
  raise(lease[w], TTL)
}

inline forget_all(w) { clear_report(w); forget_incarnation(w); proven[w] = false; known[w] = 0 }

inline place_task(w) {
  place[runs] = w; task = STARTING;
  order_start(runs, w);
  runs++;
  if
  :: !DECIDES -> clear_stop(); start_lease_end = 0; forget_all(0); forget_all(1)
  :: else
  fi
}

/* OnStarted, for an order that was not sent or was refused. */
inline start_without_effect(n) {
  clear_call(n);
  if
  :: IS_PRESENT(n) && task != RUNNING && unknown -> task = STOPPING
  :: IS_PRESENT(n) && task != RUNNING && !unknown -> end_run()
  :: else
  fi
}

inline start_without_answer(n) { clear_call(n); unknown = true }

inline start_confirmed(n) {
  if
  :: order_incarnation[n] == known[place[n]] ->
     set_started(); confirmed = true; confirmed_before[place[n]] = false;
     if :: task == STARTING -> task = RUNNING :: else fi
  :: else
  fi;
  clear_call(n)
}

inline start_refused(n) {
  if
  :: order_incarnation[n] == known[place[n]] -> start_without_effect(n)
  :: else -> clear_call(n)
  fi
}

inline replace_connection(w, new_state) {
  connection[w] = new_state; proven[w] = false;
  for (n : 0 .. RUNS - 1) { if :: place[n] == w -> order_proven[n] = false :: else fi }
  n = 0
}

/* IsTiedTo, SendTied: on a connection that is proven. */
inline send_start(n, w) {
  if
  :: connection[w] == OPEN -> raise(message[n], order_end[n]); call[n] = SENT
  :: else -> call[n] = LOST; order_incarnation[n] = 0
  fi;
  order_end[n] = 0; order_proven[n] = false;
  if :: !IS_PRESENT(n) -> clear_call(n) :: else fi
}

/* Complete: the answer to the request for a report. Without one nothing is sent. */
inline ask_for_report(n, w) {
  if
  :: connection[w] == OPEN && NAMES_INCARNATION(w, n) ->
     order_proven[n] = true;
     proven[w] = DECIDES && order_incarnation[n] == known[w]
  :: else -> start_without_effect(n)
  fi
}

/* The worker grants what is left of the lease in the order, at most its own maximum. */
inline grant(w, left) {
  if
  :: left < LONGEST -> raise(w_lease[w], left)
  :: else -> raise(w_lease[w], LONGEST)
  fi
}

inline carry_out(n, w) {
  state[n] = ACTIVE;
  grant(w, message[n] - clock[w]);
  message[n] = 0;
  for (k : 0 .. RUNS - 1) { check(k == n || state[k] != ACTIVE, R2_one_place) }
  k = 0;
  if :: call[n] == SENT -> call[n] = ANSWERED :: else fi
}

/* An order that was sent before and got no answer may still be carried out. */
inline refuse(n) { call[n] = TURNED_DOWN; if :: !unknown -> message[n] = 0 :: else fi }

inline restart(w) {
  restarts--; process[w]++; clock[w] = 0; w_lease[w] = 0;
  for (n : 0 .. RUNS - 1) {
    if
    :: place[n] == w ->
       state[n] = NEVER;
       if :: ENDS_WITH_PROCESS -> message[n] = 0 :: else fi;
       if
       :: ENDS_WITH_PROCESS && call[n] == SENT -> call[n] = LOST; order_incarnation[n] = 0
       :: else
       fi
    :: else
    fi
  }
  n = 0;
  if :: ENDS_WITH_PROCESS && connection[w] == OPEN -> connection[w] = DEAD :: else fi
}

/* A heartbeat extends the lease only on the connection of the last report. */
inline extend_lease(w) {
  raise(lease[w], TTL);
  if
  :: (process[w] == known[w] || !ENDS_WITH_PROCESS) && known_clock[w] + TTL > clock[w] ->
     grant(w, known_clock[w] + TTL - clock[w])
  :: true
  fi
}

inline tick() {
  now++;
  for (w : 0 .. 1) {
    clock[w]++;
    for (n : 0 .. RUNS - 1) {
      if :: place[n] == w && w_lease[w] == 1 && state[n] == ACTIVE -> state[n] = ENDED :: else fi;
      if :: place[n] == w && message[n] <= clock[w] -> message[n] = 0 :: else fi
    }
    n = 0;
    if :: contacted[w] -> known_clock[w]++ :: else fi;
    count_down(w_lease[w]); count_down(lease[w])
  }
  w = 0
}

/* A single process executes all steps. The workers are symmetric, so the first start goes to worker 0. */
active proctype System() {
  byte w, n, k;
  atomic {
    for (w : 0 .. 1) {
      clock[w] = FIRST_CLOCK; known_clock[w] = FIRST_CLOCK; contacted[w] = true;
      if :: !MAY_RESTART(w) -> connection[w] = OPEN; proven[w] = true :: else fi
    }
    w = 0
  }
end:
  do
  :: atomic { now < LAST -> tick() }
  /* Workers and connections. */
  :: atomic { select (w : 0 .. 1);
       if
       :: MAY_RESTART(w) && restarts > 0 -> restart(w)
       :: MAY_RESTART(w) && connection[w] == CLOSED -> replace_connection(w, OPEN)
       :: connection[w] == DEAD -> replace_connection(w, CLOSED)
       :: CLOSES && MAY_RESTART(w) && connection[w] == OPEN -> replace_connection(w, CLOSED)
       :: report[w] == SENT -> send_report(w)
       :: else
       fi;
       w = 0 }
  /* Start orders and runs. */
  :: atomic { runs > 0 -> select (n : 0 .. RUNS - 1); w = place[n];
       if
       :: call[n] == POOLED && connection[w] != CLOSED && IS_PROVEN(n) -> send_start(n, w)
       :: call[n] == POOLED && connection[w] != CLOSED && !IS_PROVEN(n) -> ask_for_report(n, w)
       :: call[n] == POOLED -> start_without_effect(n)
       :: call[n] == SENT && state[n] == ACTIVE -> call[n] = ANSWERED
       :: call[n] == SENT && state[n] != ACTIVE -> refuse(n)
       :: call[n] == ANSWERED -> start_confirmed(n)
       :: call[n] == TURNED_DOWN -> start_refused(n)
       :: call[n] > POOLED -> start_without_answer(n)
       :: message[n] > clock[w] && state[n] == NEVER -> carry_out(n, w)
       :: state[n] == ACTIVE -> state[n] = ENDED
       :: else
       fi;
       n = 0; w = 0 }
  /* The owner. */
  :: atomic { DECIDES -> select (w : 0 .. 1);
       if
       :: known[w] < process[w] -> handle_restart(w, known[w] + 1)
       :: MAY_RESTART(w) && report[w] == NO_CALL -> request_report(w)
       :: report[w] == ANSWERED -> receive_report(w)
       :: report[w] == ANSWERED -> clear_report(w)
       :: task == WAITING && contacted[w] && (runs > 0 || w == 0) -> place_task(w)
       :: IS_ON(w) && task == STARTING && call[PRESENT] == NO_CALL && contacted[w] -> order_start(PRESENT, w)
       :: EXTENDS && IS_ON(w) && contacted[w] -> extend_lease(w)
       :: IS_ON(w) && lease[w] == 0 -> end_run(); forget_incarnation(w)
       :: MAY_RESTART(w) && IS_ON(w) && task == STOPPING && !stop_confirmed && stop == NO_CALL && contacted[w] ->
          stop = SENT; stop_run = PRESENT; stop_incarnation = known[w]
#ifdef CLOCK_OF_ANSWERS
       :: answer_clock[w] == 0 && MAY_RESTART(w) -> answer_clock[w] = clock[w] + 1
       :: answer_clock[w] > 0 ->
          if :: contacted[w] -> known_clock[w] = answer_clock[w] - 1 :: else fi;
          answer_clock[w] = 0
#endif
       :: else
       fi;
       w = 0 }
  /* RequestStop */
  :: atomic { DECIDES && (task == RUNNING || (task == STARTING && unknown)) -> task = STOPPING }
  :: atomic { stop == SENT ->
       if
       :: state[stop_run] == NEVER -> state[stop_run] = REFUSED; message[stop_run] = 0
       :: state[stop_run] == ACTIVE -> state[stop_run] = ENDED
       :: else
       fi;
       stop = ANSWERED }
  :: atomic { stop == ANSWERED ->
       if
       :: IS_PRESENT(stop_run) && task == STOPPING && STOP_COUNTS(place[stop_run]) ->
          stop_confirmed = true; confirmed = true; confirmed_before[place[stop_run]] = false
       :: else
       fi;
       clear_stop() }
  :: atomic { stop != NO_CALL -> clear_stop() }
  od
}
