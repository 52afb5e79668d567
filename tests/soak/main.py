#!/usr/bin/python3
"""Fault soak of the real programs: processes on the loopback, faults from outside, promises checked.

Each seed is one run; its logs stay where a finding shows. Exit status 1 if any run has findings.
"""

import argparse
import asyncio
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import faults
import world

STOPPED = 143  # exit status after SIGTERM
STOP_TIME = 2.0  # seconds that runs have to end their processes


def read_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="build/caraway-node")
    parser.add_argument("--seed", type=int, default=1, help="seed of the first run")
    parser.add_argument("--seeds", help="seeds, separated by commas; instead of --seed and --runs")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=1, help="runs at the same time")
    parser.add_argument("--seconds", type=float, default=15, help="of faults in each run")
    parser.add_argument("--entries", type=int, default=5)
    parser.add_argument("--engines", type=int, default=5, help="model engines, each with an agent")
    parser.add_argument("--services", type=int, default=2, help="endpoints of each of the two services")
    parser.add_argument("--callers", type=int, default=40)
    parser.add_argument("--crashers", type=int, default=0, help="callers whose request crashes endpoints")
    parser.add_argument("--tainted", type=int, default=0, help="callers whose prompts share a part that crashes endpoints")
    parser.add_argument("--series", type=int, default=3, help="of faults side by side")
    parser.add_argument("--generation", type=int, default=faults.GENERATION, help="of the kinds of fault; see faults.py")
    parser.add_argument("--kinds", default="", help="kinds of fault, separated by commas; all that the seed draws if empty")
    parser.add_argument("--no-agents", action="store_true", help="no agents run beside the engines")
    parser.add_argument("--logs", help="folder for the logs of runs with findings")
    parser.add_argument("--one", action="store_true", help=argparse.SUPPRESS)
    return parser.parse_args()


def stop_now(played):
    """Ends the processes of a run, then this one, without waiting for tasks: they may go on after a cancellation."""
    played.kill_all()
    os._exit(STOPPED)


def run_one(options):
    folder = options.logs
    os.makedirs(folder, exist_ok=True)
    kinds = [name for name in options.kinds.split(",") if name]
    sizes = {name: getattr(options, name) for name in ("entries", "engines", "services", "callers", "crashers", "tainted", "no_agents")}

    async def play():
        played = world.World(options.seed, sizes, os.path.abspath(options.program), folder)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_now, played)
        try:
            await played.play(faults.Faults(options.seed, options.series, options.generation, kinds), options.seconds)
        finally:
            played.kill_all()
        return played

    played = asyncio.run(play())
    counts = {str(key): value for key, value in played.ledger.counts.items()}
    asked = len(played.ledger.requests)
    print(f"seed {options.seed}: {asked} requests, {counts}, store calls {played.store.calls}")
    for promise, text in played.ledger.findings[:10]:
        print(f"  {promise}: {text}")
    if len(played.ledger.findings) > 10:
        print(f"  and {len(played.ledger.findings) - 10} more")
    return 1 if played.ledger.findings else 0


class Stop:
    """Set by SIGTERM and SIGINT; a handler that raised could lose a process that is just being started."""

    def __init__(self):
        self.is_set = False
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self.set)

    def set(self, *_):
        self.is_set = True


def play_all(options, seeds, logs, stop):
    """Runs the seeds, some at a time, each in a process of its own; returns those with findings and those not finished."""
    running, bad, waiting, started = {}, [], list(seeds), 0
    passed = ["program", "seconds", "entries", "engines", "services", "callers", "crashers", "tainted", "series", "generation", "kinds"]
    while (waiting or running) and not stop.is_set:
        while waiting and len(running) < options.jobs:
            seed = waiting.pop(0)
            started += 1
            folder = os.path.join(logs, f"{seed}-{started}")
            command = [sys.executable, __file__, "--one", "--seed", str(seed), "--logs", folder]
            for name in passed:
                command += [f"--{name}", str(getattr(options, name))]
            command += ["--no-agents"] if options.no_agents else []
            running[folder] = (subprocess.Popen(command, start_new_session=True), seed)
        for folder, (process, seed) in list(running.items()):
            if process.poll() is None:
                continue
            del running[folder]
            if process.returncode == 0:
                shutil.rmtree(folder, ignore_errors=True)
            else:
                bad.append(seed)
        time.sleep(0.1)
    end_all([process for process, _ in running.values()])
    return bad, [seed for _, seed in running.values()] + waiting


def end_all(processes):
    """SIGTERM, then SIGKILL to the whole session of each run, where something of it may be left."""
    for process in processes:
        process.terminate()
    until = time.monotonic() + STOP_TIME
    for process in processes:
        while time.monotonic() < until and not os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT | os.WNOHANG):
            time.sleep(0.02)
        os.killpg(process.pid, signal.SIGKILL)  # before the id is free again
        process.wait()


def main():
    options = read_arguments()
    if options.one:
        return run_one(options)
    stop = Stop()
    if options.seeds:
        seeds = [int(seed) for seed in options.seeds.split(",")]
    else:
        seeds = list(range(options.seed, options.seed + options.runs))
    logs = options.logs or tempfile.mkdtemp(prefix="caraway-soak-")
    begun = time.monotonic()
    bad, unfinished = play_all(options, seeds, logs, stop)
    took = time.monotonic() - begun
    print(f"{took:.0f} s; seeds with findings: {bad or 'none'}" + (f"; logs in {logs}" if bad else ""))
    if unfinished:
        print(f"seeds not finished: {', '.join(str(seed) for seed in unfinished)}")
        return STOPPED
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
