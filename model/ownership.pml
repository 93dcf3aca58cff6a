/*
 * Ownership of one key: an owner A with its witnesses, a sealer S that takes over for the member N,
 * a later life P of A's instance, A's upstream, and the platform's record.
 * docs/OWNERSHIP.md states the rules; docs/MODEL.md states what is modelled and what is left out.
 *
 * Each option of the main loop is one step of one party. A pause of a party is a run in which it
 * takes no step while ticks pass; a partition or an outage is a run in which nothing is delivered.
 * Durations count down to 0, one unit per tick. A message stays at its receiver until a newer one
 * replaces it, so each message may be lost, delayed, reordered with others, or received twice.
 *
 * Parameters (-D):
 *   NW           number of witnesses that may be named: 1 to 4
 *   MAXV         highest version of the record
 *   LEASE        duration of a lease in ticks
 *   MAXB         maximum number of lives of each witness
 *   RESTARTABLE  number of witnesses that may restart
 *   SWAP         A may replace its set of witnesses
 *   RELEASE      planned release and return of the key
 *   SUCCESSION   rule 8
 *   TWICE        P, which has succeeded A, is taken over itself; the upstream goes on holding what A
 *                granted, for P. With SUCCESSION, without RELEASE, GONE and restarts of witnesses
 *   ENDED        A's process has ended when P joins, which with TWICE allows more witnesses
 *   PROGRESS     bounded progress after faults have ended
 *   SLOW_ACK     acknowledgements are delayed on their way to the owner
 *   SLOW_ANSWER  answers to a seal are delayed on their way to the sealer
 *   GONE         witnesses stop being members (last part of rule 4)
 * Without SLOW_ACK and SLOW_ANSWER these messages arrive at once or never, which lets the owner and
 * the sealer do more. NO_* and the other names in model/check each remove one rule.
 */

#ifndef NW
#define NW 3
#endif
#ifndef LEASE
#define LEASE 2
#endif
#ifndef MAXV
#define MAXV 3
#endif
#ifndef MAXB
#define MAXB 1
#endif
#ifndef RESTARTABLE
#define RESTARTABLE NW
#endif

/* Number of witnesses named at the start: all, or with SWAP (NW 2 or 4) all but the last. */
#ifdef SWAP
#define FIRST (NW / 2 + NW % 2 + (NW > 2 -> 1 : 0))
#else
#define FIRST NW
#endif

/* Owner in the record. */
#define OWNER_A 0
#define OWNER_N 1
#define OWNER_P 2

/* A's attempt to write the record. */
#define IDLE 0
#define RELEASE_OUT 1
#define RENAME_OUT 2

hidden int ticks;
hidden byte i;
hidden byte named;
hidden byte held_old;
hidden byte held_new;
hidden byte level;
hidden byte lease_old;
hidden byte lease_new;
hidden byte lease_a;
hidden byte live_a;
hidden byte proved;

/* The platform's record. */
byte version = 1;
byte owner = OWNER_A;
bool member_a = true;   /* A's boot id is a member */
byte term = 1;          /* A's term */
byte set[NW];           /* boot id of each witness of A; 0: not a witness */
bool n_owns;            /* ghost variable: N was assigned the key and has not returned it */

/* The owner A. */
byte a_version = 1;
byte a_owner = OWNER_A;
bool a_member = true;
byte a_term = 1;
byte a_set[NW];
byte a_left[NW];        /* remaining time of each acknowledgement of a_term */
byte attempt = IDLE;
bool attempt_flying;    /* the write is in flight: it may still reach the platform */
byte new_set[NW];       /* set of a RENAME_OUT attempt, whose term is a_version + 1 */
byte new_left[NW];      /* remaining time of each acknowledgement of that term */
bool request;           /* a request has passed A's check, but has not reached the upstream yet */

/* A's upstream. */
byte grant;             /* remaining time of A's grant */
bool fenced;            /* the upstream has accepted a later life's fence, so it refuses A's */

/* Witnesses. */
byte boot[NW];
byte sealed[NW];        /* highest term of A that the witness will not acknowledge */
byte acked[NW];         /* time for which its last acknowledgement may still count */

