"""Retry decisions, retry budgets and back-off.

A *downstream call* is one that a backend server makes while it serves a
request; the *allowance* is the number of extra attempts that a request and all
of its downstream calls may make together.
"""
