/*
 * Core protocol: cell ownership, fencing, start, evict, resume.
 *
 * Two planners, two workers, one task. A planner may be paused at any step (every
 * interleaving is explored), may believe it owns the cell after it has lost it, and
 * may lose the answer of a commit that took effect. Requests to a worker may overtake
 * each other, be delivered late or never; replies may be lost. Workers lapse and
 * restart. Time is abstract: a worker's lease generation `gen` rises with each lapse,
 * and a renewal counts only if it echoes the present generation.
 *
 * -DWITH_EVICT and -DWITH_WITHDRAW add eviction by checkpoint and cancelled starts;
 * -DMAX_EPOCH, -DMAX_SEQUENCE, -DMAX_LAPSES and -DMAX_RESTARTS bound the search.
 * -DSTART_ASSIGNED begins with the task assigned to a worker that has been heard.
 * Leave one mechanism out to see the check fail: -DNO_EPOCH -DNO_SEQUENCE
 * -DNO_ATTEMPT -DNO_ECHO -DNO_INCARNATION -DNO_READ_BACK -DNO_RENEWAL_LIMIT
 */
#define N 2
#define NONE 2
#define MAX_ATTEMPT 2
#ifndef MAX_EPOCH
#define MAX_EPOCH 2
#endif
#ifndef MAX_SEQUENCE
#define MAX_SEQUENCE 2
#endif
#ifndef MAX_LAPSES
#define MAX_LAPSES 1
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 1
#endif

#define RENEW 0
#define START 1
#define EVICT 2

#ifdef WITH_EVICT
#define may_evict (true)
#else
#define may_evict (false)
#endif
#ifdef WITH_WITHDRAW
#define may_withdraw (true)
#else
#define may_withdraw (false)
#endif

/* table */
byte t_epoch = 1;
byte t_worker = NONE;
byte t_attempt = 0;
byte t_incarnation = 0;
bool t_done = false;

/* workers */
byte w_epoch[N];
byte w_sequence[N];
byte w_gen[N];
byte w_incarnation[N];
bool w_lease[N];
byte w_running[N];
byte w_ended[N];
bool w_finished[N];
/* generation of each worker when an owner last took over or stood down: requests sent
 * before that echo it or an older one */
byte quiet_gen[N];
byte quiet_incarnation[N];
byte n_lapses;
byte n_restarts;

/* planners: epoch 0 means that it does not act as owner */
byte p_epoch[N];

typedef Conn { chan c = [1] of { byte, byte, byte, byte, byte, byte, byte } };
/* kind, planner, epoch, sequence, attempt, gen, incarnation; two connections each */
Conn to_worker[4];

typedef View {
  bool heard;
  byte sent;
  byte answered;
  byte running;
  byte ended;
  bool finished;
  byte gen;
  byte incarnation
};
typedef Views { View at[N] };
Views view[N];

/* the newest reply to each planner from each worker */
typedef Reply {
  bool pending;
  byte sequence;
  byte epoch;
  byte running;
  byte ended;
  bool finished;
  byte gen;
  byte incarnation
};
typedef Replies { Reply at[N] };
Replies reply[N];

#define one_place (w_running[0] == 0 || w_running[1] == 0)
#define not_after_done (!t_done || (w_running[0] == 0 && w_running[1] == 0))

#ifdef NO_EPOCH
#define has_old_epoch(w, epoch) (false)
#else
#define has_old_epoch(w, epoch) (epoch < w_epoch[w])
#endif
#ifdef NO_SEQUENCE
#define has_old_sequence(w, epoch, sequence) (false)
#else
#define has_old_sequence(w, epoch, sequence) (epoch == w_epoch[w] && sequence <= w_sequence[w])
#endif
#define is_refused(w, epoch, sequence) \
  (has_old_epoch(w, epoch) || has_old_sequence(w, epoch, sequence))