/* The sealer. */
byte s_version;         /* version of the record that it last read; 0: none */
byte s_term;
byte s_set[NW];
byte s_asked;           /* highest term that it has ever asked witnesses to seal */
bool s_got[NW];         /* the witness has sealed s_term */
byte s_wait;            /* time until the last acknowledgement has lapsed */
bool s_flying;
byte s_expect;

#ifdef GONE
byte gone[NW];          /* record: highest boot id of the witness that is no longer a member */
byte standing[NW];      /* time for which a life that is no longer a member may still acknowledge */
byte s_gone[NW];        /* the value of gone that the sealer has applied */
byte s_lapse[NW];       /* time until its last acknowledgement has lapsed */
#endif

#ifdef SLOW_ACK
byte ack_left[NW];      /* remaining time of an acknowledgement of a_term in flight; 0: none */
byte ack_boot[NW];
byte new_ack_left[NW];
byte new_ack_boot[NW];
#endif

#ifdef SLOW_ANSWER
byte answer_term[NW];   /* term of an answer to a seal in flight; 0: none */
byte answer_boot[NW];
byte answer_left[NW];
#endif

#ifdef SUCCESSION
bool p_started;
byte p_expect;
bool p_flying;
#endif

#ifdef TWICE
bool p_joined;          /* P has been in the record */
byte p_set[NW];         /* P's witnesses: those that are named at the start */
byte p_left[NW];        /* remaining time of each acknowledgement that P has */
byte p_acked[NW];       /* time for which the witness's last acknowledgement of P may still count */
bool p_sealed[NW];      /* the witness acknowledges P no more */
bool q_read;            /* the sealer has applied the record that shows P */
bool q_got[NW];         /* the witness has sealed P's term */
byte q_wait;            /* time until P, and what P took over from A, serves no more */
bool q_flying;
#endif

#ifdef PROGRESS
byte rounds;            /* rounds without faults so far; 0: faults still happen */
bool a_lost;
#endif

#ifdef GONE
/* Whether a majority of a life's own witnesses, or an answer of the platform within a lease, shows
 * that it is a member. */
#ifdef NO_STANDING
#define STANDING(w) (true)
#else
#define STANDING(w) (boot[w] > gone[w] || standing[w] > 0)
#endif
#ifdef ONE_LEASE
#define LAPSE LEASE
#else
#define LAPSE (2 * LEASE)
#endif
#else
#define STANDING(w) (true)
#endif

#define LESS(x) if :: x > 0 -> x-- :: else fi

#ifdef NO_MAJORITY_OWNER
#define ENOUGH(held, of) (held > 0)
#else
#define ENOUGH(held, of) (2 * held > of)
#endif

/* Sets `result` to the remaining time of the lease that the acknowledgements `l` of the set `s`
 * give: the longest time for which a majority of them still counts. */
#define MEASURE(s, l, result) \
    named = 0; \
    i = 0; \
    do \
    :: i < NW -> if :: s[i] != 0 -> named++ :: else fi; i++ \
    :: else -> break \
    od; \
    result = 0; \
    level = 1; \
    do \
    :: level <= LEASE -> \
        held_old = 0; \
        i = 0; \
        do \
        :: i < NW -> if :: s[i] != 0 && l[i] >= level -> held_old++ :: else fi; i++ \
        :: else -> break \
        od; \
        if :: ENOUGH(held_old, named) -> result = level :: else fi; \
        level++ \
    :: else -> break \
    od; \
    held_old = 0

/* Rules 1 and 3: sets lease_a to the remaining time of A's lease. */
inline measure_lease() {
    MEASURE(a_set, a_left, lease_old);
    lease_a = lease_old;
    if
    :: attempt == RENAME_OUT ->
        MEASURE(new_set, new_left, lease_new);
#if defined(NO_JOINT)
        lease_a = lease_old;
#elif defined(NEW_EARLY)
        lease_a = lease_new;
#else
        if :: lease_new < lease_old -> lease_a = lease_new :: else fi;
#endif
        lease_new = 0
    :: else
    fi;
    lease_old = 0;
    named = 0;
    level = 0;
    i = 0
}

