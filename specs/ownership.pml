/*
 * Core protocol: cell ownership, fencing, task start, eviction and resumption.
 *
 * Two planners, two workers, one task. A planner may be paused at any step (every
 * interleaving is explored), may believe that it owns the cell after it has lost it,
 * and may lose the response to a commit that took effect. Requests to a worker may be
 * reordered, delayed or lost; replies may be lost. A worker's lease may expire (a
 * lapse) and a worker may restart. Time is abstract: a worker's lease generation `gen`
 * is incremented by each lapse, and a request renews the lease only if it echoes the
 * current generation.
 *
 * Prefixes: t_ table, w_ worker, p_ planner, l_ planner-local copy of the table.
 *
 * -DWITH_EVICT and -DWITH_WITHDRAW add eviction by checkpoint and cancelled starts;
 * -DMAX_EPOCH, -DMAX_SEQUENCE, -DMAX_LAPSES and -DMAX_RESTARTS bound the search.
 * -DSTART_ASSIGNED starts with the task assigned to a worker that has replied once.
 * Each of these removes one mechanism and must make the check fail: -DNO_EPOCH
 * -DNO_SEQUENCE -DNO_ATTEMPT -DNO_ECHO -DNO_INCARNATION -DNO_READ_BACK
 * -DNO_RENEWAL_LIMIT
 */
#define N_NODES 2
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

/* table: durable state of the cell, written by commits */
byte t_epoch = 1;
byte t_worker = NONE;
byte t_attempt = 0;
byte t_incarnation = 0;
bool t_done = false;

/* workers */
byte w_epoch[N_NODES];
byte w_sequence[N_NODES];
byte w_gen[N_NODES];
byte w_incarnation[N_NODES];
bool w_lease[N_NODES];
byte w_running[N_NODES];
byte w_ended[N_NODES];
bool w_finished[N_NODES];
/* each worker's lease generation when a planner last took over or stepped down:
 * requests sent before then echo this generation or an older one */
byte baseline_gen[N_NODES];
byte baseline_incarnation[N_NODES];
byte n_lapses;
byte n_restarts;

/* planners: epoch 0 means that the planner does not act as owner */
byte p_epoch[N_NODES];

typedef Conn { chan c = [1] of { byte, byte, byte, byte, byte, byte, byte } };
/* kind, planner, epoch, sequence, attempt, gen, incarnation; two connections per
 * worker, so that requests can be reordered */
Conn to_worker[4];

typedef View {
  bool has_reply;
  byte sent;
  byte answered;
  byte running;
  byte ended;
  bool finished;
  byte gen;
  byte incarnation
};
typedef Views { View at[N_NODES] };
Views view[N_NODES];

/* newest reply of each worker to each planner, not yet received */
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
typedef Replies { Reply at[N_NODES] };
Replies reply[N_NODES];

#define at_most_one_running (w_running[0] == 0 || w_running[1] == 0)
#define not_running_after_done (!t_done || (w_running[0] == 0 && w_running[1] == 0))

#ifdef NO_EPOCH
#define has_old_epoch(w, epoch) (false)
#else
#define has_old_epoch(w, epoch) (epoch < w_epoch[w])
#endif
#ifdef NO_SEQUENCE
#define has_old_sequence(w, epoch, sequence) (false)
#else
#define has_old_sequence(w, epoch, sequence) (epoch == w_epoch[w] && \
  sequence <= w_sequence[w])
#endif
#define is_refused(w, epoch, sequence) \
  (has_old_epoch(w, epoch) || has_old_sequence(w, epoch, sequence))
#ifdef NO_INCARNATION
#define is_same_incarnation(w, inc) (true)
#else
#define is_same_incarnation(w, inc) (inc == w_incarnation[w])
#endif
#ifdef NO_ECHO
#define renews_lease(w, gen, inc) (is_same_incarnation(w, inc))
#else
#define renews_lease(w, gen, inc) (is_same_incarnation(w, inc) && gen == w_gen[w])
#endif
#ifdef NO_ATTEMPT
#define may_start(w, attempt, inc) (is_same_incarnation(w, inc))
#else
#define may_start(w, attempt, inc) (is_same_incarnation(w, inc) && w_ended[w] < attempt)
#endif

