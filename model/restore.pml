/* Ownership of one key by two members while the store is restored from an older copy.
 *
 * model/ownership.pml shows that at most one member holds the key while the store keeps what it has accepted. Here it
 * loses accepted updates, and processes lose their memory, while their upstreams go on holding the key. What that model
 * shows is taken as given: an owner that hears nothing of a newer record renews for a lease at most, since its witnesses
 * hear of that record (stale). docs/RESTORE.md describes the rules.
 *
 * Checked: no two upstreams hold the key, and each grant has a token above those of the other upstream's grants. */

#ifndef LEASE
#define LEASE 2
#endif
#ifndef MAXV
#define MAXV 5      /* highest count of updates */
#endif
#ifndef MAXE
#define MAXE 2      /* highest era */
#endif
#ifndef MAXB
#define MAXB 1      /* restarts of each process */
#endif

#ifdef ONE_LEASE_WAIT
#define WAIT LEASE
#else
#define WAIT (2 * LEASE)
#endif

#ifdef COUNT_ORDER
#define ORDER(r) (r.count)
#else
#define ORDER(r) (16 * r.era + r.count)
#endif

#ifdef COUNT_TOKEN
#define TOKEN(r) (r.count)
#else
#define TOKEN(r) (16 * r.era + r.count)
#endif

#define LESS(x) if :: x > 0 -> x-- :: else fi

typedef Record {
    byte era;       /* of the store when the record was written */
    byte count;     /* of updates; after a restore it may be given out again */
    byte owner;
    byte token;
    byte restored;  /* token of the record that was written back and has to be waited for; 0: none */
    byte boot[2]    /* boot of each member */
};

/* The store. */
Record store;
Record copy;
byte copied;
byte era = 1;

/* The processes. */
Record mem[2];
bool known[2];
byte boot[2];
byte wait[2];       /* time until every hold that the record does not show has ended */
byte stale[2];      /* time for which there has been a newer record */
#ifdef KEEP_TOKEN
byte kept[2];       /* token under which the process owned the key in the record before; 0: it did not */
#endif

/* The upstreams. */
byte hold[2];       /* remaining time of the grant */
byte top[2];        /* highest token of a grant */

hidden Record next;
hidden byte granted;
hidden byte asked;
hidden byte complete;

inline assign(a, b) {
    a.era = b.era; a.count = b.count; a.owner = b.owner; a.token = b.token; a.restored = b.restored;
    a.boot[0] = b.boot[0]; a.boot[1] = b.boot[1]
}

inline apply(m, r) {
    if
    :: !known[m] || ORDER(r) > ORDER(mem[m]) ->
#ifdef KEEP_TOKEN
        if
        :: !known[m] || r.owner != m -> kept[m] = 0
        :: else -> if :: kept[m] == 0 -> kept[m] = r.token :: else fi
        fi;
#endif
        if
        :: r.restored == 0 -> wait[m] = 0
        :: r.restored != 0 && (!known[m] || r.restored != mem[m].restored) -> wait[m] = WAIT
        :: else
        fi;
        assign(mem[m], r);
        known[m] = true;
        stale[m] = 0
    :: else
    fi
}

/* Whether member m may base an ordinary update on its record. */
#define MAY_UPDATE(m) (known[m] && mem[m].era == era && store.era == era && mem[m].count == store.count \
    && store.count < MAXV)

/* Writes next, which member m has derived from its record. */
inline update(m) {
    next.count++;
    if :: wait[m] == 0 -> next.restored = 0 :: else fi;
    if :: next.owner != mem[m].owner || next.boot[next.owner] != mem[m].boot[next.owner] ->
        next.token = TOKEN(next)
    :: else
    fi;
    assign(store, next);
    apply(m, next)
}

/* The owner gives the key to the other member, once its upstream does not hold it. */
inline move(m) {
    MAY_UPDATE(m) && mem[m].owner == m && mem[m].boot[m] == boot[m] && mem[m].boot[1 - m] == boot[1 - m] ->
    hold[m] = 0;
    assign(next, mem[m]);
    next.owner = 1 - m;
    update(m)
}

/* A restarted process takes the place of the one before. */
inline join(m) {
    MAY_UPDATE(m) && mem[m].boot[m] != boot[m] ->
    assign(next, mem[m]);
    next.boot[m] = boot[m];
    update(m)
}

/* Writes the newest record that is known back to the store. */
inline write_back(m) {
    known[m] && mem[m].era < era && store.era < era && mem[m].count < MAXV && store.count < MAXV ->
    apply(m, store);
    if
    :: known[1 - m] -> asked = true
#ifndef NO_QUERY
    :: true -> asked = false
#endif
    :: !known[1 - m] -> asked = false
    fi;
#ifdef NO_QUERY
    complete = true;
#else
    if :: asked -> apply(m, mem[1 - m]) :: else fi;
    complete = asked && mem[m].boot[0] == boot[0] && mem[m].boot[1] == boot[1];
#endif
    if
    :: mem[m].era < era && mem[m].count < MAXV ->
        assign(next, mem[m]);
        next.era = era;
        next.count++;
        if
        :: !complete ->
            next.token = TOKEN(next);
#ifndef NO_WAIT
            next.restored = next.token
#endif
        :: else
        fi;
        assign(store, next);
        apply(m, next)
    :: else
    fi;
    asked = false;
    complete = false
}

/* Whether member m owns the key by its record, its witnesses renew its lease, and no other upstream may hold the key. */
#define MAY_GRANT(m) (known[m] && mem[m].owner == m && mem[m].boot[m] == boot[m] && stale[m] < LEASE \
    && (wait[m] == 0 || hold[m] > 0))

inline grant(m) {
    MAY_GRANT(m) ->
    granted = mem[m].token;
#ifdef KEEP_TOKEN
    granted = kept[m];
#endif
    assert(hold[1 - m] == 0);
    assert(granted > top[1 - m]);
    hold[m] = LEASE;
    if :: granted > top[m] -> top[m] = granted :: else fi;
    granted = 0
}

/* Whether the store or the other process has a newer record than member m, so that m's witnesses hear of it. */
#define IS_BEHIND(m) (known[m] && (ORDER(store) > ORDER(mem[m]) || \
    known[1 - m] && ORDER(mem[1 - m]) > ORDER(mem[m])))

inline age(m) {
    LESS(hold[m]);
    LESS(wait[m]);
    if
    :: IS_BEHIND(m) && stale[m] < LEASE -> stale[m]++
    :: else
    fi
}

#define MEMBER(m) \
    :: atomic { move(m) } \
    :: atomic { join(m) } \
    :: atomic { write_back(m) } \
    :: atomic { grant(m) } \
    :: d_step { !known[m] || ORDER(store) > ORDER(mem[m]) -> apply(m, store) } \
    :: d_step { known[1 - m] && known[m] && ORDER(mem[1 - m]) > ORDER(mem[m]) -> apply(m, mem[1 - m]) } \
    :: d_step { boot[m] < MAXB -> boot[m]++; known[m] = false; wait[m] = 0; stale[m] = 0 }

active proctype restore() {
    d_step {
        store.era = 1; store.count = 1; store.token = 17;
        apply(0, store);
        apply(1, store)
    }
    do
    MEMBER(0)
    MEMBER(1)
    :: d_step { !copied && era == 1 -> assign(copy, store); copied = true }
    :: d_step { copied && era < MAXE -> assign(store, copy); era++ }
    :: d_step { true -> age(0); age(1) }
    od
}