/* Sets live_a: whether a request can start at A's upstream, now or after one in flight arrives. */
inline measure_live() {
    measure_lease();
    live_a = a_member && a_owner == OWNER_A && lease_a > 0 && attempt != RELEASE_OUT && !fenced;
#ifdef NO_UPSTREAM_CHECK
    live_a = live_a || request;
#else
    live_a = live_a || (request && grant > 0 && !fenced);
#endif
}

/* Sets proved: whether a majority of the sealer's set has sealed the term and the wait is over. */
inline measure_proof() {
    named = 0;
    held_new = 0;
    i = 0;
    do
    :: i < NW ->
        if :: s_set[i] != 0 -> named++ :: else fi;
        if :: s_set[i] != 0 && s_got[i] -> held_new++ :: else fi;
        i++
    :: else -> break
    od;
#ifdef NO_MAJORITY_SEALER
    proved = s_version != 0 && held_new > 0;
#else
    proved = s_version != 0 && 2 * held_new > named;
#endif
#ifndef NO_WAIT
    proved = proved && s_wait == 0;
#endif
    named = 0;
    held_new = 0;
    i = 0
}

/* Checks the invariants; called after each step. */
inline check() {
    measure_live();
    measure_proof();
    /* Only the owner in the record serves. */
    assert(!(live_a && owner != OWNER_A));
    /* A sealed owner never serves. */
    assert(!(live_a && proved && s_version == version && s_term == term && member_a));
    /* No assignment is lost: only N itself gives the key back. */
    assert(!n_owns || owner == OWNER_N);
#ifdef TWICE
    /* The upstream of A and P holds the key only while one of them owns it. */
    assert(!(grant > 0 && owner == OWNER_N));
#endif
    live_a = false;
    lease_a = 0;
    proved = false
}

inline renew(w) {
    printf("@ %d A renew %d %d\n", ticks, w, a_term);
#ifdef NO_SEAL_MEMORY
    if
    :: STANDING(w) ->
#else
    if
    :: a_term > sealed[w] && STANDING(w) ->
#endif
        printf("@ %d W%d ack %d %d\n", ticks, w, a_term, boot[w]);
        acked[w] = LEASE;
#ifdef SLOW_ACK
        ack_left[w] = LEASE;
        ack_boot[w] = boot[w]
#else
#ifndef NO_BOOT_OWNER
        if :: boot[w] == a_set[w] -> a_left[w] = LEASE :: else fi
#else
        a_left[w] = LEASE
#endif
#endif
    :: else -> printf("@ %d W%d refuse %d %d\n", ticks, w, a_term, boot[w])
    fi
}

inline renew_new(w) {
    printf("@ %d A renew %d %d\n", ticks, w, a_version + 1);
    if
    :: a_version + 1 > sealed[w] && STANDING(w) ->
        printf("@ %d W%d ack %d %d\n", ticks, w, a_version + 1, boot[w]);
        acked[w] = LEASE;
#ifdef SLOW_ACK
        new_ack_left[w] = LEASE;
        new_ack_boot[w] = boot[w]
#else
        if :: boot[w] == new_set[w] -> new_left[w] = LEASE :: else fi
#endif
    :: else -> printf("@ %d W%d refuse %d %d\n", ticks, w, a_version + 1, boot[w])
    fi
}

#ifdef SLOW_ACK
/* A receives an acknowledgement, which counts from the time A sent its request. */
inline take_ack(w) {
    printf("@ %d A take_ack %d %d\n", ticks, w, a_term);
#ifdef FROM_RECEIPT
    a_left[w] = LEASE
#else
    if :: ack_left[w] > a_left[w] -> a_left[w] = ack_left[w] :: else fi
#endif
}

inline take_new_ack(w) {
    printf("@ %d A take_ack %d %d\n", ticks, w, a_version + 1);
#ifdef FROM_RECEIPT
    new_left[w] = LEASE
#else
    if :: new_ack_left[w] > new_left[w] -> new_left[w] = new_ack_left[w] :: else fi
#endif
}

#ifdef NO_BOOT_OWNER
#define ACK_FITS(w) (ack_left[w] > 0 && a_set[w] != 0)
#else
#define ACK_FITS(w) (ack_left[w] > 0 && ack_boot[w] == a_set[w])
#endif
#define NEW_ACK_FITS(w) (new_ack_left[w] > 0 && new_ack_boot[w] == new_set[w])
#endif

