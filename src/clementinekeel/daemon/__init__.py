"""The node process.

A request passes through two nodes: the *entry node*, which receives it from
the caller (module ``entry``), and the *owner*, the node on the VM of the
chosen backend server (module ``owner``). Each node plays both parts.
"""
