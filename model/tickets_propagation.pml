/*
 * Propagation of the configuration between the store, two entries and a sidecar.
 *
 * Tickets are accepted (tickets.pml shows that this only raises the revision of the head row). The
 * entries read the store; the sidecar fetches documents from the entries, and they from it. Each
 * direction of a link is a separate process, so that a document can be delayed and overtaken by a
 * newer one. A paused process is modeled by delayed steps. The numbers of outages, stale reads and
 * restarts are bounded, and the store is available at the end; then messages are delivered until no
 * step is possible.
 *
 * Properties:
 *   monotonic     no process applies a lower revision in one incarnation (assertion in apply);
 *   consistent    the objects that are stored under a revision are those of that revision
 *                 (assertion in apply);
 *   fresh start   a started entry serves no revision lower than one that was named to it before it
 *                 began to serve (assertion in apply);
 *   convergence   when no step is possible any more, every process has the revision of the head
 *                 row (assertion in the monitor). The events are bounded and every other step needs
 *                 a newer revision to fetch, so each run ends there.
 *
 * Variants that must violate an assertion, selected with -D: NO_MAX applies every document that
 * arrives, STALE_READ applies objects without comparing their digest with the head row, NO_WAIT
 * serves the first revision that arrives, NO_PROPAGATION keeps the sidecar from fetching documents.
 *
 * Not modeled: documents that are corrupted on the network, and the startup wait.
 */

#define CHANGES 2
#define MEMBERS 3
#define SIDECAR 2

/* The head row, and the row before the last write, which a stale read returns. */
byte head = 0;
byte previous_head = 0;
bool store_up = true;
byte stale_reads = 1;

/* For each member: the revision it has, the revision of its objects, the highest revision named to
 * it, the revision it serves and the incarnation of the process. */
byte revision[MEMBERS] = 0;
byte content[MEMBERS] = 0;
byte known_revision[MEMBERS] = 0;
byte served[MEMBERS] = 0;
byte incarnation[MEMBERS] = 0;

#define MAX(a, b) ((a) > (b) -> (a) : (b))

proctype acceptances() {
    byte n;
    do
    :: n < CHANGES -> atomic { store_up -> previous_head = head; head++; n++ }
    :: n == CHANGES -> break
    od
}

/* Applies a received document, if the process has not restarted since it requested it. */
inline apply(p, new_revision, new_content, expected_incarnation) {
    atomic {
        if
#ifdef NO_MAX
        :: incarnation[p] == expected_incarnation ->
#else
        :: incarnation[p] == expected_incarnation && new_revision > revision[p] ->
#endif
            assert(new_revision >= revision[p]);
            revision[p] = new_revision;
            content[p] = new_content;
            assert(content[p] == revision[p]);
            known_revision[p] = MAX(known_revision[p], revision[p]);
            if
#ifdef NO_WAIT
            :: true ->
#else
            :: served[p] > 0 || revision[p] >= known_revision[p] ->
#endif
                assert(served[p] > 0 || revision[p] >= known_revision[p]);
                served[p] = revision[p]
            :: served[p] == 0 && revision[p] < known_revision[p]
            fi
        :: else
        fi
    }
}

/* An entry reads the head row and then the objects; a ticket may be accepted in between. */
proctype poller(byte p) {
    byte seen, objects, request_incarnation;
end:
    do
    :: atomic {
            store_up && head > revision[p] ->
            request_incarnation = incarnation[p];
            if
            :: seen = head
            :: stale_reads > 0 -> stale_reads--; seen = previous_head
            fi;
            known_revision[p] = MAX(known_revision[p], seen)
        };
        atomic {
            if
            :: store_up -> objects = head
            :: store_up && stale_reads > 0 -> stale_reads--; objects = previous_head
            :: !store_up -> objects = 0; seen = 0
            fi;
#ifndef STALE_READ
            if
            :: seen != objects -> seen = 0; objects = 0
            :: else
            fi
#endif
        };
        apply(p, seen, objects, request_incarnation);
        atomic { seen = 0; objects = 0; request_incarnation = 0 }
    od
}

/* A heartbeat names the peer's revision. The side with the lower revision fetches the document,
 * which may be delayed. */
proctype peer_fetcher(byte p; byte peer) {
    byte fetched, request_incarnation;
end:
    do
    :: atomic {
            revision[peer] > revision[p] ->
            request_incarnation = incarnation[p];
            fetched = revision[peer];
            known_revision[p] = MAX(known_revision[p], fetched)
        };
        apply(p, fetched, fetched, request_incarnation);
        atomic { fetched = 0; request_incarnation = 0 }
    od
}

proctype outage() {
    store_up = false;
    store_up = true
}

/* A restarted process has no configuration and knows of no revision. */
proctype restart() {
    byte p;
    if
    :: p = 0
    :: p = SIDECAR
    fi;
    atomic { revision[p] = 0; content[p] = 0; known_revision[p] = 0; served[p] = 0;
             incarnation[p]++ }
}

proctype monitor() {
    timeout;
    assert(revision[0] == head && revision[1] == head && revision[SIDECAR] == head);
    assert(served[0] == head && served[1] == head && served[SIDECAR] == head)
}

init {
    atomic {
        run acceptances();
        run poller(0);
        run poller(1);
        run peer_fetcher(0, SIDECAR);
        run peer_fetcher(1, SIDECAR);
#ifndef NO_PROPAGATION
        run peer_fetcher(SIDECAR, 0);
        run peer_fetcher(SIDECAR, 1);
#endif
        run outage();
        run restart();
        run monitor()
    }
}
