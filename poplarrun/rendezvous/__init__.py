"""Rendezvous hashing: every host computes the same owner of a key without communication."""

from poplarrun.rendezvous._rendezvous import RankingCache, choose_owner, hash_name, rank_hosts

__all__ = ["RankingCache", "choose_owner", "hash_name", "rank_hosts"]
