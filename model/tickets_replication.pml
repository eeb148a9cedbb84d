/*
 * Spread of the configuration between the store, two entries and a sidecar.
 *
 * Tickets are accepted (tickets.pml shows that this only raises the head row). The entries read
 * the store; the sidecar learns from them, and they from it. Each direction of a link is a process
 * of its own, so that a document can be late and overtaken by a newer one; a paused process is one
 * whose steps come late. The environment uses up bounded numbers of outages, stale reads and
 * restarts, and ends with the store up; then messages flow until nothing can be done.
 *
 * Properties:
 *   no way back    no process applies a lower revision in one life (assertion in apply);
 *   whole state    what is held under a revision is the state of that revision (apply);
 *   no less        a started entry serves no revision lower than one it has been told of before
 *                  it began to serve (assertion in apply);
 *   in force       when nothing is left to do, every process holds the revision of the head
 *                  row (assertion in the monitor). All budgets are bounded and every step needs
 *                  progress to make, so each run ends there.
 *
 * Variants that must fail, by -D: NO_MAX applies whatever arrives last, STALE_READ applies objects
 * without comparing their digest with the head row, NO_WAIT serves the first revision that
 * arrives, NO_SPREAD lets the sidecar learn nothing.
 *
 * Not modelled: documents that are damaged on the way, and the settle period.
 */

#define CHANGES 2
#define MEMBERS 3
#define SIDECAR 2

/* The head row, and what a stale read returns: the row before the last write. */
byte head = 0;
byte old_head = 0;
bool store_up = true;
byte stale_reads = 1;

/* The members: revision held, the revision whose objects are held, the highest revision told, the
 * revision served and the life of the process. */
byte revision[MEMBERS] = 0;
byte content[MEMBERS] = 0;
byte known[MEMBERS] = 0;
byte served[MEMBERS] = 0;
byte life[MEMBERS] = 0;

#define MAX(a, b) ((a) > (b) -> (a) : (b))

proctype acceptances() {
    byte n;
    do
    :: n < CHANGES -> atomic { store_up -> old_head = head; head++; n++ }
    :: n == CHANGES -> break
    od
}

/* Applies what has arrived, if the process is still the one that asked. */
inline apply(p, new_revision, new_content, asked_in) {
    atomic {
        if
#ifdef NO_MAX
        :: life[p] == asked_in ->
#else
        :: life[p] == asked_in && new_revision > revision[p] ->
#endif
            assert(new_revision >= revision[p]);
            revision[p] = new_revision;
            content[p] = new_content;
            assert(content[p] == revision[p]);
            known[p] = MAX(known[p], revision[p]);
            if
#ifdef NO_WAIT
            :: true ->
#else
            :: served[p] > 0 || revision[p] >= known[p] ->
#endif
                assert(served[p] > 0 || revision[p] >= known[p]);
                served[p] = revision[p]
            :: served[p] == 0 && revision[p] < known[p]
            fi
        :: else
        fi
    }
}

/* An entry reads the head row and then the objects; a ticket may be accepted in between. */
proctype poller(byte p) {
    byte seen, objects, asked;
end:
    do
    :: atomic {
            store_up && head > revision[p] ->
            asked = life[p];
            if
            :: seen = head
            :: stale_reads > 0 -> stale_reads--; seen = old_head
            fi;
            known[p] = MAX(known[p], seen)
        };
        atomic {
            if
            :: store_up -> objects = head
            :: store_up && stale_reads > 0 -> stale_reads--; objects = old_head
            :: !store_up -> objects = 0; seen = 0
            fi;
#ifndef STALE_READ
            if
            :: seen != objects -> seen = 0; objects = 0
            :: else
            fi
#endif
        };
        apply(p, seen, objects, asked);
        atomic { seen = 0; objects = 0; asked = 0 }
    od
}

/* A heartbeat names the peer's revision; the lower side fetches the document, which may be late. */
proctype spreader(byte p; byte peer) {
    byte fetched, asked;
end:
    do
    :: atomic {
            revision[peer] > revision[p] ->
            asked = life[p];
            fetched = revision[peer];
            known[p] = MAX(known[p], fetched)
        };
        apply(p, fetched, fetched, asked);
        atomic { fetched = 0; asked = 0 }
    od
}

proctype outage() {
    store_up = false;
    store_up = true
}

/* A restarted process holds nothing and has been told nothing. */
proctype restart() {
    byte p;
    if
    :: p = 0
    :: p = SIDECAR
    fi;
    atomic { revision[p] = 0; content[p] = 0; known[p] = 0; served[p] = 0; life[p]++ }
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
        run spreader(0, SIDECAR);
        run spreader(1, SIDECAR);
#ifndef NO_SPREAD
        run spreader(SIDECAR, 0);
        run spreader(SIDECAR, 1);
#endif
        run outage();
        run restart();
        run monitor()
    }
}
