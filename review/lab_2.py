"""Hosts of the deploy file on loopback, with the project's stand-in platform.

The scripts of review/6 to review/10 use it after deploy/build.sh and review/build-2.sh.
"""

import http.client
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LIBRARIES = (str(ROOT / "target/deps"), str(ROOT / "target/review-2"))
PLATFORM = ROOT / "review/platform_2.py"
sys.path[:0] = LIBRARIES
HELD, BROKEN, NOT_RUN = 0, 1, 2
try:
    from berylcleat.standins import (
        HOST_NAME,
        PATH_PREFIX,
        find_free_ports,
        make_operator_config,
    )
except ImportError as error:
    print(f"run deploy/build.sh and review/build-2.sh first: {error}")
    raise SystemExit(NOT_RUN) from error

# Those of the site harrow-lisle, as its settings file lists them.
CONTRACTS = (
    *("base", "drain", "config", "cost", "recover"),
    *("sched", "platform", "advice", "upkeep", "sharing"),
)
# Capacity of a worker there, about 32 cores and 125 GB.
CPU_MILLIS = 32_000
MEMORY_MB = 125_000
START_TIMEOUT_S = 40.0
# A script that takes longer ends as one that couldn't run.
MAX_SCRIPT_S = 115
# How long a client of the site waits for a response, and how often it asks again.
CLIENT_TIMEOUT_S = 3.0
N_CLIENT_RETRIES = 4