#ifdef NO_INCARNATION
#define is_same(w, inc) (true)
#else
#define is_same(w, inc) (inc == w_incarnation[w])
#endif
#ifdef NO_ECHO
#define extends_lease(w, gen, inc) (is_same(w, inc))
#else
#define extends_lease(w, gen, inc) (is_same(w, inc) && gen == w_gen[w])
#endif
#ifdef NO_ATTEMPT
#define may_start(w, attempt, inc) (is_same(w, inc))
#else
#define may_start(w, attempt, inc) (is_same(w, inc) && w_ended[w] < attempt)
#endif

inline take_effect(w, kind, p, epoch, sequence, attempt, gen, inc) {
  if
  :: is_refused(w, epoch, sequence)
  :: else ->
    w_epoch[w] = epoch;
    w_sequence[w] = sequence;
    if
    :: extends_lease(w, gen, inc) -> w_lease[w] = true
    :: else
    fi;
    if
    :: kind == START && w_lease[w] && w_running[w] == 0 && may_start(w, attempt, inc) ->
       w_running[w] = attempt;
       assert(one_place && not_after_done);
    :: kind == EVICT && w_running[w] == attempt ->
       w_running[w] = 0; w_ended[w] = attempt; w_finished[w] = false
    :: else
    fi;
    reply[p].at[w].pending = true;
    reply[p].at[w].sequence = sequence;
    reply[p].at[w].epoch = epoch;
    reply[p].at[w].running = w_running[w];
    reply[p].at[w].ended = w_ended[w];
    reply[p].at[w].finished = w_finished[w];
    reply[p].at[w].gen = w_gen[w];
    reply[p].at[w].incarnation = w_incarnation[w]
  fi
}

proctype Worker(byte w) {
  byte kind, p, epoch, sequence, attempt, gen, inc;
  do
  :: d_step { to_worker[2 * w].c?kind, p, epoch, sequence, attempt, gen, inc ->
       take_effect(w, kind, p, epoch, sequence, attempt, gen, inc);
       kind = 0; p = 0; epoch = 0; sequence = 0; attempt = 0; gen = 0; inc = 0 }
  :: d_step { to_worker[2 * w + 1].c?kind, p, epoch, sequence, attempt, gen, inc ->
       take_effect(w, kind, p, epoch, sequence, attempt, gen, inc);
       kind = 0; p = 0; epoch = 0; sequence = 0; attempt = 0; gen = 0; inc = 0 }
  :: d_step { w_running[w] != 0 -> w_ended[w] = w_running[w];
       w_finished[w] = true; w_running[w] = 0 }
  :: d_step { n_lapses < MAX_LAPSES -> n_lapses++;
       w_lease[w] = false; w_gen[w]++;
       if
       :: w_running[w] != 0 -> w_ended[w] = w_running[w]; w_finished[w] = false
       :: else
       fi;
       w_running[w] = 0 }
  :: d_step { n_restarts < MAX_RESTARTS -> n_restarts++; w_incarnation[w]++;
       w_lease[w] = false; w_running[w] = 0; w_ended[w] = 0; w_finished[w] = false;
       w_epoch[w] = 0; w_sequence[w] = 0; w_gen[w] = 0 }
  od
}

inline mark_quiet() {
  quiet_gen[0] = w_gen[0]; quiet_gen[1] = w_gen[1];
  quiet_incarnation[0] = w_incarnation[0]; quiet_incarnation[1] = w_incarnation[1]
}

inline forget_views(p) {
  mark_quiet();
  view[p].at[0].heard = false; view[p].at[0].sent = 0; view[p].at[0].answered = 0;
  view[p].at[0].running = 0; view[p].at[0].ended = 0; view[p].at[0].finished = false;
  view[p].at[0].gen = 0; view[p].at[0].incarnation = 0;
  view[p].at[1].heard = false; view[p].at[1].sent = 0; view[p].at[1].answered = 0;
  view[p].at[1].running = 0; view[p].at[1].ended = 0; view[p].at[1].finished = false;
  view[p].at[1].gen = 0; view[p].at[1].incarnation = 0
}