/* Ends the attempt; `kept` says whether its acknowledgements are those of the term in force. */
inline end_attempt(kept) {
    attempt = IDLE;
    attempt_flying = false;
    i = 0;
    do
    :: i < NW ->
        if
        :: kept ->
            a_left[i] = new_left[i];
#ifdef SLOW_ACK
            ack_left[i] = new_ack_left[i];
            ack_boot[i] = new_ack_boot[i];
#endif
        :: else
        fi;
        new_set[i] = 0;
        new_left[i] = 0;
#ifdef SLOW_ACK
        new_ack_left[i] = 0;
        new_ack_boot[i] = 0;
#endif
        i++
    :: else -> break
    od;
    i = 0
}

/* Rules 2, 3, 6 and 10: A applies the current record, which decides the outcome of its attempt. */
inline a_read() {
    printf("@ %d A read %d %d %d\n", ticks, version, owner, member_a);
    if
    :: attempt != IDLE && version > a_version ->
        if
        :: attempt == RENAME_OUT && term == a_version + 1 -> end_attempt(true)
        :: else -> end_attempt(false)
        fi
    :: else
    fi;
    a_version = version;
    a_owner = owner;
    a_member = member_a;
    a_term = term;
    i = 0;
    do
    :: i < NW -> a_set[i] = set[i]; i++
    :: else -> break
    od;
    i = 0;
    if
    :: !a_member ->
        do
        :: i < NW ->
            a_left[i] = 0;
            a_set[i] = 0;
#ifdef SLOW_ACK
            ack_left[i] = 0;
            ack_boot[i] = 0;
#endif
            i++
        :: else -> break
        od;
        i = 0
    :: else
    fi
}

/* Rule 2. */
inline a_release() {
    printf("@ %d A write_release %d\n", ticks, a_version + 1);
    attempt = RELEASE_OUT;
    attempt_flying = true
}

/* Rule 3: A names the witnesses with numbers from `low` to `high` - 1. */
inline a_rename(low, high) {
    printf("@ %d A prepare_rename %d %d %d\n", ticks, a_version + 1, low, high);
    attempt = RENAME_OUT;
    i = 0;
    do
    :: i < NW -> new_set[i] = (i >= low && i < high -> boot[i] : 0);
#ifdef GONE
        /* A names only members. A stale record may contain others, but then the write conflicts. */
        if :: new_set[i] <= gone[i] -> new_set[i] = 0 :: else fi;
#endif
        i++
    :: else -> break
    od;
    i = 0
}

/* Sends or resends the attempt. The acknowledgements of the new term must cover the upstream's
 * grant before the record can contain the new term, because a sealer of the new term waits for
 * these acknowledgements only. */
inline a_write() {
    lease_new = LEASE;
#ifndef NO_GRANT_COVER
    if
    :: attempt == RENAME_OUT -> MEASURE(new_set, new_left, lease_new); level = 0; i = 0; named = 0
    :: else
    fi;
#endif
    if
    :: grant <= lease_new -> printf("@ %d A write %d\n", ticks, a_version + 1); attempt_flying = true
    :: else -> printf("@ %d A uncovered %d\n", ticks, grant)
    fi;
    lease_new = 0
}

#ifdef NO_CONDITION
#define STANDS(v) (true)
#else
#define STANDS(v) (version == v)
#endif

/* The platform accepts A's write if the record still has the version that the write replaces. */
inline take_attempt() {
    attempt_flying = false;
    if
    :: STANDS(a_version) ->
        printf("@ %d platform accept A %d\n", ticks, a_version + 1);
        if
        :: attempt == RELEASE_OUT -> owner = OWNER_N; n_owns = true
        :: else ->
            term = a_version + 1;
            owner = a_owner;
            i = 0;
            do
            :: i < NW -> set[i] = new_set[i]; i++
            :: else -> break
            od;
            i = 0
        fi;
        version++
    :: else -> printf("@ %d platform conflict A %d\n", ticks, version)
    fi
}

