"""How far two data centres are from each other."""

import enum


class Distance(enum.IntEnum):
    """The network between two data centres, from near to far."""

    SAME = 0
    REGION = 1
    OTHER_REGION = 2


class Distances:
    """The distances from the data centre of this entry.

    A data centre of unknown region is in another one::

        distances = Distances("a-1", {"a-1": "a", "a-2": "a"})
        assert distances.get("a-2") is Distance.REGION
    """

    __slots__ = ("_data_centre", "_region_by_data_centre")

    def __init__(self, data_centre, region_by_data_centre):
        self._data_centre = data_centre
        self._region_by_data_centre = region_by_data_centre

    def get(self, data_centre):
        """Return the `Distance` of a data centre."""
        if data_centre == self._data_centre:
            return Distance.SAME
        region = self._region_by_data_centre.get(data_centre)
        own_region = self._region_by_data_centre.get(self._data_centre)
        if region is not None and region == own_region:
            return Distance.REGION
        return Distance.OTHER_REGION
