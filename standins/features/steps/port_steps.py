import subprocess
import sys
from collections import Counter

from behave import then, when

TAKE_PORTS = """
from berylcleat.standins import find_free_ports
print(*find_free_ports({n}), flush=True)
input()
"""


@when("{n_processes:d} processes take {n_ports:d} ports each at the same time")
def step_take_ports(context, n_processes, n_ports):
    command = [sys.executable, "-c", TAKE_PORTS.format(n=n_ports)]
    processes = [
        subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(n_processes)
    ]
    context.ports = [process.stdout.readline().split() for process in processes]
    for process in processes:
        process.communicate("\n")
    assert all(len(ports) == n_ports for ports in context.ports)


@then("no port was taken twice")
def step_distinct(context):
    counts = Counter(port for ports in context.ports for port in ports)
    assert max(counts.values()) == 1, counts.most_common(3)