def is_disturbed() -> bool:
    """Return whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """File with a line for each thing that was sent, answered or seen."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began_at = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        """Write a line with the seconds since the start."""
        with self._lock:
            age_s = time.monotonic() - self._began_at
            self._file.write(f"{age_s:8.3f} {text}\n")
            self._file.flush()


def call(address, method, target, body=None, timeout_s=CLIENT_TIMEOUT_S):
    """Return status and body; the status is 0 without an answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    data = None if body is None else json.dumps(body)
    headers = {"Host": HOST_NAME, "Content-Type": "application/json"}
    try:
        connection.request(method, target, data, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class Lab:
    """Processes of one script: hosts, and a platform with its store and workers."""

    def __init__(self, record, n_hosts, n_workers, n_racks):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        ports = find_free_ports(2 + n_workers + 4 * n_hosts)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self.store, self.control, *rest = addresses
        workers, rest = rest[:n_workers], rest[n_workers:]
        self.hosts = [rest[4 * n : 4 * n + 4] for n in range(n_hosts)]
        self.process_by_name = {}
        settings = {
            "store_address": self.store,
            "control_address": self.control,
            "config": make_operator_config(),
            "workers": [
                {
                    "worker_id": f"w{n}",
                    "address": address,
                    "data_centre": "dc-1",
                    "rack": f"r{1 + n % n_racks}",
                    "cpu_millis": CPU_MILLIS,
                    "memory_mb": MEMORY_MB,
                }
                for n, address in enumerate(workers)
            ],
        }
        path = self._write_settings("platform", settings)
        self._spawn("platform", [str(PLATFORM), "--settings", str(path)], {})
        for number in range(n_hosts):
            self.start_host(number)

    def _write_settings(self, name, settings):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return path

    def start_host(self, number):
        """Start a host with the command of the deploy file."""
        front, ready, peer, metrics = self.hosts[number]
        settings = {
            "host_id": f"host-{number}",
            "data_centre": "dc-1",
            "front_address": front,
            "ready_address": ready,
            "peer_address": peer,
            "metrics_address": metrics,
            "store_address": self.store,
            "contracts": CONTRACTS,
        }
        path = self._write_settings(f"host-{number}", settings)
        variables = {"BERYLCLEAT_SETTINGS": str(path)}
        self._spawn(f"host-{number}", ["-m", "berylcleat.host"], variables)

    def _spawn(self, name, arguments, variables):
        environment = {**os.environ, "PYTHONPATH": ":".join(LIBRARIES), **variables}
        with open(self.folder / f"{name}.log", "ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )

    def log(self, name):
        """Return what a process has written."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def find_lines(self, text):
        """Return the messages of the hosts' logs that contain a text."""
        return [
            f"{name}: {json.loads(line)['message']}"
            for name in self.process_by_name
            if name != "platform"
            for line in self.log(name).splitlines()
            if text in line and line.startswith("{")
        ]

    def wait_ready(self):
        """Wait until all hosts are ready and the cells have owners."""
        deadline = time.monotonic() + START_TIMEOUT_S
        n_cells = 0
        while True:
            statuses = [self.readiness(n) for n in range(len(self.hosts))]
            n_known, n_cells = n_cells, len(self.find_lines("begins with"))
            if statuses == [200] * len(self.hosts) and n_cells and n_known == n_cells:
                break
            if time.monotonic() > deadline:
                self.record.write(f"not ready: {statuses}, {n_cells} cells")
                raise SystemExit(NOT_RUN)
            time.sleep(1.0)
        # Other hosts learn the owners' loads from their next heartbeats.
        time.sleep(2.5)
        self.record.write(f"{len(self.hosts)} hosts are ready, {n_cells} cells")

    def readiness(self, number, timeout_s=1.0):
        """Return the status of a host's readiness probe."""
        return call(
            self.hosts[number][1], "GET", "/api/readiness", timeout_s=timeout_s
        )[0]

    def request(self, number, method, submission_id, body=None):
        """Send a client's request to a host; return the status and the state."""
        target = f"{PATH_PREFIX}{submission_id}"
        status, data = call(self.hosts[number][0], method, target, body)
        state = json.loads(data).get("state", "") if data.startswith(b"{") else ""
        answer = status or "no answer"
        self.record.write(
            f"{method} {submission_id} to host-{number}: {answer} {state}"
        )
        return status, state

    def submit(self, number, submission_id, body):
        """Submit as a client does, and again at the next host if that failed."""
        status = 0
        for n in range(1 + N_CLIENT_RETRIES):
            host = (number + n) % len(self.hosts)
            status = self.request(host, "POST", submission_id, body)[0]
            if status == 200:
                break
            time.sleep(0.5)
        return status

    def ledger(self):
        """Return what the workers have run."""
        return json.loads(call(self.control, "GET", "/ledger", timeout_s=30.0)[1])

    def command(self, target, **body):
        """Have the stand-in platform do something."""
        self.record.write(f"platform: {target} {body}")
        call(self.control, "POST", target, body, timeout_s=10.0)

    def peak_mb(self, number):
        """Return the largest resident memory that a host has had."""
        pid = self.process_by_name[f"host-{number}"].pid
        try:
            text = Path(f"/proc/{pid}/status").read_text()
        except OSError:
            return 0
        lines = [line for line in text.splitlines() if line.startswith("VmHWM")]
        return int(lines[0].split()[1]) // 1024 if lines else 0

    def stop(self):
        """End all processes that this script started."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def _give_up(*_):
    """End the script, by its own time limit or because it is told to."""
    raise SystemExit(NOT_RUN)


def run_case(folder, play, n_hosts, n_workers, n_racks):
    """Run ``play`` with a lab; exit with what it returns.

    An error of the script itself doesn't count as a broken rule.
    """
    record = Record(Path(folder) / "record.txt")
    signal.signal(signal.SIGALRM, _give_up)
    signal.signal(signal.SIGTERM, _give_up)
    signal.alarm(MAX_SCRIPT_S)
    lab = None
    try:
        lab = Lab(record, n_hosts, n_workers, n_racks)
        lab.wait_ready()
        is_broken = play(lab, is_disturbed())
    except Exception as error:
        record.write(f"the case couldn't run: {type(error).__name__}: {error}")
        raise SystemExit(NOT_RUN) from error
    finally:
        signal.alarm(0)
        if lab is not None:
            lab.stop()
    record.write("the rule was broken" if is_broken else "the rule held")
    raise SystemExit(BROKEN if is_broken else HELD)


class Probes:
    """Readiness probes of all hosts, one a second as the platform sends them."""

    def __init__(self, lab):
        self._lab = lab
        self._is_over = False
        self.longest_s = [0.0] * len(lab.hosts)
        self._threads = [
            threading.Thread(target=self._probe, args=(n,), daemon=True)
            for n in range(len(lab.hosts))
        ]
        for thread in self._threads:
            thread.start()

    def _probe(self, number):
        silent_since = None
        while not self._is_over:
            sent_at = time.monotonic()
            status = self._lab.readiness(number)
            if status:
                silent_since = None
            else:
                silent_since = silent_since or sent_at
                silent_s = time.monotonic() - silent_since
                self.longest_s[number] = max(self.longest_s[number], silent_s)
                self._lab.record.write(f"probe of host-{number}: no answer")
            time.sleep(max(0.0, sent_at + 1.0 - time.monotonic()))

    def stop(self):
        """End the probes; write for how long each host was silent on end."""
        self._is_over = True
        for thread in self._threads:
            thread.join()
        for number, longest_s in enumerate(self.longest_s):
            self._lab.record.write(
                f"host-{number}: answered no probe for up to {longest_s:.1f} s, "
                f"largest memory {self._lab.peak_mb(number)} MB"
            )


class Callers:
    """Ordinary clients: each second one hands in a small submission."""

    def __init__(self, lab):
        self._lab = lab
        self._is_over = False
        self.status_by_id = {}
        self._threads = []
        self._main = threading.Thread(target=self._run, daemon=True)
        self._main.start()

    def _run(self):
        number = 0
        while not self._is_over:
            number += 1
            thread = threading.Thread(target=self._call, args=(number,), daemon=True)
            thread.start()
            self._threads.append(thread)
            time.sleep(1.0)

    def _call(self, number):
        submission_id = f"{0xCA11_0000 + number:016x}"
        step = {"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 200}
        body = {"spec": json.dumps({"run_s": 0.2}), "steps": [step]}
        host = number % len(self._lab.hosts)
        self.status_by_id[submission_id] = self._lab.submit(host, submission_id, body)

    def stop(self):
        """End the calls; write what became of them."""
        self._is_over = True
        self._main.join()
        for thread in self._threads:
            thread.join()
        accepted = [name for name, status in self.status_by_id.items() if status == 200]
        states = []
        readers = [
            threading.Thread(
                target=lambda name=name: states.append(
                    self._lab.request(0, "GET", name)[1]
                )
            )
            for name in accepted
        ]
        for thread in readers:
            thread.start()
        for thread in readers:
            thread.join()
        self._lab.record.write(
            f"ordinary callers: {len(accepted)} of {len(self.status_by_id)} were "
            f"accepted, of these {states.count('done')} are done"
        )
