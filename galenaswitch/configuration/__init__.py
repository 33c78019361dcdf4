"""Configuration: its versions, their relays and the status of each zone."""

from galenaswitch.configuration.catalog import Catalog, Item

__all__ = ('Catalog', 'Item')
