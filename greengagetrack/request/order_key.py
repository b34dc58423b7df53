"""The text by which all processes know an order that has a key."""

SEPARATOR = "|"
# No name has it: it can't be in the header that names an organisation.
REPLACEMENT = "\0"


def get_order_key(service, organisation, key):
    """Return the text of the key of an organisation's order.

    It differs from those of all other organisations, whatever the names and
    keys contain. The usual names stay as they are, for the processes of
    other versions.
    """
    names = [
        name.replace(SEPARATOR, REPLACEMENT)
        for name in (service, organisation)
    ]
    return SEPARATOR.join([*names, key])