/* The sealer reads the record; seals of an older term prove nothing about a newer one. */
inline s_read() {
    printf("@ %d S read %d %d\n", ticks, version, term);
    s_version = version;
    i = 0;
    do
    :: i < NW ->
        s_set[i] = set[i];
#ifndef NO_TERM
        if :: s_term != term -> s_got[i] = false :: else fi;
#endif
        i++
    :: else -> break
    od;
#ifndef NO_TERM
    if :: s_term != term -> s_wait = 0 :: else fi;
#endif
    s_term = term;
#ifdef GONE
    i = 0;
    do
    :: i < NW ->
        if
        :: gone[i] > s_gone[i] -> s_gone[i] = gone[i]; s_lapse[i] = LAPSE
        :: else
        fi;
        if
        :: s_set[i] != 0 && s_set[i] <= s_gone[i] ->
            s_got[i] = true;
            if :: s_lapse[i] > s_wait -> s_wait = s_lapse[i] :: else fi
        :: else
        fi;
        i++
    :: else -> break
    od;
#endif
    i = 0;
    if :: s_term > s_asked -> s_asked = s_term :: else fi
}

inline take_answer(w, left) {
    printf("@ %d S take_sealed %d %d\n", ticks, w, left);
    s_got[w] = true;
    if :: left > s_wait -> s_wait = left :: else fi
}

/* Rule 4: a witness promises not to acknowledge any term up to `s_asked`. */
inline seal(w) {
    printf("@ %d W%d seal %d %d %d\n", ticks, w, s_asked, acked[w], boot[w]);
    if :: s_asked > sealed[w] -> sealed[w] = s_asked :: else fi;
#ifdef SLOW_ANSWER
    answer_term[w] = s_asked;
    answer_boot[w] = boot[w];
    answer_left[w] = acked[w]
#else
#ifdef NO_BOOT_SEALER
    if :: s_set[w] != 0 && s_asked == s_term -> take_answer(w, acked[w]) :: else fi
#else
    if :: s_set[w] == boot[w] && s_asked == s_term -> take_answer(w, acked[w]) :: else fi
#endif
#endif
}

#ifdef NO_BOOT_SEALER
#define ANSWER_FITS(w) (answer_term[w] == s_term && s_set[w] != 0)
#else
#define ANSWER_FITS(w) (answer_term[w] == s_term && answer_boot[w] == s_set[w])
#endif

inline s_write() {
    printf("@ %d S write_removal %d\n", ticks, s_version + 1);
    s_flying = true;
    s_expect = s_version
}

inline take_removal() {
    s_flying = false;
    if
    :: STANDS(s_expect) ->
        printf("@ %d platform accept S %d\n", ticks, s_expect + 1);
        member_a = false;
        if :: owner == OWNER_A -> owner = OWNER_N; n_owns = true :: else fi;
        version++
    :: else -> printf("@ %d platform conflict S %d\n", ticks, version)
    fi;
    s_expect = 0
}

#ifdef SUCCESSION
/* Rule 8. */
inline p_write() {
    printf("@ %d P write_succession %d\n", ticks, version + 1);
    p_expect = version;
    p_flying = true
}

#ifdef ENDED
/* A takes no more steps, so what it and the witnesses know of its lease has no effect. */
inline end_a() {
    a_member = false;
    a_version = 0;
    a_term = 0;
    request = false;
    end_attempt(false);
    s_version = 0;
    s_term = 0;
    s_asked = 0;
    s_wait = 0;
    s_flying = false;
    s_expect = 0;
    do
    :: i < NW ->
        a_set[i] = 0;
        a_left[i] = 0;
        acked[i] = 0;
        sealed[i] = 0;
        s_set[i] = 0;
        s_got[i] = false;
        i++
    :: else -> break
    od;
    i = 0
}
#endif

inline take_succession() {
    p_flying = false;
    if
    :: STANDS(p_expect) ->
        printf("@ %d platform accept P %d\n", ticks, p_expect + 1);
        member_a = false;
        if :: owner == OWNER_A -> owner = OWNER_P :: else fi;
#ifdef TWICE
        p_joined = (owner == OWNER_P);
#endif
#ifdef ENDED
        end_a();
#endif
        version++
    :: else -> printf("@ %d platform conflict P %d\n", ticks, version)
    fi
}
#endif

