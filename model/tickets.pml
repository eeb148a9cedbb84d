/*
 * Acceptance of tickets by one conditional transaction.
 *
 * Two tickets were created on the same base (revision 0 of one object). Three operators accept
 * ticket 0, accept ticket 1 and accept ticket 0 once more; a fourth withdraws ticket 0 when it is
 * in force. The environment uses up bounded numbers of outages, lost answers and stale reads. The
 * spread of the result, which only reads the store, is in tickets_spread.pml.
 *
 * Properties:
 *   one winner     at most one ticket is accepted on a base (assertion in commit);
 *   only up        the revision of the head row grows with each change (assertion in commit);
 *   refused is no  an acceptance that is reported as refused, or as not sent, has not taken
 *                  effect (assertion in operator).
 *
 * Variants that must fail, by -D: NO_TOKEN does not read back after a lost answer, NO_CONDITION
 * writes without the conditions on the rows.
 *
 * Not modelled: several objects, and supersession.
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

/* What a stale read returns: the rows before the last write. */
byte old_head = 0;
byte old_object_revision = 0;
mtype old_ticket_state[TICKETS] = created;
byte old_ticket_version[TICKETS] = 0;

byte stale_reads = 2;
byte lost_answers = 2;

/* Ghost: acceptances on the common base. */
byte winners = 0;

inline keep_old() {
    old_head = head;
    old_object_revision = object_revision;
    old_ticket_state[0] = ticket_state[0];
    old_ticket_state[1] = ticket_state[1];
    old_ticket_version[0] = ticket_version[0];
    old_ticket_version[1] = ticket_version[1];
}

/* Reads all rows of a decision at one time; the store may answer with older ones. */
inline read_rows(t) {
    atomic {
        if
        :: store_up ->
            answer = done;
            if
            :: true ->
                seen_head = head; seen_object = object_revision;
                seen_state = ticket_state[t]; seen_version = ticket_version[t]
            :: stale_reads > 0 ->
                stale_reads--;
                seen_head = old_head; seen_object = old_object_revision;
                seen_state = old_ticket_state[t]; seen_version = old_ticket_version[t]
            fi
        :: !store_up -> answer = unavailable
        fi
    }
}

#ifdef NO_CONDITION
#define HOLDS(t) true
#else
#define HOLDS(t) (head == seen_head && ticket_version[t] == seen_version)
#endif

/* The conditional transaction. A lost answer may hide a success, a conflict or a lost request. */
inline commit(t, new_state, new_token) {
    atomic {
        if
        :: !store_up -> answer = unavailable
        :: store_up && HOLDS(t) ->
            keep_old();
#ifdef NO_CONDITION
            head = seen_head + 1;
#else
            head++;
#endif
            assert(head > old_head);
            object_revision = head;
            ticket_state[t] = new_state;
            ticket_version[t]++;
            if
            :: new_state == in_force -> ticket_token[t] = new_token; winners++
            :: else
            fi;
            assert(winners <= 1);
            effect = true;
            if
            :: answer = done
            :: lost_answers > 0 -> lost_answers--; answer = lost
            fi
        :: store_up && !HOLDS(t) ->
            if
            :: answer = conflict
            :: lost_answers > 0 -> lost_answers--; answer = lost
            fi
        :: store_up && lost_answers > 0 -> lost_answers--; answer = lost
        fi
    }
}

/* After a lost answer the token in the ticket's row tells whether this acceptance took effect. */
inline settle(t, my_token) {
#ifdef NO_TOKEN
    answer = conflict
#else
    atomic {
        if
        :: !store_up -> answer = unknown
        :: store_up && ticket_token[t] == my_token -> answer = done
        :: store_up && ticket_token[t] != my_token -> answer = conflict
        fi
    }
#endif
}

/* One run of "ticket accept". */
proctype operator(byte t; byte token) {
    byte seen_head, seen_object, seen_version, attempt;
    mtype seen_state, answer;
    bool effect = false;
    do
    :: attempt == ATTEMPTS -> answer = unknown; break
    :: attempt < ATTEMPTS ->
        attempt++;
        read_rows(t);
        if
        :: answer == unavailable -> break
        :: answer != unavailable && seen_state == in_force -> answer = done; break
        :: answer != unavailable && seen_state == withdrawn -> answer = refused; break
        :: answer != unavailable && seen_state == created && seen_object != 0 ->
            answer = refused; break
        :: answer != unavailable && seen_state == created && seen_object == 0 ->
            commit(t, in_force, token);
            if
            :: answer == lost -> settle(t, token)
            :: else
            fi;
            if
            :: answer != conflict -> break
            :: else
            fi
        fi
    od;
    /* A refused run has not taken effect, and neither has one that found the store down. */
    assert(!(effect && (answer == refused || answer == unavailable)))
}

/* One run of "ticket withdraw" for ticket 0: a new revision, not a lower one. */
proctype withdrawer() {
    byte seen_head, seen_object, seen_version;
    mtype seen_state, answer;
    bool effect = false;
    read_rows(0);
    if
    :: answer == done && seen_state == in_force -> commit(0, withdrawn, 0)
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
