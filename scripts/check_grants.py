"""Checks from the daemons' log lines that fencing tokens rise and that no two upstreams hold a key at once.

    scripts/check_grants.py [FILE...]

Reads the logs of all daemons, by default from standard input: one JSON object a line, with or without a prefix. Lines
are taken in the order of their field `time`. Prints each violation and a summary; exits with 1 if there is one, and
with 2 if there are no lines about grants, or some can't be read.

The lines tell what daemons send and believe. A hold that a daemon takes for ended while it goes on is not found, nor one
that was granted by an earlier process of a daemon; a token that was sent may not have been accepted.
"""

import fileinput
import json
import re
import sys

GRANTED, ENDED, STARTED = "keys granted", "keys no longer held", "upstream started"
EVENT = re.compile(f'"event":"({GRANTED}|{ENDED}|{STARTED})"')

# Shortest overlap that is reported, in milliseconds: clocks of machines differ.
MIN_OVERLAP_MS = 300


def read_events(lines):
    """Returns the lines about grants, in order, and how many of them can't be read."""
    events, unread = [], 0
    for line in lines:
        for match in EVENT.finditer(line):
            try:
                # Another line may have been cut off in the middle of this one.
                event, _ = json.JSONDecoder().raw_decode(line, line.rindex('{"', 0, match.start()))
                events.append(event)
            except ValueError:
                unread += 1
    events.sort(key=lambda event: event["time"])
    return events, unread


def ranges(text):
    """Yields first key, last key and fencing token of each range."""
    for part in text.split():
        keys, fence = part.split(":")
        first, last = keys.split("-")
        yield int(first), int(last), int(fence)


class Key:
    """History of one key."""

    def __init__(self):
        # Highest token of each life that was granted the key.
        self.tokens = {}
        # Lives that may hold the key.
        self.holders = set()
        # Lives whose hold another one's grant has met, and the time of that grant.
        self.met = {}


class Checker:
    """Follows who may hold each key, as the daemons believe."""

    def __init__(self):
        self.keys = {}
        # Latest start of a life in each slot.
        self.born = {}
        self.grants = 0
        self.violations = {}

    def report(self, kind, key, event, text):
        """Records a violation; those of neighbouring keys by the same line are one."""
        place = (kind, event["time"], event["instance"], text)
        self.violations.setdefault(place, []).append(key)

    def apply(self, event):
        """Applies a line."""
        life = (event["instance"], event["life"], event["born"])
        if event["event"] == STARTED:
            self.end_slot(life)
            return
        for first, last, fence in ranges(event["keys"]):
            for key in range(first, last + 1):
                state = self.keys.setdefault(key, Key())
                if event["event"] == GRANTED:
                    self.grant(state, key, life, fence, event)
                else:
                    self.end(state, key, life, event)

    def end_slot(self, life):
        """A new life in a slot, or a new process of its daemon, which doesn't tell when earlier grants end."""
        if life[2] < self.born.get(life[0], 0):
            return
        self.born[life[0]] = life[2]
        for state in self.keys.values():
            for other in [other for other in state.holders if other[0] == life[0]]:
                state.holders.discard(other)
                state.met.pop(other, None)

    def grant(self, state, key, life, fence, event):
        """A grant of a key."""
        self.grants += 1
        for other, token in state.tokens.items():
            if other != life and fence <= token or other == life and fence < token:
                text = f"{life[1]} of {life[0]} gets it under {fence}, record {event['record']}; "
                self.report("TOKEN", key, event, text + f"{other[1]} of {other[0]} had it under {token}")
        state.tokens[life] = max(fence, state.tokens.get(life, 0))
        # Its line about the end of an earlier hold, if there was one, was dropped.
        state.met.pop(life, None)
        for other in state.holders - {life}:
            state.met.setdefault(other, (event["time"], life))
        state.holders.add(life)

    def end(self, state, key, life, event):
        """The end of a hold, which the daemon may have noticed late."""
        state.holders.discard(life)
        met = state.met.pop(life, None)
        ended = event["time"] - event["expired_ms_ago"]
        if met and ended - met[0] >= MIN_OVERLAP_MS:
            text = f"{life[1]} of {life[0]} could hold it for {ended - met[0]} ms after its grant to {met[1][1]} of {met[1][0]}"
            self.report("TWO HOLDERS", key, event, text)


def main():
    """Checks the logs named on the command line."""
    checker = Checker()
    events, unread = read_events(fileinput.input())
    for event in events:
        checker.apply(event)
    for (kind, time, _, text), keys in sorted(checker.violations.items(), key=lambda item: item[0][1]):
        print(f"{kind} at {time}: {len(keys)} keys from {min(keys)}: {text}")
    print(f"{checker.grants} grants of keys, {unread} lines not read, {len(checker.violations)} violations")
    if checker.violations:
        sys.exit(1)
    sys.exit(2 if unread or not checker.grants else 0)


main()
