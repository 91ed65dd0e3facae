/* One-time dispatch of non-idempotent requests (design section 8).
 *
 * Code: src/routing/token_table.h (RedeemToken, FinishToken, RemoveExpiredTokens), Router::HandleToken,
 * Router::Forward, HttpClient::SendOnce.
 * Bounds: two routers, each restarted at most once (a new incarnation that has lost its memory); one
 * caller with one operation, at most two tokens and three copies (two for progress) of its request in
 * flight, sent to any router; forwarded requests and answers may be lost; tokens may expire at any time.
 * Each copy is a process, so copies may be delayed and reordered arbitrarily.
 *
 * verify: token                   | token | safety   | - |
 * verify: token/progress          | token | progress | - | -DCOPIES=2
 * verify: token/no-incarnation    | token | safety | R6_runs_once | -DNO_INCARNATION
 * verify: token/no-table          | token | safety | R6_runs_once | -DNO_TABLE
 * verify: token/record-dropped-early | token | safety | R6_runs_once | -DNO_EXPIRY
 * verify: token/dispatch-elsewhere | token | safety | R6_runs_once | -DDISPATCH_ELSEWHERE
 * verify: token/retry-after-send  | token | safety | R6_runs_once | -DRETRY_AFTER_SEND
 * verify: token/not-run-when-gone | token | safety | R5_not_run_is_true | -DNOT_RUN_WHEN_GONE
 */
bool R6_runs_once, R5_not_run_is_true;

byte inc[2];
/* Tokens 1 and 2: issuing router and incarnation. */
byte t_router[3], t_inc[3];
byte issued;
bool expired[3];
/* State of each token in its issuing router: 0 unused, 1 in flight, 2 finished. */
byte table[3];
byte runs[3];           /* executions by the target, by token */
bool not_run[3];        /* the caller was told "not run" for this token */
byte restarts = 2;
#ifndef COPIES
#define COPIES 3
#endif
byte copies = COPIES;
byte done;
bool answered_not_run;

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

inline issue(r) { issued++; t_router[issued] = r; t_inc[issued] = inc[r] }

inline dispatch(t) {
  check(!not_run[t], R5_not_run_is_true);
  runs[t]++;
  check(runs[1] + runs[2] <= 1, R6_runs_once)
}

inline answer_not_run(t) {
  not_run[t] = true;
  check(runs[t] == 0, R5_not_run_is_true)
}

/* At the issuing router: RedeemToken, dispatch, answer. The queue and the connections of a process
 * are lost when it dies, so each step requires that the same incarnation still runs. */
#ifdef NO_INCARNATION
#define SAME_PROCESS true
#else
#define SAME_PROCESS (t_inc[t] == inc[r])
#endif
#ifdef NO_EXPIRY
#define USABLE true
#else
#define USABLE (!expired[t])
#endif
#ifdef NO_TABLE
#define UNUSED true
#else
#define UNUSED (table[t] == 0)
#endif

inline use(r, t) {
  atomic {
    if
    :: SAME_PROCESS && USABLE && UNUSED -> table[t] = 1; mine = true; my_inc = inc[r]
    :: else -> outcome = 3    /* unknown, or the answer of the first request */
    fi
  };
  if
  :: mine ->
    if
    :: atomic { my_inc == inc[r] -> dispatch(t); outcome = 1 }
#ifdef RETRY_AFTER_SEND
    :: atomic { my_inc == inc[r] -> dispatch(t) };
      atomic { if :: my_inc == inc[r] -> dispatch(t) :: else fi; outcome = 1 }
#endif
    :: atomic { my_inc == inc[r] -> outcome = 2 }    /* rejected while queued: not run */
    :: atomic { my_inc != inc[r] -> outcome = 3 }
    fi;
    atomic { if :: my_inc == inc[r] && table[t] == 1 -> table[t] = 2 :: else fi }
  :: else
  fi;
  mine = false
}

proctype Copy(byte t) {
  byte r, outcome, my_inc; bool mine;
  if :: r = 0 :: r = 1 fi;
  if
  :: r == t_router[t] -> use(r, t)
  :: else ->
    /* Forward; the request or its answer may be lost. */
    if
    :: true -> use(t_router[t], t); if :: skip :: outcome = 3 fi
    :: true -> outcome = 3
#ifdef DISPATCH_ELSEWHERE
    :: atomic { dispatch(t); outcome = 1 }
#endif
#ifdef NOT_RUN_WHEN_GONE
    :: outcome = 2
#endif
    fi
  fi;
  atomic {
    if
    :: outcome == 2 -> answer_not_run(t); answered_not_run = true
    :: else
    fi;
    done++
  }
}

active proctype Caller() {
  byte sent, t;
  atomic { if :: issue(0) :: issue(1) fi; t = 1 };
  do
  :: copies > 0 -> atomic { copies--; sent++; run Copy(t) }
  :: atomic { t == 1 && answered_not_run -> if :: issue(0) :: issue(1) fi; t = 2 }
  :: sent > 0 -> break
  od;
  do
  :: copies > 0 -> copies--; done++    /* copies that are never sent */
  :: copies == 0 -> break
  od
}

active proctype Faults() {
end:
  do
  :: atomic { restarts > 0 && issued > 0 ->
      restarts--;
      if
      :: inc[0] == 0 -> inc[0] = 1;
        if :: t_router[1] == 0 -> table[1] = 0 :: else fi;
        if :: issued == 2 && t_router[2] == 0 -> table[2] = 0 :: else fi
      :: inc[1] == 0 -> inc[1] = 1;
        if :: t_router[1] == 1 -> table[1] = 0 :: else fi;
        if :: issued == 2 && t_router[2] == 1 -> table[2] = 0 :: else fi
      fi }
  :: atomic { issued > 0 && !expired[1] -> expired[1] = true;
      if :: table[1] == 2 -> table[1] = 0 :: else fi }    /* RemoveExpiredTokens */
  :: atomic { issued > 1 && !expired[2] -> expired[2] = true;
      if :: table[2] == 2 -> table[2] = 0 :: else fi }
  od
}

/* Every copy is eventually answered. */
ltl progress { <> (done == COPIES) }