/* The end of the assigned attempt is proven by the worker's word or its lapse. */
#define says_ended(p, w) (view[p].at[w].heard && view[p].at[w].incarnation == l_incarnation && view[p].at[w].ended == l_attempt)
#define says_restarted(p, w) (view[p].at[w].heard && view[p].at[w].incarnation != l_incarnation)
/* A lease granted on our last reply has run out; or, of a worker that never answered
 * us, every older owner has stopped renewing and the lease has run out since. */
#define grant_is_over(p, w) (w_gen[w] != view[p].at[w].gen || \
  w_incarnation[w] != view[p].at[w].incarnation)
#ifdef NO_RENEWAL_LIMIT
#define others_stopped(p) (true)
#else
#define others_stopped(p) (p_epoch[1 - p] == 0)
#endif
#define lapsed_since_quiet(w) (w_gen[w] != quiet_gen[w] || \
  w_incarnation[w] != quiet_incarnation[w])
#define has_lapsed(p, w) ((view[p].at[w].heard && grant_is_over(p, w)) || \
  (!view[p].at[w].heard && others_stopped(p) && lapsed_since_quiet(w)))

/* kind: start what is assigned here, or evict it, or only renew */
#define starts_here(p, w) (view[p].at[w].heard && view[p].at[w].running == 0 && \
  view[p].at[w].ended != l_attempt)
#define connection(p, w) (2 * w + (view[p].at[w].sent & 1))
#define may_send(p, w) (p_epoch[p] != 0 && view[p].at[w].sent < MAX_SEQUENCE)

inline send(p, ww, conn) {
  at_conn = conn;
  view[p].at[ww].sent++;
  if
  :: l_worker == ww && !l_withdraw && starts_here(p, ww) ->
     to_worker[at_conn].c!START, p, p_epoch[p], view[p].at[ww].sent, l_attempt, view[p].at[ww].gen, l_incarnation
  :: may_evict && l_worker == ww && view[p].at[ww].heard && view[p].at[ww].running == l_attempt ->
     to_worker[at_conn].c!EVICT, p, p_epoch[p], view[p].at[ww].sent, l_attempt, view[p].at[ww].gen, view[p].at[ww].incarnation
  :: else ->
     to_worker[at_conn].c!RENEW, p, p_epoch[p], view[p].at[ww].sent, 0, view[p].at[ww].gen, view[p].at[ww].incarnation
  fi;
  at_conn = 0
}

inline note(p, ww) {
  if
  :: reply[p].at[ww].epoch == p_epoch[p] && reply[p].at[ww].sequence == view[p].at[ww].sent ->
     view[p].at[ww].heard = true;
     view[p].at[ww].answered = view[p].at[ww].sent;
     view[p].at[ww].running = reply[p].at[ww].running;
     view[p].at[ww].ended = reply[p].at[ww].ended;
     view[p].at[ww].finished = reply[p].at[ww].finished;
     view[p].at[ww].gen = reply[p].at[ww].gen;
     view[p].at[ww].incarnation = reply[p].at[ww].incarnation
  :: else
  fi;
  reply[p].at[ww].pending = false; reply[p].at[ww].sequence = 0; reply[p].at[ww].epoch = 0;
  reply[p].at[ww].running = 0; reply[p].at[ww].ended = 0; reply[p].at[ww].finished = false;
  reply[p].at[ww].gen = 0; reply[p].at[ww].incarnation = 0
}

#define can_assign(p, ww) (p_epoch[p] != 0 && !l_done && l_worker == NONE && l_attempt < MAX_ATTEMPT && view[p].at[ww].heard && view[p].at[ww].running == 0)

#ifdef NO_ATTEMPT
#define next_attempt(attempt) (1)
#else
#define next_attempt(attempt) (attempt + 1)
#endif

inline assign(p, ww) {
  if
  :: p_epoch[p] == t_epoch ->
     l_attempt = next_attempt(l_attempt);
     l_worker = ww; l_incarnation = view[p].at[ww].incarnation;
     t_worker = l_worker; t_attempt = l_attempt; t_incarnation = l_incarnation
  :: else -> p_epoch[p] = 0; forget_views(p);
     l_worker = NONE; l_attempt = 0; l_incarnation = 0; l_done = false; l_withdraw = false
  fi
}

