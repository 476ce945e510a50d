"""Breaks copies of the project on purpose, and sees that a check notices.

Each broken build undoes one mechanism. A scenario or test that still passes on
it proves nothing of that mechanism.
"""

from concurrent import futures
import pathlib
import shutil
import subprocess
import sys
import tempfile

from tools import broken_box_builds
from tools import broken_build
from tools import broken_connection_builds
from tools import broken_decoder_builds
from tools import broken_evidence_builds

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPIED = (
    "martenjunction",
    "martenjunction_lab",
    "features",
    "examples",
    "tests",
    "tools",
    "pyproject.toml",
)
AT_ONCE = 3

# How behave and pytest end where a check failed.
CHECK_FAILED = 1

LEASE = "martenjunction/decisions/duties/lease.py"
LEASE_TESTS = "tests/test_lease_decisions.py"


BrokenBuild = broken_build.BrokenBuild

# Those that break a promise of docs/notes/promises.md.
BUILDS = (
    BrokenBuild(
        "the lowest tier goes first",
        "martenjunction/decisions/cells/granting.py",
        "tier = present[0] if due is None else due",
        "tier = present[-1]",
        "A burst of the lowest tier costs the highest nothing",
    ),
    BrokenBuild(
        "nothing is preempted",
        "martenjunction/decisions/cells/dispatcher.py",
        "if self._settings.preempt:",
        "if False:",
        "A run of a lower tier is moved for a higher one",
    ),
    BrokenBuild(
        "no share for lower tiers",
        "martenjunction/decisions/cells/tiers.py",
        "        if not overdue:\n            return None\n",
        "        return None\n",
        "The lowest tier moves under a flood of the highest",
    ),
    BrokenBuild(
        "half an event is kept when a run goes on",
        "martenjunction/endpoints/engine_protocol.py",
        '        """Discards an incomplete event before a run continues."""\n'
        '        self._tail = b""',
        '        """Keeps half an event."""',
        "An engine cuts streams in the middle of events",
    ),
    BrokenBuild(
        "the id of an answer is not looked at",
        "martenjunction/endpoints/engine_protocol.py",
        "if answered != request_id:",
        "if False:",
        "An engine answers for another request",
    ),
    BrokenBuild(
        "a broken run begins anew",
        "martenjunction/endpoints/engine_protocol.py",
        "if delivered.tokens:",
        "if False:",
        "An engine crashes in the middle of answers, twice",
        (
            "martenjunction/endpoints/engine_protocol.py",
            "if last != self._tokens + numbered:",
            "if False:",
        ),
    ),
    BrokenBuild(
        "every failure counts as not reached",
        "martenjunction/endpoints/client.py",
        "if number in _BEFORE_SENDING and request_bytes == 0:",
        "if True:",
        "A service runs a call and dies before it answers",
    ),
    BrokenBuild(
        "a call uses a kept connection",
        "martenjunction/endpoints/client.py",
        "1 if once else 0",
        "0",
        "A kept connection proves dead after the call was taken",
    ),
    BrokenBuild(
        "keys are not claimed",
        "martenjunction/callers/service.py",
        "if request.repeatable or not request.idempotency_key:",
        "if True:",
        "A caller comes back with its key through another box",
    ),
    BrokenBuild(
        "a lost reply counts as a refusal",
        "martenjunction/claims/shards.py",
        "except errors.PlatformUnavailableError:",
        "except ZeroDivisionError:",
        "The platform takes a claim and its reply is lost",
    ),
    BrokenBuild(
        "leaving endpoints are used",
        "martenjunction/cells/cell.py",
        "if endpoint.leaving:",
        "if False:",
        "An engine is listed as leaving under load",
    ),
    BrokenBuild(
        "a planned stop does not wait",
        "martenjunction/planned_stop.py",
        "            await asyncio.sleep(settings.entry_ttl)\n"
        "            await _finish_requests(listening, callers)",
        "            await asyncio.sleep(0)",
        "One daemon is stopped under load",
    ),
    BrokenBuild(
        "older versions are put in force",
        "martenjunction/config/store.py",
        "if item.version > self.version_of(item.key):",
        "if item.version != self.version_of(item.key):",
        "The platform goes back to an older state",
    ),
    BrokenBuild(
        "peers do not pull configuration",
        "martenjunction/peers/sync.py",
        "self._peers.send(box, messages.PullObjects(after))",
        "pass",
        "A box that starts while the platform is down",
    ),
    BrokenBuild(
        "a lost reply of apply is not looked up",
        "martenjunction/objects/configuration.py",
        "            if change.change_id == change_id:\n"
        "                return change\n",
        "            continue\n",
        "The platform loses every reply",
    ),
    BrokenBuild(
        "requests stay with a dead owner",
        "martenjunction/cells/broker.py",
        "        if not changed:\n            return\n",
        "        return\n",
        "The platform is down and the owner of a cell is killed",
    ),
    BrokenBuild(
        "slow endpoints are not found",
        "martenjunction/decisions/endpoint_states.py",
        "return self.samples >= MIN_SAMPLES and slow",
        "return False",
        "A slow engine that reports no load is found",
    ),
    BrokenBuild(
        "a confirmation counts from its answer",
        LEASE,
        """        elif self.holds:
            self._confirmed_at = asked_at
""",
        """        elif self.holds:
            self._confirmed_at = now
""",
        f"{LEASE_TESTS}::test_confirmation_counts_from_its_request",
    ),
    BrokenBuild(
        "a write confirms from its answer",
        LEASE,
        """            self._heard_at = now
            self._confirmed_at = asked_at
""",
        """            self._heard_at = now
            self._confirmed_at = now
""",
        f"{LEASE_TESTS}::test_own_write_confirms_from_its_request",
    ),
    BrokenBuild(
        "a conflict ends no confirmation",
        LEASE,
        """revision last seen.\"\"\"
        self._confirmed_at = None
""",
        """revision last seen.\"\"\"
""",
        f"{LEASE_TESTS}::test_conflict_ends_the_confirmation",
    ),
    BrokenBuild(
        "a heartbeat of a later holder ends no tenure",
        LEASE,
        "if told.tenure.fence > self._fence and self.holds:",
        "if False:",
        f"{LEASE_TESTS}::test_heartbeat_of_a_later_holder_ends_the_tenure",
    ),
    BrokenBuild(
        "a heartbeat of a former holder is taken",
        LEASE,
        "if told.tenure.fence < self._fence:",
        "if False:",
        f"{LEASE_TESTS}::test_heartbeat_of_a_former_holder_delays_no_takeover",
    ),
    BrokenBuild(
        "a box that gave the duties up stays in its phase",
        LEASE,
        "self._phase = Phase.RELEASED",
        "pass",
        f"{LEASE_TESTS}::test_box_that_gave_the_duties_up_takes_none",
    ),
    BrokenBuild(
        "a holder goes on without its record",
        LEASE,
        """        if found is None:
            if self.holds:
                self._follow()
            return
""",
        """        if found is None:
            return
""",
        f"{LEASE_TESTS}::test_record_that_is_gone_ends_the_tenure",
    ),
    BrokenBuild(
        "a new holder waits for no calls",
        LEASE,
        "self._acts_from = now + TAKEOVER_WAIT_S",
        "self._acts_from = now",
        f"{LEASE_TESTS}::test_new_holder_waits_for_the_calls_of_the_former_one",
    ),
    *broken_box_builds.BUILDS,
    *broken_evidence_builds.BUILDS,
    *broken_decoder_builds.OF_PROMISES,
)

