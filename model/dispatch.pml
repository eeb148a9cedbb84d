/*
 * Dispatch of one non-idempotent stage: attempts, cancellation and fetch, tombstones, incarnations,
 * deadlines and retry. Attempt A is sent to sidecar A mod 2. The network delays, loses, duplicates
 * and reorders messages. A sidecar may crash at any time and then loses its records.
 *
 * Checked: the stage runs at most once, a stage that is reported as not run has not run and will
 * not run, and a stage that is reported as completed has run.
 */
#define ATTEMPTS 2
#define SIDECARS 2
#define COPIES 2
#define MAX_INCARNATION 2

mtype = { absent, queued, finished, tombstone };
mtype = { open, completed, not_run, unknown };

byte incarnation[SIDECARS];
/* The incarnation of each sidecar as the entry knows it, which may be out of date. */
byte known_incarnation[SIDECARS];

/* Copies of dispatches and queries (fetch or cancel) that the network has not delivered yet. */
byte target_incarnation[ATTEMPTS];
byte dispatches[ATTEMPTS];
byte queries[ATTEMPTS];
bool sent[ATTEMPTS];
bool queried[ATTEMPTS];

/* The record of each attempt at its sidecar. */
mtype record[ATTEMPTS] = absent;

/* Responses on the network. A response may arrive at any time after it was sent, or never. */
bool response_not_run[ATTEMPTS];
bool response_completed[ATTEMPTS];

/* Whether the deadline has passed at the sidecars, which is never later than at the entry. */
bool expired;
bool entry_expired;

byte attempt;
byte runs;
mtype outcome = open;

#define SIDECAR_OF(a) ((a) % SIDECARS)

#ifdef NO_INCARNATION
#define MATCHES_INCARNATION(a) true
#else
#define MATCHES_INCARNATION(a) (target_incarnation[a] == incarnation[SIDECAR_OF(a)])
#endif

#ifdef NO_DEADLINE_CHECK
#define DEADLINE_PASSED false
#else
#define DEADLINE_PASSED expired
#endif

#if defined(SHORT_TOMBSTONE)
#define MAY_REMOVE(a) (record[a] == tombstone)
#elif defined(REMOVE_AT_DEADLINE)
#define MAY_REMOVE(a) (expired && record[a] != queued)
#elif defined(REMOVE_ON_ACKNOWLEDGE)
#define MAY_REMOVE(a) ((outcome == completed && record[a] == finished) || \
                       (entry_expired && record[a] != queued))
#else
#define MAY_REMOVE(a) (entry_expired && record[a] != queued)
#endif

inline check_invariants() {
    assert(runs <= 1);
    assert(outcome != not_run || runs == 0);
    assert(outcome != completed || runs == 1)
}

inline receive_dispatch(a) {
    dispatches[a]--;
    if
    :: !MATCHES_INCARNATION(a) ->
#ifdef RESTARTED_REPORTS_NOT_RUN
        response_not_run[a] = true
#else
        /* An earlier process may have run the work, so no response is sent. */
        skip
#endif
    :: else ->
        if
        :: record[a] == tombstone -> response_not_run[a] = true
        :: record[a] == finished -> response_completed[a] = true
        :: record[a] == queued -> skip
        :: record[a] == absent && DEADLINE_PASSED -> response_not_run[a] = true
        :: record[a] == absent && !(DEADLINE_PASSED) -> record[a] = queued
        fi
    fi
}

inline receive_query(a) {
    queries[a]--;
    if
    :: target_incarnation[a] != incarnation[SIDECAR_OF(a)] -> skip
    :: else ->
        if
        :: record[a] == absent || record[a] == queued ->
#ifdef NO_TOMBSTONE
            record[a] = absent;
#else
            record[a] = tombstone;
#endif
            response_not_run[a] = true
        :: record[a] == queued -> skip
        :: record[a] == tombstone -> response_not_run[a] = true
        :: record[a] == finished -> response_completed[a] = true
        fi
    fi
}

proctype sidecar(byte a) {
    do
    :: atomic { sent[a] && dispatches[a] > 0 -> receive_dispatch(a) }
    :: atomic { queried[a] && queries[a] > 0 -> receive_query(a) }
    :: atomic { record[a] == queued && !(DEADLINE_PASSED) -> runs++; record[a] = finished;
                response_completed[a] = true; check_invariants() }
    :: atomic { record[a] == queued && DEADLINE_PASSED -> record[a] = tombstone;
                response_not_run[a] = true }
    :: atomic { record[a] != absent && MAY_REMOVE(a) -> record[a] = absent }
    od
}

proctype sidecar_crashes(byte s) {
    do
    :: atomic { incarnation[s] < MAX_INCARNATION -> incarnation[s]++;
                record[s] = absent;
                if
                :: s + SIDECARS < ATTEMPTS -> record[s + SIDECARS] = absent
                :: else -> skip
                fi }
    :: atomic { known_incarnation[s] < incarnation[s] -> known_incarnation[s] = incarnation[s] }
    od
}

proctype clocks() {
    expired = true;
    entry_expired = true
}

inline next_attempt() {
    if
    :: attempt + 1 < ATTEMPTS -> attempt++
    :: else -> outcome = not_run
    fi
}

proctype entry() {
    do
    :: atomic { outcome == open && !sent[attempt] && !entry_expired ->
                target_incarnation[attempt] = known_incarnation[SIDECAR_OF(attempt)];
                dispatches[attempt] = COPIES;
                sent[attempt] = true }
    :: atomic { outcome == open && sent[attempt] && !queried[attempt] ->
                queries[attempt] = COPIES;
                queried[attempt] = true }
    :: atomic { outcome == open && response_completed[attempt] -> outcome = completed;
                check_invariants() }
    :: atomic { outcome == open && response_not_run[attempt] && !entry_expired -> next_attempt();
                check_invariants() }
    /* The link was lost or the sidecar has restarted. */
    :: atomic { outcome == open && sent[attempt] ->
#ifdef RETRY_UNKNOWN
                next_attempt();
#else
                outcome = unknown;
#endif
                check_invariants() }
    :: atomic { outcome == open && entry_expired ->
                if
                :: sent[attempt] -> outcome = unknown
                :: else -> outcome = not_run
                fi;
                check_invariants() }
    :: outcome != open -> break
    od
}

init {
    atomic {
        run sidecar(0); run sidecar(1);
        run sidecar_crashes(0); run sidecar_crashes(1);
        run clocks();
        run entry()
    }
}
