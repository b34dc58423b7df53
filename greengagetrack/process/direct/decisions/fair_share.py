"""Which kinds of requests ask for more than their share of a pool.

Load pattern: one kind asks for more than a pool can do, and kinds that ask
for little would wait behind it, stage after stage, until all of their answers
are late. Shares are max-min fair: a kind that asks for less than an equal
part gets all of it, and the others divide what it leaves.
"""


def find_excess(rate_by_kind, capacity):
    """Return the kinds that ask for more than their share of `capacity`.

    While all together ask for no more, there are none::

        assert find_excess({"a": 7.0, "b": 2.0}, 10.0) == set()
        assert find_excess({"a": 9.0, "b": 2.0}, 10.0) == {"a"}
    """
    kinds = sorted(rate_by_kind, key=rate_by_kind.get)
    for index, kind in enumerate(kinds):
        equal_part = capacity / (len(kinds) - index)
        if rate_by_kind[kind] > equal_part:
            return frozenset(kinds[index:])
        capacity -= rate_by_kind[kind]
    return frozenset()
