"""Rendezvous hashing: owners that all hosts compute alike, without a message."""

from poplarrun.rendezvous._rendezvous import Ranking, home_of, rank_hosts, salt_of

__all__ = ["Ranking", "home_of", "rank_hosts", "salt_of"]
