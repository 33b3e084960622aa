"""Processor time and memory of processes."""

import os

from standins import fleet

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB_PER_MIB = 1024


def cpu_s(process: fleet.Process) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def rss_mib(process: fleet.Process) -> float:
    """Return the resident memory of a process, in MiB."""
    with open(f"/proc/{process.pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / KIB_PER_MIB
    return 0.0