#ifdef TWICE
inline p_renew(w) {
    printf("@ %d P renew %d\n", ticks, w);
    p_acked[w] = LEASE;
    p_left[w] = LEASE
}

inline p_grant() {
    MEASURE(p_set, p_left, lease_new);
    level = 0;
    named = 0;
    i = 0;
    printf("@ %d P grant %d\n", ticks, lease_new);
    if :: lease_new > grant -> grant = lease_new :: else fi;
    lease_new = 0
}

/* Rule 4: what A granted lapses within a lease of P's join, which is before the sealer applies the
 * record that shows P. Witnesses of P know nothing of A's grants. */
inline q_apply() {
    printf("@ %d S read_successor %d\n", ticks, version);
    q_read = true;
#ifndef NO_PREDECESSOR_WAIT
    q_wait = LEASE
#endif
}

inline q_seal(w) {
    printf("@ %d W%d seal_successor %d\n", ticks, w, p_acked[w]);
    p_sealed[w] = true;
    q_got[w] = true;
    if :: p_acked[w] > q_wait -> q_wait = p_acked[w] :: else fi
}

/* Sets proved: whether a majority of P's witnesses has sealed P's term and the wait is over. */
inline measure_successor_proof() {
    held_new = 0;
    i = 0;
    do
    :: i < FIRST -> if :: q_got[i] -> held_new++ :: else fi; i++
    :: else -> break
    od;
    proved = 2 * held_new > FIRST && q_wait == 0;
    held_new = 0;
    i = 0
}

inline take_successor_removal() {
    printf("@ %d platform accept S %d\n", ticks, version + 1);
    q_flying = false;
    owner = OWNER_N;
    n_owns = true;
    version++
}
#endif

#ifdef GONE
/* The record shows that a life of the witness is no longer a member: it left, was taken over or was
 * succeeded. The platform may just have answered it with the previous record. */
inline leave(w) {
    gone[w] = set[w];
    if :: boot[w] == set[w] -> standing[w] = LEASE :: else fi;
    version++;
    printf("@ %d W%d leave %d\n", ticks, w, gone[w])
}
#endif

/* Rule 7. */
inline restart(w) {
    boot[w]++;
    printf("@ %d W%d restart %d\n", ticks, w, boot[w]);
    sealed[w] = 0;
#ifdef GONE
    standing[w] = 0;
#endif
    acked[w] = 0
}

inline tick() {
    ticks++;
    i = 0;
    do
    :: i < NW ->
        LESS(a_left[i]);
        LESS(new_left[i]);
        LESS(acked[i]);
#ifdef GONE
        LESS(standing[i]);
        LESS(s_lapse[i]);
#endif
#ifdef TWICE
        LESS(p_left[i]);
        LESS(p_acked[i]);
#endif
#if defined(SLOW_ACK) && !defined(FROM_RECEIPT)
        LESS(ack_left[i]);
        if :: ack_left[i] == 0 -> ack_boot[i] = 0 :: else fi;
        LESS(new_ack_left[i]);
        if :: new_ack_left[i] == 0 -> new_ack_boot[i] = 0 :: else fi;
#endif
        i++
    :: else -> break
    od;
    i = 0;
    LESS(grant);
#ifdef TWICE
    LESS(q_wait);
#endif
    LESS(s_wait)
}

#ifdef PROGRESS
/* Number of rounds without faults, in each of which the owner, the sealer and the witnesses do
 * everything that they have to do. */
#define ROUNDS (3 * LEASE + 6)

inline calm_owner() {
    if :: attempt_flying -> take_attempt() :: else fi;
    if :: version > a_version -> a_read() :: else fi;
    if
    :: a_member && a_owner == OWNER_A ->
        measure_lease();
#ifndef NO_NEW_TERM
        if
        :: attempt == IDLE && lease_a == 0 && rounds > LEASE -> a_rename(0, FIRST)
        :: else
        fi;
#endif
        lease_a = 0;
        level = 0;
        do
        :: level < NW ->
            if :: a_set[level] != 0 -> renew(level) :: else fi;
            if :: attempt == RENAME_OUT && new_set[level] != 0 -> renew_new(level) :: else fi;
            level++
        :: else -> break
        od;
        level = 0;
        if :: attempt != IDLE -> a_write() :: else fi
    :: else
    fi
}

