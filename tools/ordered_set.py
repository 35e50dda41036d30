"""A set for simulations, whose runs must not depend on addresses of objects."""

__all__ = ["OrderedSet"]


class OrderedSet(dict):
    """A set that iterates in insertion order.

    A built-in set of objects iterates in the order of their addresses, which differs between runs.
    """

    def add(self, item: object) -> None:
        """Adds an item to the end, if it is not in the set."""
        self[item] = None

    def discard(self, item: object) -> None:
        """Removes an item if it is in the set."""
        self.pop(item, None)