ALL = (
    *BUILDS,
    *broken_decoder_builds.OTHERS,
    *broken_connection_builds.BUILDS,
)


def _copy(name: str, copy: pathlib.Path) -> None:
    source = ROOT / name
    if source.is_dir():
        shutil.copytree(source, copy / name)
    else:
        shutil.copy(source, copy / name)


def _command(check: str) -> list[str]:
    """Returns the arguments of `python -m` that run a scenario or a test."""
    if "::" in check:
        return ["pytest", "-q", "--no-header", "-p", "no:cacheprovider", check]
    return ["behave", "--name", check, "--no-color", "--format=progress3"]


def _edit(copy: pathlib.Path, name: str, old: str, new: str) -> None:
    file = copy / name
    text = file.read_text(encoding="utf-8")
    if text.count(old) != 1:
        raise SystemExit(f"{name}: the text to break is not there")
    file.write_text(text.replace(old, new), encoding="utf-8")


def notices(build: BrokenBuild) -> bool:
    """Returns whether the scenario or test fails on the broken build."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for name in COPIED:
            _copy(name, copy)
        _edit(copy, build.file, build.old, build.new)
        if build.also is not None:
            _edit(copy, *build.also)
        done = subprocess.run(
            [sys.executable, "-m", *_command(build.scenario)],
            cwd=copy,
            check=False,
            capture_output=True,
            text=True,
        )
    passed = "1 scenario passed" in done.stdout or " passed in" in done.stdout
    failed = done.returncode == CHECK_FAILED
    if not (passed or failed):
        raise SystemExit(f"{build.name}: the check did not run")
    return failed


def main() -> int:
    """Tries the builds; returns 1 if one of them goes unnoticed.

    Words on the command line choose builds by parts of their names.
    """
    chosen = [
        build
        for build in ALL
        if not sys.argv[1:] or any(w in build.name for w in sys.argv[1:])
    ]
    with futures.ThreadPoolExecutor(AT_ONCE) as pool:
        found = list(pool.map(notices, chosen))
    for build, noticed in zip(chosen, found, strict=True):
        word = "noticed" if noticed else "NOT NOTICED"
        print(f"{word}: {build.name} ({build.scenario})")
    return int(not all(found))


if __name__ == "__main__":
    sys.exit(main())
