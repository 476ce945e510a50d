"""Breaks copies of the project on purpose, and sees that a scenario notices.

Each broken build undoes one mechanism. A scenario that still passes on it
proves nothing of that mechanism.
"""

from concurrent import futures
import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPIED = ("martenjunction", "martenjunction_lab", "features", "examples")
AT_ONCE = 3


@dataclasses.dataclass(frozen=True)
class BrokenBuild:
    """One mechanism undone.

    Attributes:
        name: What is undone.
        file: Where.
        old: The text that does it.
        new: What stands there in its place.
        scenario: The scenario that has to notice.
        also: A second mechanism that has to go as well, since each of the two
            is enough: file, old and new text.
    """

    name: str
    file: str
    old: str
    new: str
    scenario: str
    also: tuple[str, str, str] | None = None


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
)


def _edit(copy: pathlib.Path, name: str, old: str, new: str) -> None:
    file = copy / name
    text = file.read_text(encoding="utf-8")
    if text.count(old) != 1:
        raise SystemExit(f"{name}: the text to break is not there")
    file.write_text(text.replace(old, new), encoding="utf-8")


def notices(build: BrokenBuild) -> bool:
    """Returns whether the scenario fails on the broken build."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder)
        for name in COPIED:
            shutil.copytree(ROOT / name, copy / name)
        _edit(copy, build.file, build.old, build.new)
        if build.also is not None:
            _edit(copy, *build.also)
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "behave",
                "--name",
                build.scenario,
                "--no-color",
                "--format=progress3",
            ],
            cwd=copy,
            check=False,
            capture_output=True,
            text=True,
        )
    ran = "1 scenario passed" in done.stdout or done.returncode != 0
    if not ran:
        raise SystemExit(f"{build.name}: the scenario did not run")
    return done.returncode != 0


def main() -> int:
    """Tries the builds; returns 1 if one of them goes unnoticed.

    Words on the command line choose builds by parts of their names.
    """
    chosen = [
        build
        for build in BUILDS
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
