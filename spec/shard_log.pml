/* Shard ownership and journal append (design sections 1 and 6).
 *
 * Code: src/store/shard_log.cc, src/store/shard_head.cc.
 * Bounds: two owners; the first appends two records, the second takes over once and appends one
 * record, the second append of each run may compact; two lost answers; the write behind each lost
 * answer either took effect, never arrives, or leaves a copy that arrives at any later time, any
 * number of times. A paused owner is one that takes no step. Writes are identified by number.
 *
 * verify: shard_log            | shard_log | safety   | -           |
 * verify: shard_log/progress   | shard_log | progress | -           | -DLOST=1
 * verify: shard_log/no-compare | shard_log | safety   | R2_fence    | -DNO_COMPARE
 * verify: shard_log/compare-entry-only | shard_log | safety | R2_fence | -DCOMPARE_ENTRY_ONLY
 * verify: shard_log/no-read-back   | shard_log | safety | R5_not_run | -DNO_READ_BACK
 * verify: shard_log/assume-applied | shard_log | safety | R5_durable | -DASSUME_APPLIED
 * verify: shard_log/blind-retry    | shard_log | safety | R6_once    | -DBLIND_RETRY
 * verify: shard_log/no-second-head-read | shard_log | safety | R5_not_run | -DNO_REREAD
 */
#ifndef LOST
#define LOST 2
#endif
#define WRITES 6
#define MAXPOS 7

/* Properties; each flag is set when its property is violated. */
bool R5_not_run, R6_once, R5_durable, R2_fence;

/* The store. The head's position represents its mod revision: both increase with every write. */
byte head_pos, head_wid, head_epoch, head_snap;
byte entry[MAXPOS];     /* write id by position, 0: absent */

/* Delayed copies, by write id. */
bool copy[WRITES];
byte copy_from[WRITES], copy_epoch[WRITES];
bool copy_compact[WRITES];

byte lost = LOST;
byte applied[WRITES];   /* how often each write took effect */
bool not_run[WRITES];   /* reported as not in the journal, now or at any later time */
byte done;

inline check(COND, violated) { if :: COND :: else -> violated = true; assert(!violated) fi }

inline apply(from, epoch, wid, compact, ok) {
#ifdef NO_COMPARE
  ok = (head_pos < MAXPOS - 1);
#elif defined(COMPARE_ENTRY_ONLY)
  ok = (entry[from + 1] == 0 && from + 1 < MAXPOS);
#else
  ok = (head_pos == from);
#endif
  if
  :: ok ->
    applied[wid]++;
    check(applied[wid] <= 1, R6_once);
    check(epoch >= head_epoch, R2_fence);
    check(!not_run[wid], R5_not_run);
    if
    :: compact ->
      head_snap = from;
      for (k : 1 .. from) { entry[k] = 0 }
    :: else
    fi;
    k = 0;
    head_pos = from + 1; head_epoch = epoch; head_wid = wid;
    entry[head_pos] = wid
  :: else
  fi
}

/* One send: the answer arrives, or is lost with one of three outcomes for the write. */
inline send(from, epoch, wid, compact, ok, answered) {
  atomic {
    answered = true;
    if
    :: apply(from, epoch, wid, compact, ok)
    :: lost > 0 -> lost--; answered = false;
      apply(from, epoch, wid, compact, ok); ok = false
    :: lost > 0 -> lost--; answered = false
    :: lost > 0 -> lost--; answered = false;
      copy[wid] = true; copy_from[wid] = from; copy_epoch[wid] = epoch; copy_compact[wid] = compact
    fi
  }
}

#define APPLIED 1
#define REPLACED 2
#define UNKNOWN 3

/* ShardLog::Write and Resolve. `from` is the head position on which the write is based. */
inline write(from, epoch, wid, compact) {
  result = 0;
  do
  :: result != 0 -> break
  :: else ->
    send(from, epoch, wid, compact, ok, answered);
    if
    :: answered && ok -> result = APPLIED
    :: else ->
#ifdef NO_READ_BACK
      if :: !answered -> result = REPLACED :: answered -> result = REPLACED fi
#elif defined(ASSUME_APPLIED)
      if :: !answered -> result = APPLIED :: answered -> result = REPLACED fi
#elif defined(BLIND_RETRY)
      if
      :: answered -> result = REPLACED
      :: !answered && head_epoch <= epoch -> from = head_pos
      :: !answered && head_epoch > epoch -> result = UNKNOWN
      fi
#else
      atomic { found_pos = head_pos; found_wid = head_wid; found_snap = head_snap };
      if
      :: found_pos == from                       /* not applied yet: resend the same write */
      :: found_wid == wid -> result = APPLIED
      :: found_pos != from && found_wid != wid ->
        found_entry = entry[from + 1];
#ifndef NO_REREAD
        /* The entry may have been compacted between the two reads. */
        found_snap = head_snap;
#endif
        if
        :: found_entry == wid -> result = UNKNOWN
        :: found_entry != wid && found_snap >= from + 1 -> result = UNKNOWN
        :: else -> result = REPLACED
        fi
      fi
#endif
    fi
  od;
  atomic {
    ok = false; answered = false;
    found_pos = 0; found_wid = 0; found_snap = 0; found_entry = 0;
    if
    :: result == APPLIED -> check(applied[wid] == 1, R5_durable)
    :: result == REPLACED -> not_run[wid] = true; check(applied[wid] == 0, R5_not_run)
    :: else
    fi
  }
}

proctype Owner(byte first_wid; byte writes; bool takes_over) {
  byte from, epoch, n, k, result, wid;
  byte found_pos, found_wid, found_snap, found_entry;
  bool ok, answered, compact;
  if
  :: takes_over -> atomic { from = head_pos; epoch = head_epoch + 1 }
  :: else -> epoch = 1
  fi;
  do
  :: n == writes -> break
  :: else ->
    wid = first_wid + n;
    /* A compaction is an append that also deletes older entries. */
    if
    :: n > 0 -> compact = true
    :: compact = false
    fi;
    write(from, epoch, wid, compact);
    if
    :: result == APPLIED -> from = from + 1; n++
    :: else -> break
    fi
  od;
  done++
}

inline deliver(w) {
  apply(copy_from[w], copy_epoch[w], w, copy_compact[w], ok);
  ok = false;
  if :: copy[w] = false :: skip fi
}

active proctype Network() {
  byte k; bool ok;
end:
  do
  :: atomic { copy[1] -> deliver(1) }
  :: atomic { copy[2] -> deliver(2) }
  :: atomic { copy[3] -> deliver(3) }
  :: atomic { copy[4] -> deliver(4) }
  :: atomic { copy[5] -> deliver(5) }
  od
}

init {
  atomic {
    head_epoch = 1;
    run Owner(1, 2, false);
    run Owner(3, 3, true)
  }
}

/* Both owners finish: every lost answer is eventually resolved. */
ltl progress { <> (done == 2) }
