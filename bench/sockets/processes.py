"""CPU time and memory of a process, from ``/proc``."""

import os
import pathlib

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
#: Positions of the user and system time in ``stat``, after the command's name.
USER_FIELD = 11
SYSTEM_FIELD = 12
KIBIBYTE_PER_MEBIBYTE = 1024


def read_cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    return ticks / TICKS_PER_S


def read_memory_mebibytes(pid: int) -> float:
    """Returns the resident memory of a process."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / KIBIBYTE_PER_MEBIBYTE
    raise ValueError(f'process {pid} has no VmRSS')
