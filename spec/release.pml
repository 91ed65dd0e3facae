/* Release versions (design section 9).
 *
 * Code: apps/admin/release_store.cc (ReadIfNewer, Accept, Commit, ResolveOutcome), Admin::Adopt,
 * Router::UpdateRelease.
 * Bounds: two operators with one note each, two admins and one router; two lost answers, where the
 * transaction of each is applied, dropped, or delayed and repeated; a process may receive an
 * arbitrarily old release (any version that was ever in force).
 *
 * verify: release              | release | safety   | - |
 * verify: release/progress     | release | progress | - |
 * verify: release/no-compare   | release | safety | R9_one_note_a_version | -DNO_COMPARE
 * verify: release/no-read-back | release | safety | R5_not_accepted | -DNO_READ_BACK
 * verify: release/blind-retry  | release | safety | R6_accepted_once | -DBLIND_RETRY
 * verify: release/no-version-compare | release | safety | R9_never_reverts | -DNO_VERSION_COMPARE
 */
#define NOTES 3
#define MAXV 5
#ifndef LOST
#define LOST 2
#endif

bool R9_one_note_a_version, R9_never_reverts, R5_not_accepted, R9_durable, R6_accepted_once;

byte head;              /* version in force; represents the mod revision of release/head */
byte log[MAXV];         /* note by version */
bool copy[NOTES];
byte copy_base[NOTES];
byte lost = LOST;
byte accepted[NOTES];
bool refused[NOTES];
byte held[3];           /* version held by each process */
byte done;

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

inline apply(base, note, ok) {
#ifdef NO_COMPARE
  ok = true;
#else
  ok = (head == base);
#endif
  if
  :: ok ->
    check(log[base + 1] == 0, R9_one_note_a_version);
    log[base + 1] = note;
    head = base + 1;
    accepted[note]++;
    check(accepted[note] <= 1, R6_accepted_once);
    check(!refused[note], R5_not_accepted)
  :: else
  fi
}

proctype Operator(byte note) {
  byte base, n; bool ok, answered; byte result;
  base = head;
  do
  :: result != 0 || n == 3 -> break
  :: else ->
    n++;
    atomic {
      answered = true;
      if
      :: apply(base, note, ok)
      :: lost > 0 -> lost--; answered = false; apply(base, note, ok); ok = false
      :: lost > 0 -> lost--; answered = false; ok = false
      :: lost > 0 -> lost--; answered = false; ok = false; copy[note] = true; copy_base[note] = base
      fi
    };
    if
    :: ok -> result = 1
    :: else ->
#ifdef NO_READ_BACK
      result = 2
#elif defined(BLIND_RETRY)
      if :: !answered -> base = head :: answered -> result = 2 fi
#else
      if
      :: log[base + 1] == note -> result = 1
      :: log[base + 1] != note && log[base + 1] != 0 -> result = 2
      :: log[base + 1] == 0      /* resend the same transaction */
      fi
#endif
    fi
  od;
  atomic {
    if
    :: result == 1 -> check(accepted[note] == 1, R9_durable)
    :: result == 2 -> refused[note] = true; check(accepted[note] == 0, R5_not_accepted)
    :: else    /* reported as unknown */
    fi;
    done++
  }
}

active proctype Network() {
  byte w; bool ok;
end:
  do
  :: atomic { copy[1] -> apply(copy_base[1], 1, ok); ok = false; if :: copy[1] = false :: skip fi }
  :: atomic { copy[2] -> apply(copy_base[2], 2, ok); ok = false; if :: copy[2] = false :: skip fi }
  od
}

/* Messages may be delayed and reordered, so a process may receive any version that was ever in force. */
proctype Holder(byte me) {
  byte v;
end:
  do
  :: held[me] < head ->
    atomic {
      v = 0;
      do :: v < head -> v++ :: break od;
      if
#ifdef NO_VERSION_COMPARE
      :: true ->
#else
      :: v > held[me] ->
#endif
        check(v >= held[me], R9_never_reverts); held[me] = v
      :: else
      fi; v = 0
    }
  od
}

init { atomic { run Operator(1); run Operator(2); run Holder(0); run Holder(1); run Holder(2) } }

ltl progress { <> (done == 2) }