inline process_request(w, kind, p, epoch, sequence, attempt, gen, inc) {
  if
  :: is_refused(w, epoch, sequence)
  :: else ->
    w_epoch[w] = epoch;
    w_sequence[w] = sequence;
    if
    :: renews_lease(w, gen, inc) -> w_lease[w] = true
    :: else
    fi;
    if
    :: kind == START && w_lease[w] && w_running[w] == 0 && may_start(w, attempt, inc) ->
       w_running[w] = attempt;
       assert(at_most_one_running && not_running_after_done);
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
       process_request(w, kind, p, epoch, sequence, attempt, gen, inc);
       kind = 0; p = 0; epoch = 0; sequence = 0; attempt = 0; gen = 0; inc = 0 }
  :: d_step { to_worker[2 * w + 1].c?kind, p, epoch, sequence, attempt, gen, inc ->
       process_request(w, kind, p, epoch, sequence, attempt, gen, inc);
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

inline snapshot_generations() {
  baseline_gen[0] = w_gen[0]; baseline_gen[1] = w_gen[1];
  baseline_incarnation[0] = w_incarnation[0]; baseline_incarnation[1] = w_incarnation[1]
}

inline reset_views(p) {
  snapshot_generations();
  view[p].at[0].has_reply = false; view[p].at[0].sent = 0; view[p].at[0].answered = 0;
  view[p].at[0].running = 0; view[p].at[0].ended = 0; view[p].at[0].finished = false;
  view[p].at[0].gen = 0; view[p].at[0].incarnation = 0;
  view[p].at[1].has_reply = false; view[p].at[1].sent = 0; view[p].at[1].answered = 0;
  view[p].at[1].running = 0; view[p].at[1].ended = 0; view[p].at[1].finished = false;
  view[p].at[1].gen = 0; view[p].at[1].incarnation = 0
}

/* Proof that the assigned attempt has ended: the worker reports it, or its lease has
 * lapsed. */
#define reports_ended(p, w) (view[p].at[w].has_reply && \
  view[p].at[w].incarnation == l_incarnation && view[p].at[w].ended == l_attempt)
#define reports_restarted(p, w) (view[p].at[w].has_reply && \
  view[p].at[w].incarnation != l_incarnation)
/* The lease granted by this planner has lapsed since the last reply. Of a worker that
 * never replied to this planner: the older owner has stopped renewing and the lease
 * has lapsed since. */
#define grant_expired(p, w) (w_gen[w] != view[p].at[w].gen || \
  w_incarnation[w] != view[p].at[w].incarnation)
#ifdef NO_RENEWAL_LIMIT
#define older_owner_stopped(p) (true)
#else
#define older_owner_stopped(p) (p_epoch[1 - p] == 0)
#endif
#define lapsed_since_baseline(w) (w_gen[w] != baseline_gen[w] || \
  w_incarnation[w] != baseline_incarnation[w])
#define has_lapsed(p, w) ((view[p].at[w].has_reply && grant_expired(p, w)) || \
  (!view[p].at[w].has_reply && older_owner_stopped(p) && lapsed_since_baseline(w)))

/* request kind: start the task assigned to the worker, evict it, or renew the lease */
#define must_start(p, w) (view[p].at[w].has_reply && view[p].at[w].running == 0 && \
  view[p].at[w].ended != l_attempt)
#define next_connection(p, w) (2 * w + (view[p].at[w].sent & 1))
#define can_send(p, w) (p_epoch[p] != 0 && view[p].at[w].sent < MAX_SEQUENCE)

inline send(p, target, conn) {
  conn_index = conn;
  view[p].at[target].sent++;
  if
  :: l_worker == target && !l_withdraw && must_start(p, target) ->
     to_worker[conn_index].c!START, p, p_epoch[p], view[p].at[target].sent, l_attempt,
       view[p].at[target].gen, l_incarnation
  :: may_evict && l_worker == target && view[p].at[target].has_reply &&
     view[p].at[target].running == l_attempt ->
     to_worker[conn_index].c!EVICT, p, p_epoch[p], view[p].at[target].sent, l_attempt,
       view[p].at[target].gen, view[p].at[target].incarnation
  :: else ->
     to_worker[conn_index].c!RENEW, p, p_epoch[p], view[p].at[target].sent, 0,
       view[p].at[target].gen, view[p].at[target].incarnation
  fi;
  conn_index = 0
}

inline record_reply(p, target) {
  if
  :: reply[p].at[target].epoch == p_epoch[p] &&
     reply[p].at[target].sequence == view[p].at[target].sent ->
     view[p].at[target].has_reply = true;
     view[p].at[target].answered = view[p].at[target].sent;
     view[p].at[target].running = reply[p].at[target].running;
     view[p].at[target].ended = reply[p].at[target].ended;
     view[p].at[target].finished = reply[p].at[target].finished;
     view[p].at[target].gen = reply[p].at[target].gen;
     view[p].at[target].incarnation = reply[p].at[target].incarnation
  :: else
  fi;
  reply[p].at[target].pending = false; reply[p].at[target].sequence = 0;
    reply[p].at[target].epoch = 0;
  reply[p].at[target].running = 0; reply[p].at[target].ended = 0;
    reply[p].at[target].finished = false;
  reply[p].at[target].gen = 0; reply[p].at[target].incarnation = 0
}

#define can_assign(p, target) (p_epoch[p] != 0 && !l_done && l_worker == NONE && \
  l_attempt < MAX_ATTEMPT && view[p].at[target].has_reply && \
  view[p].at[target].running == 0)