inline calm_sealer() {
    if :: s_flying -> take_removal() :: else fi;
    if :: s_version != version && member_a -> s_read() :: else fi;
    level = 0;
    do
    :: level < NW && member_a -> seal(level); level++
    :: else -> break
    od;
    level = 0;
    measure_proof();
    if :: proved && member_a -> s_write() :: else fi;
    proved = false
}

/* Sets proved: whether a majority of the witnesses in the record is still in the recorded life. */
inline measure_witnesses() {
    named = 0;
    held_old = 0;
    i = 0;
    do
    :: i < NW ->
        if :: set[i] != 0 -> named++ :: else fi;
        if :: set[i] != 0 && set[i] == boot[i] -> held_old++ :: else fi;
        i++
    :: else -> break
    od;
    proved = 2 * held_old > named;
    named = 0;
    held_old = 0;
    i = 0
}

inline calm_round() {
#ifdef SUCCESSION
    if
    :: p_started ->
        a_lost = true;
        if :: attempt_flying -> take_attempt() :: else fi;
        if :: p_flying -> take_succession() :: else fi;
        if :: member_a -> p_write() :: else fi
    :: else
    fi;
#endif
    if
    :: !a_lost -> calm_owner()
    :: else ->
        if :: attempt_flying -> take_attempt() :: else fi;
        calm_sealer()
    fi;
    request = false;
    rounds++;
    if
    :: rounds > ROUNDS ->
        measure_live();
        measure_witnesses();
        assert(owner != OWNER_A || (live_a && !a_lost) || (a_lost && !proved));
        live_a = false;
        lease_a = 0;
        proved = false
    :: else
    fi;
    tick()
}
#define FAULTY (rounds == 0)
#else
#define FAULTY (true)
#endif

#define WITNESS(w) \
    :: d_step { FAULTY && a_member && a_set[w] != 0 -> renew(w); check() } \
    :: d_step { FAULTY && attempt == RENAME_OUT && new_set[w] != 0 -> renew_new(w); check() } \
    :: d_step { FAULTY && s_asked > 0 -> seal(w); check() } \
    :: d_step { FAULTY && w < RESTARTABLE && boot[w] < MAXB -> restart(w); check() } \
    LEAVE(w) TAKE_ACK(w) TAKE_ANSWER(w) SUCCESSOR(w)

#ifdef TWICE
#define SUCCESSOR(w) \
    :: d_step { p_joined && w < FIRST && !p_sealed[w] -> p_renew(w); check() } \
    :: d_step { q_read && owner == OWNER_P && w < FIRST && !q_got[w] -> q_seal(w); check() }
#else
#define SUCCESSOR(w)
#endif

#ifdef GONE
#define LEAVE(w) \
    :: d_step { FAULTY && member_a && set[w] > gone[w] && version < MAXV -> leave(w); check() }
#else
#define LEAVE(w)
#endif

#ifdef SLOW_ACK
#define TAKE_ACK(w) \
    :: d_step { FAULTY && ACK_FITS(w) -> take_ack(w); check() } \
    :: d_step { FAULTY && attempt == RENAME_OUT && NEW_ACK_FITS(w) -> take_new_ack(w); check() }
#else
#define TAKE_ACK(w)
#endif

#ifdef SLOW_ANSWER
#define TAKE_ANSWER(w) \
    :: d_step { FAULTY && s_version > 0 && ANSWER_FITS(w) && !s_got[w] -> \
        take_answer(w, answer_left[w]); check() }
#else
#define TAKE_ANSWER(w)
#endif

