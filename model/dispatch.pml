/*
 * Dispatch of one non-idempotent stage: attempts, cancellation and fetch, tombstones, incarnations,
 * deadlines and retry. Attempt A goes to sidecar A mod 2. The network delays, loses, repeats and
 * reorders messages. A sidecar may crash at any time and loses its records with the process.
 *
 * Checked: the stage runs at most once, nothing reported as not run has run or will run, and what
 * is reported as complete has run.
 */
#define ATTEMPTS 2
#define SIDECARS 2
#define COPIES 2
#define MAX_INCARNATION 2

mtype = { absent, queued, finished, buried };
mtype = { open, completed, not_run, unknown };

byte incarnation[SIDECARS];
/* The incarnation that the entry knows, which may be out of date. */
byte known[SIDECARS];

/* Dispatches and questions (fetch or cancel) on the network: what remains to be delivered. */
byte addressed[ATTEMPTS];
byte dispatches[ATTEMPTS];
byte questions[ATTEMPTS];
bool sent[ATTEMPTS];
bool asked[ATTEMPTS];

/* The sidecars' records. */
mtype record[ATTEMPTS] = absent;

/* Answers on the network. One that has been sent may arrive at any later time, or never. */
bool answer_not_run[ATTEMPTS];
bool answer_completed[ATTEMPTS];

/* The deadline in the sidecars' clocks, which is never later than the entry's. */
bool expired;
bool entry_expired;

byte attempt;
byte runs;
mtype outcome = open;

#define HOLDER(a) ((a) % SIDECARS)

#ifdef NO_INCARNATION
#define IS_FOR_THIS_PROCESS(a) true
#else
#define IS_FOR_THIS_PROCESS(a) (addressed[a] == incarnation[HOLDER(a)])
#endif

#ifdef NO_DEADLINE_CHECK
#define IS_LATE false
#else
#define IS_LATE expired
#endif

#if defined(SHORT_TOMBSTONE)
#define MAY_FORGET(a) (record[a] == buried)
#elif defined(FORGET_AT_DEADLINE)
#define MAY_FORGET(a) (expired && record[a] != queued)
#elif defined(FORGET_ON_ACKNOWLEDGE)
#define MAY_FORGET(a) ((outcome == completed && record[a] == finished) || (entry_expired && record[a] != queued))
#else
#define MAY_FORGET(a) (entry_expired && record[a] != queued)
#endif

inline check() {
    assert(runs <= 1);
    assert(outcome != not_run || runs == 0);
    assert(outcome != completed || runs == 1)
}

inline receive_dispatch(a) {
    dispatches[a]--;
    if
    :: !IS_FOR_THIS_PROCESS(a) ->
#ifdef RESTARTED_SAYS_NOT_RUN
        answer_not_run[a] = true
#else
        /* An earlier process may have run it, so the entry learns nothing. */
        skip
#endif
    :: else ->
        if
        :: record[a] == buried -> answer_not_run[a] = true
        :: record[a] == finished -> answer_completed[a] = true
        :: record[a] == queued -> skip
        :: record[a] == absent && IS_LATE -> answer_not_run[a] = true
        :: record[a] == absent && !(IS_LATE) -> record[a] = queued
        fi
    fi
}

inline receive_question(a) {
    questions[a]--;
    if
    :: addressed[a] != incarnation[HOLDER(a)] -> skip
    :: else ->
        if
        :: record[a] == absent || record[a] == queued ->
#ifdef NO_TOMBSTONE
            record[a] = absent;
#else
            record[a] = buried;
#endif
            answer_not_run[a] = true
        :: record[a] == queued -> skip
        :: record[a] == buried -> answer_not_run[a] = true
        :: record[a] == finished -> answer_completed[a] = true
        fi
    fi
}

proctype sidecar(byte a) {
    do
    :: atomic { sent[a] && dispatches[a] > 0 -> receive_dispatch(a) }
    :: atomic { asked[a] && questions[a] > 0 -> receive_question(a) }
    :: atomic { record[a] == queued && !(IS_LATE) -> runs++; record[a] = finished;
                answer_completed[a] = true; check() }
    :: atomic { record[a] == queued && IS_LATE -> record[a] = buried; answer_not_run[a] = true }
    :: atomic { record[a] != absent && MAY_FORGET(a) -> record[a] = absent }
    od
}

proctype crashes(byte s) {
    do
    :: atomic { incarnation[s] < MAX_INCARNATION -> incarnation[s]++;
                record[s] = absent;
                if
                :: s + SIDECARS < ATTEMPTS -> record[s + SIDECARS] = absent
                :: else -> skip
                fi }
    :: atomic { known[s] < incarnation[s] -> known[s] = incarnation[s] }
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
                addressed[attempt] = known[HOLDER(attempt)];
                dispatches[attempt] = COPIES;
                sent[attempt] = true }
    :: atomic { outcome == open && sent[attempt] && !asked[attempt] ->
                questions[attempt] = COPIES;
                asked[attempt] = true }
    :: atomic { outcome == open && answer_completed[attempt] -> outcome = completed; check() }
    :: atomic { outcome == open && answer_not_run[attempt] && !entry_expired -> next_attempt();
                check() }
    /* The link is lost or its sidecar has restarted. */
    :: atomic { outcome == open && sent[attempt] ->
#ifdef RETRY_UNKNOWN
                next_attempt();
#else
                outcome = unknown;
#endif
                check() }
    :: atomic { outcome == open && entry_expired ->
                if
                :: sent[attempt] -> outcome = unknown
                :: else -> outcome = not_run
                fi;
                check() }
    :: outcome != open -> break
    od
}

init {
    atomic {
        run sidecar(0); run sidecar(1);
        run crashes(0); run crashes(1);
        run clocks();
        run entry()
    }
}
