"""Measurements that anyone can repeat; each prints a table and how it was made."""