#ifdef NO_ATTEMPT
#define next_attempt(attempt) (1)
#else
#define next_attempt(attempt) (attempt + 1)
#endif

inline assign(p, target) {
  if
  :: p_epoch[p] == t_epoch ->
     l_attempt = next_attempt(l_attempt);
     l_worker = target; l_incarnation = view[p].at[target].incarnation;
     t_worker = l_worker; t_attempt = l_attempt; t_incarnation = l_incarnation
  :: else -> p_epoch[p] = 0; reset_views(p);
     l_worker = NONE; l_attempt = 0; l_incarnation = 0; l_done = false;
       l_withdraw = false
  fi
}

/* The start was withdrawn in time: the reply to the newest request shows nothing
 * running. */
#define never_started(p, w) (l_withdraw && view[p].at[w].has_reply && \
  view[p].at[w].answered == view[p].at[w].sent && view[p].at[w].running == 0 && \
  view[p].at[w].incarnation == l_incarnation)
#define can_end_attempt(p) (p_epoch[p] != 0 && l_worker != NONE && !l_done && \
  (reports_ended(p, l_worker) || reports_restarted(p, l_worker) || \
  has_lapsed(p, l_worker) || \
   never_started(p, l_worker)))

inline end_attempt(p) {
  l_done = (reports_ended(p, l_worker) && view[p].at[l_worker].finished);
  t_done = (t_done || l_done);
  assert(not_running_after_done);
  t_worker = NONE;
  l_worker = NONE;
  l_withdraw = false
}

inline step_down(p) {
  p_epoch[p] = 0;
  reset_views(p);
  l_worker = NONE; l_attempt = 0; l_incarnation = 0; l_done = false; l_withdraw = false
}

proctype Planner(byte p) {
  byte l_worker = NONE;
  byte l_attempt = 0;
  byte l_incarnation = 0;
  bool l_done = false;
  bool l_withdraw = false;
  byte conn_index;
#ifdef START_ASSIGNED
  if
  :: p == 0 -> l_worker = 0; l_attempt = 1
  :: else
  fi;
#endif
  do
  /* take over the cell: increment the epoch, read the journal */
  :: d_step { p_epoch[p] != t_epoch && t_epoch < MAX_EPOCH ->
       t_epoch++;
       p_epoch[p] = t_epoch;
       l_worker = t_worker; l_attempt = t_attempt;
       l_incarnation = t_incarnation; l_done = t_done;
       reset_views(p) }
  /* detect, at any later time, that another planner owns the cell */
  :: d_step { p_epoch[p] != 0 && p_epoch[p] != t_epoch -> p_epoch[p] = 0;
       reset_views(p);
       l_worker = NONE; l_attempt = 0; l_incarnation = 0; l_done = false;
         l_withdraw = false }
  /* withdraw a cancelled start: it is not sent again */
  :: d_step { may_withdraw && p_epoch[p] != 0 && l_worker != NONE && !l_withdraw ->
       l_withdraw = true }
  /* send a request; the next one uses the other connection and may arrive first */
  :: d_step { can_send(p, 0) && nfull(to_worker[next_connection(p, 0)].c) ->
       send(p, 0, next_connection(p, 0)) }
  :: d_step { can_send(p, 1) && nfull(to_worker[next_connection(p, 1)].c) ->
       send(p, 1, next_connection(p, 1)) }
  /* receive the reply to the newest request; drop older ones */
  :: d_step { reply[p].at[0].pending -> record_reply(p, 0) }
  :: d_step { reply[p].at[1].pending -> record_reply(p, 1) }
  /* commit an assignment, which is durable before the start request is sent */
  :: d_step { can_assign(p, 0) -> assign(p, 0) }
  :: d_step { can_assign(p, 1) -> assign(p, 1) }
#ifdef NO_READ_BACK
  /* the commit took effect, its response is lost, and it is assumed not to have run */
  :: d_step { can_assign(p, 0) && p_epoch[p] == t_epoch ->
       t_worker = 0; t_attempt = l_attempt + 1;
         t_incarnation = view[p].at[0].incarnation;
       l_attempt = l_attempt + 1; l_worker = 1;
       l_incarnation = view[p].at[1].incarnation }
#endif
  /* commit the proven end of the attempt */
  :: d_step { can_end_attempt(p) && p_epoch[p] == t_epoch -> end_attempt(p) }
  :: d_step { can_end_attempt(p) && p_epoch[p] != t_epoch -> step_down(p) }
  od
}

init {
  p_epoch[0] = 1;
#ifdef START_ASSIGNED
  t_worker = 0; t_attempt = 1;
  view[0].at[0].has_reply = true;
#endif
  atomic { run Planner(0); run Planner(1); run Worker(0); run Worker(1) }
}