/* Withdrawn before it started: the reply to our newest request does not show it. */
#define never_started(p, w) (l_withdraw && view[p].at[w].heard && \
  view[p].at[w].answered == view[p].at[w].sent && view[p].at[w].running == 0 && \
  view[p].at[w].incarnation == l_incarnation)
#define can_end(p) (p_epoch[p] != 0 && l_worker != NONE && !l_done && \
  (says_ended(p, l_worker) || says_restarted(p, l_worker) || has_lapsed(p, l_worker) || \
   never_started(p, l_worker)))

inline end_attempt(p) {
  l_done = (says_ended(p, l_worker) && view[p].at[l_worker].finished);
  t_done = (t_done || l_done);
  assert(not_after_done);
  t_worker = NONE;
  l_worker = NONE;
  l_withdraw = false
}

inline stand_down(p) {
  p_epoch[p] = 0;
  forget_views(p);
  l_worker = NONE; l_attempt = 0; l_incarnation = 0; l_done = false; l_withdraw = false
}

proctype Planner(byte p) {
  byte l_worker = NONE;
  byte l_attempt = 0;
  byte l_incarnation = 0;
  bool l_done = false;
  bool l_withdraw = false;
  byte at_conn;
#ifdef START_ASSIGNED
  if
  :: p == 0 -> l_worker = 0; l_attempt = 1
  :: else
  fi;
#endif
  do
  /* take the cell over: the epoch rises, the journal is read */
  :: d_step { p_epoch[p] != t_epoch && t_epoch < MAX_EPOCH ->
       t_epoch++;
       p_epoch[p] = t_epoch;
       l_worker = t_worker; l_attempt = t_attempt;
       l_incarnation = t_incarnation; l_done = t_done;
       forget_views(p) }
  /* notice that another owns the cell, sooner or later */
  :: d_step { p_epoch[p] != 0 && p_epoch[p] != t_epoch -> p_epoch[p] = 0; forget_views(p);
       l_worker = NONE; l_attempt = 0; l_incarnation = 0; l_done = false; l_withdraw = false }
  /* a cancelled start is not sent again */
  :: d_step { may_withdraw && p_epoch[p] != 0 && l_worker != NONE && !l_withdraw -> l_withdraw = true }
  /* send an exchange; the next one goes over the other connection and may overtake */
  :: d_step { may_send(p, 0) && nfull(to_worker[connection(p, 0)].c) -> send(p, 0, connection(p, 0)) }
  :: d_step { may_send(p, 1) && nfull(to_worker[connection(p, 1)].c) -> send(p, 1, connection(p, 1)) }
  /* note a reply to the newest request; older ones are dropped */
  :: d_step { reply[p].at[0].pending -> note(p, 0) }
  :: d_step { reply[p].at[1].pending -> note(p, 1) }
  /* commit an assignment: durable before the start is sent */
  :: d_step { can_assign(p, 0) -> assign(p, 0) }
  :: d_step { can_assign(p, 1) -> assign(p, 1) }
#ifdef NO_READ_BACK
  /* the commit took effect, its answer is lost, and it is taken as not run */
  :: d_step { can_assign(p, 0) && p_epoch[p] == t_epoch ->
       t_worker = 0; t_attempt = l_attempt + 1; t_incarnation = view[p].at[0].incarnation;
       l_attempt = l_attempt + 1; l_worker = 1;
       l_incarnation = view[p].at[1].incarnation }
#endif
  /* commit an end, proven */
  :: d_step { can_end(p) && p_epoch[p] == t_epoch -> end_attempt(p) }
  :: d_step { can_end(p) && p_epoch[p] != t_epoch -> stand_down(p) }
  od
}

init {
  p_epoch[0] = 1;
#ifdef START_ASSIGNED
  t_worker = 0; t_attempt = 1;
  view[0].at[0].heard = true;
#endif
  atomic { run Planner(0); run Planner(1); run Worker(0); run Worker(1) }
}
