/*
 * Acceptance of tickets by one conditional transaction.
 *
 * Two tickets were created on the same base (revision 0 of one object). Three operators accept
 * ticket 0, accept ticket 1 and accept ticket 0 once more; a fourth withdraws ticket 0 when it is
 * in force. The numbers of outages, lost responses and stale reads are bounded. The propagation of
 * the result, which only reads the store, is modeled in tickets_propagation.pml.
 *
 * Properties:
 *   unique acceptance   at most one ticket is accepted on a base (assertion in commit);
 *   monotonic revision  the revision of the head row grows with each change (assertion in
 *                       commit);
 *   accurate refusal    an acceptance that is reported as refused, or as not sent, has not taken
 *                       effect (assertion in operator).
 *
 * Variants that must violate an assertion, selected with -D: NO_TOKEN does not read the token back
 * after a lost response, NO_CONDITION writes without the conditions on the rows.
 *
 * Not modeled: several objects, and supersession.
 */

#define TICKETS 2
#define ATTEMPTS 2

mtype = { created, in_force, withdrawn };
mtype = { none, done, conflict, unavailable, lost, refused, unknown };

/* The store: head row, the object's revision and each ticket's row with its version. */
byte head = 0;
byte object_revision = 0;
mtype ticket_state[TICKETS] = created;
byte ticket_version[TICKETS] = 0;
byte ticket_token[TICKETS] = 0;
bool store_up = true;

/* The rows before the last write, which a stale read returns. */
byte previous_head = 0;
byte previous_object_revision = 0;
mtype previous_ticket_state[TICKETS] = created;
byte previous_ticket_version[TICKETS] = 0;

byte stale_reads = 2;
byte lost_responses = 2;

/* Ghost variable: number of acceptances on the common base. */
byte acceptances = 0;

inline save_previous() {
    previous_head = head;
    previous_object_revision = object_revision;
    previous_ticket_state[0] = ticket_state[0];
    previous_ticket_state[1] = ticket_state[1];
    previous_ticket_version[0] = ticket_version[0];
    previous_ticket_version[1] = ticket_version[1];
}

/* Reads all rows of a decision atomically; the store may return the rows before the last write. */
inline read_rows(t) {
    atomic {
        if
        :: store_up ->
            response = done;
            if
            :: true ->
                seen_head = head; seen_object = object_revision;
                seen_state = ticket_state[t]; seen_version = ticket_version[t]
            :: stale_reads > 0 ->
                stale_reads--;
                seen_head = previous_head; seen_object = previous_object_revision;
                seen_state = previous_ticket_state[t]; seen_version = previous_ticket_version[t]
            fi
        :: !store_up -> response = unavailable
        fi
    }
}

#ifdef NO_CONDITION
#define CONDITIONS_HOLD(t) true
#else
#define CONDITIONS_HOLD(t) (head == seen_head && ticket_version[t] == seen_version)
#endif

/* The conditional transaction. After a lost response it may have succeeded, met a conflict or not
 * reached the store. */
inline commit(t, new_state, new_token) {
    atomic {
        if
        :: !store_up -> response = unavailable
        :: store_up && CONDITIONS_HOLD(t) ->
            save_previous();
#ifdef NO_CONDITION
            head = seen_head + 1;
#else
            head++;
#endif
            assert(head > previous_head);
            object_revision = head;
            ticket_state[t] = new_state;
            ticket_version[t]++;
            if
            :: new_state == in_force -> ticket_token[t] = new_token; acceptances++
            :: else
            fi;
            assert(acceptances <= 1);
            took_effect = true;
            if
            :: response = done
            :: lost_responses > 0 -> lost_responses--; response = lost
            fi
        :: store_up && !CONDITIONS_HOLD(t) ->
            if
            :: response = conflict
            :: lost_responses > 0 -> lost_responses--; response = lost
            fi
        :: store_up && lost_responses > 0 -> lost_responses--; response = lost
        fi
    }
}

/* After a lost response the token in the ticket's row shows whether this acceptance took effect. */
inline resolve_lost_response(t, my_token) {
#ifdef NO_TOKEN
    response = conflict
#else
    atomic {
        if
        :: !store_up -> response = unknown
        :: store_up && ticket_token[t] == my_token -> response = done
        :: store_up && ticket_token[t] != my_token -> response = conflict
        fi
    }
#endif
}

/* One run of "ticket accept". */
proctype operator(byte t; byte token) {
    byte seen_head, seen_object, seen_version, attempt;
    mtype seen_state, response;
    bool took_effect = false;
    do
    :: attempt == ATTEMPTS -> response = unknown; break
    :: attempt < ATTEMPTS ->
        attempt++;
        read_rows(t);
        if
        :: response == unavailable -> break
        :: response != unavailable && seen_state == in_force -> response = done; break
        :: response != unavailable && seen_state == withdrawn -> response = refused; break
        :: response != unavailable && seen_state == created && seen_object != 0 ->
            response = refused; break
        :: response != unavailable && seen_state == created && seen_object == 0 ->
            commit(t, in_force, token);
            if
            :: response == lost -> resolve_lost_response(t, token)
            :: else
            fi;
            if
            :: response != conflict -> break
            :: else
            fi
        fi
    od;
    /* Neither a refused run nor one that found the store unavailable has taken effect. */
    assert(!(took_effect && (response == refused || response == unavailable)))
}

/* One run of "ticket withdraw" for ticket 0, which creates a new, higher revision. */
proctype withdrawer() {
    byte seen_head, seen_object, seen_version;
    mtype seen_state, response;
    bool took_effect = false;
    read_rows(0);
    if
    :: response == done && seen_state == in_force -> commit(0, withdrawn, 0)
    :: else
    fi
}

proctype outage() {
    store_up = false;
    store_up = true
}

init {
    atomic {
        run operator(0, 1);
        run operator(1, 2);
        run operator(0, 3);
        run withdrawer();
        run outage()
    }
}
