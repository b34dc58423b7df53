"""How many requests a warming server may get, from whom, and how long.

Load pattern: a server that has just started, or is warming again, takes few
requests per second from all entries together for some seconds, and crashes
well above that. Often a whole data centre is warming at once, idle beside
servers that are busy, so that all entries prefer it at the same moment. The
bound holds in each second, however many entries there are, which owner of
the permits they believe in, and whom they can reach.

While entries disagree on who is alive, two owners may give permits for a
moment, and some entries hear none and send by turns: all that together keeps
to the bound. After its warming a server is led back to full load in steps::

    pace = get_pace(per_s=17.0, ratio=1.5, slack=5.0)
    spell = Spell(pace, until_s=103.0)
    assert spell.get_pace(100.0) == pace
    assert spell.get_pace(103.5).per_s > pace.per_s
    assert spell.get_pace(110.0) is None
"""

import msgspec

# How long one owner may still give permits when the next one begins: more
# than the time between two exchanges.
OVERLAP_S = 0.5
OWNERS_MAX = 2
# What entries without an owner may send, as a part of the bound.
TURN_SHARE = 0.1
# What an owner saves up, as a part of the bound, and at least one permit.
BURST_SHARE = 1 / 15
BURST_S = 0.5
BURST_MIN = 1.0
# Requests that permits let out over this longer time may arrive in one
# second: links and entries delay them unevenly.
BUNCHING_S = 0.2
# With less there would be no permits for whole spells.
RATE_SHARE_MIN = 0.1
RAMP_S = 1.5
RAMP_FACTOR = 2.0
# A word on the end of a spell is this uncertain: it was on its way.
NEWS_TOLERANCE_S = 0.5
# A longer spell is told again before this is over.
SPELL_MAX_S = 60.0


class Pace(msgspec.Struct, frozen=True):
    """The permits for one server: those of its owner, and of all turns.

    `burst` is how many permits an owner may save up.
    """

    per_s: float
    burst: float
    turns_per_s: float

    def get_turn_share(self):
        """Return what all turns take, as a part of the owner's rate."""
        return self.turns_per_s / self.per_s if self.per_s else 0.0


class Spell(msgspec.Struct, frozen=True):
    """The time until `until_s` in which a server is warming."""

    pace: Pace
    until_s: float

    def is_warming(self, now_s):
        """Return whether the server is still warming."""
        return now_s < self.until_s

    def get_pace(self, now_s):
        """Return the `Pace` now, None once the server takes all."""
        if self.is_warming(now_s):
            return self.pace
        if now_s >= self.until_s + RAMP_S:
            return None
        pace = self.pace
        return Pace(
            pace.per_s * RAMP_FACTOR,
            pace.burst * RAMP_FACTOR,
            pace.turns_per_s * RAMP_FACTOR,
        )


def get_pace(per_s, ratio, slack):
    """Return the `Pace` for a server that takes `per_s` while it is warming.

    In any second it may get `ratio` times that and `slack` more.
    """
    bound = per_s * ratio + slack
    # Whatever the bound allows, neither is much against the rate.
    burst = max(min(bound * BURST_SHARE, per_s * BURST_S), BURST_MIN)
    owned = bound * (1 - TURN_SHARE) - burst * OWNERS_MAX
    safe_per_s = owned / (1 + BUNCHING_S + OVERLAP_S)
    owner_per_s = min(per_s, max(safe_per_s, bound * RATE_SHARE_MIN))
    turns_per_s = min(bound * TURN_SHARE, owner_per_s)
    return Pace(owner_per_s, burst, turns_per_s)


def get_later_end(known_s, told_s, is_observed):
    """Return when a spell ends, of what is known and what is told.

    `known_s` is None without a spell. What this entry observed itself counts
    to the moment. What others tell has been on its way, and would grow with
    each entry that passes it on.
    """
    if known_s is None:
        return told_s
    tolerance_s = 0.0 if is_observed else NEWS_TOLERANCE_S
    return told_s if told_s > known_s + tolerance_s else known_s