active proctype ownership() {
    d_step {
        i = 0;
        do
        :: i < NW ->
            boot[i] = 1;
            if :: i < FIRST -> set[i] = 1; a_set[i] = 1 :: else fi;
#ifdef TWICE
            if :: i < FIRST -> p_set[i] = 1 :: else fi;
#endif
            i++
        :: else -> break
        od;
        i = 0
    };
    do
    /* Passing of time. */
    :: d_step { FAULTY -> tick(); printf("@ %d all tick\n", ticks); check() }

    /* The witnesses and A's messages to them. */
    WITNESS(0)
#if NW > 1
    WITNESS(1)
#endif
#if NW > 2
    WITNESS(2)
#endif
#if NW > 3
    WITNESS(3)
#endif

    /* A and its upstream. */
    :: d_step { FAULTY && version > a_version && a_member -> a_read(); check() }
    :: d_step { FAULTY && attempt == IDLE && a_member && a_version < MAXV -> a_rename(0, FIRST); check() }
#ifdef SWAP
    :: d_step { FAULTY && attempt == IDLE && a_member && a_version < MAXV ->
        a_rename(NW - FIRST, NW); check() }
#endif
#ifdef RELEASE
#ifdef NO_QUIET
    :: d_step { FAULTY && attempt == IDLE && a_member && a_owner == OWNER_A && a_version < MAXV ->
        a_release(); check() }
#else
    :: d_step { FAULTY && attempt == IDLE && a_member && a_owner == OWNER_A && a_version < MAXV && !request ->
        a_release(); check() }
#endif
    :: d_step { FAULTY && owner == OWNER_N && member_a && version < MAXV ->
        printf("@ %d N write_return %d\n", ticks, version + 1);
        n_owns = false; owner = OWNER_A; version++; check() }
#endif
    :: d_step { FAULTY && attempt != IDLE && !attempt_flying -> a_write(); check() }
#ifdef NO_READBACK
    :: d_step { FAULTY && attempt == RELEASE_OUT ->
        printf("@ %d A give_up %d\n", ticks, a_version + 1); attempt = IDLE; check() }
    :: d_step { FAULTY && attempt == RENAME_OUT ->
        printf("@ %d A give_up %d\n", ticks, a_version + 1); attempt = IDLE; check() }
#endif
    :: d_step { FAULTY && a_member && a_owner == OWNER_A && attempt != RELEASE_OUT && !fenced ->
        measure_lease();
        if
        :: lease_a > 0 ->
            printf("@ %d A dispatch %d\n", ticks, lease_a);
            request = true;
            if :: lease_a > grant -> grant = lease_a :: else fi
        :: else -> printf("@ %d A no_lease\n", ticks)
        fi;
        lease_a = 0;
        check() }
    :: d_step { FAULTY && request -> printf("@ %d upstream take %d\n", ticks, grant); request = false; check() }

    /* The platform. */
    :: d_step { FAULTY && attempt_flying -> take_attempt(); check() }
    :: d_step { FAULTY && s_flying -> take_removal(); check() }

    /* The sealer. */
    :: d_step { FAULTY && s_version != version && member_a -> s_read(); check() }
    :: d_step { FAULTY && !s_flying && s_version > 0 && s_version < MAXV ->
        measure_proof();
        if :: proved -> s_write() :: else -> printf("@ %d S blocked\n", ticks) fi;
        proved = false;
        check() }

#ifdef SUCCESSION
    /* A later life of A's instance. */
    :: d_step { FAULTY && !p_started ->
        printf("@ %d P fence\n", ticks);
        p_started = true;
#ifndef NO_FENCE
        fenced = true;
#endif
        check() }
    :: d_step { FAULTY && p_started && !p_flying && member_a && p_expect != version && version < MAXV ->
        p_write();
        check() }
    :: d_step { FAULTY && p_flying ->
        take_succession();
        check() }
#endif

#ifdef TWICE
    /* P's grants and its takeover. */
    :: d_step { p_joined -> p_grant(); check() }
    :: d_step { owner == OWNER_P && !q_read -> q_apply(); check() }
    :: d_step { q_read && owner == OWNER_P && !q_flying ->
        measure_successor_proof();
        if :: proved -> q_flying = true :: else fi;
        proved = false;
        check() }
    :: d_step { q_flying && owner == OWNER_P -> take_successor_removal(); check() }
#endif

#ifdef PROGRESS
    :: d_step { FAULTY -> rounds = 1; a_lost = false }
    :: d_step { FAULTY -> rounds = 1; a_lost = true }
    :: d_step { rounds > 0 && rounds <= ROUNDS -> calm_round() }
    :: rounds > ROUNDS -> break
#endif
    od
}
