"""Rendezvous hashing: owners that all hosts compute alike, without a message."""

from poplarrun.rendezvous._rendezvous import RankingCache, choose_owner, hash_name, rank_hosts

__all__ = ["RankingCache", "choose_owner", "hash_name", "rank_hosts"]
