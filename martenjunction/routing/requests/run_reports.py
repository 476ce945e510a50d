"""Asks endpoints whether runs whose connections broke are over.

Runs that broke off at the same endpoint share its reports, so that a fault that
strikes many streams costs no more questions than one.
"""

import asyncio
import dataclasses
import time

from martenjunction import errors
from martenjunction import model
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import run_fates
from martenjunction.endpoints import pool
from martenjunction.http1 import client
from martenjunction.platform import notices
from martenjunction.platform import run_report
from martenjunction.routing.limits import rate_grants

# Interval in seconds between two questions to an endpoint, and the timeout of
# one.
ASK_INTERVAL_S = 0.1
ASK_TIMEOUT_S = 0.5

# Maximum size of a report in bytes.
MAX_REPORT_BYTES = 1024 * 1024

Standing = run_fates.Standing


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A run that is waited for.

    Attributes:
        request_id: The request.
        begun_at: Time at which the run was known to have begun.
        fate: What is known of it.
        done: Set once it may continue elsewhere.
    """

    request_id: str
    begun_at: float
    fate: run_fates.RunFate
    done: asyncio.Event


class RunReports:
    """Waits for the ends of runs, by the reports of their endpoints."""

    def __init__(
        self,
        connections: pool.EndpointPool,
        listed: endpoint_list.EndpointList,
        grants: rate_grants.RateGrants,
    ) -> None:
        """Initializes the reports; nothing is asked until a run is waited for.

        Args:
            connections: Connections to endpoints.
            listed: The endpoints.
            grants: Grants requests to endpoints with a rate limit.
        """
        self._grants = grants
        self._connections = connections
        self._listed = listed
        self._waiters: dict[str, set[_Waiter]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def until_over(
        self,
        endpoint: model.Endpoint,
        request_id: str,
        begun_at: float,
        deadline: float,
    ) -> run_fates.RunFate:
        """Waits until a run may continue at another endpoint.

        Args:
            endpoint: The endpoint of the run.
            request_id: The request.
            begun_at: Time at which the run was known to have begun.
            deadline: Time on the steady clock until which to wait.

        Returns:
            What is known of the run in the end.
        """
        waiter = _Waiter(
            request_id, begun_at, run_fates.RunFate.UNKNOWN, asyncio.Event()
        )
        waiters = self._waiters.get(endpoint.id)
        if waiters is None:
            self._waiters[endpoint.id] = {waiter}
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._ask_repeatedly(endpoint))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            waiters.add(waiter)
        try:
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                await waiter.done.wait()
        except TimeoutError:
            pass
        finally:
            self._waiters.get(endpoint.id, set()).discard(waiter)
        return waiter.fate

    async def stop(self) -> None:
        """Cancels all questions."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _ask_repeatedly(self, endpoint: model.Endpoint) -> None:
        """Asks an endpoint as long as one of its runs is waited for."""
        connection: client.ClientConnection | None = None
        try:
            while self._waiters[endpoint.id]:
                asked_at = time.monotonic()
                connection, report = await self._ask(endpoint, connection)
                self._settle(endpoint, report)
                if self._waiters[endpoint.id]:
                    pause_s = asked_at + ASK_INTERVAL_S - time.monotonic()
                    await asyncio.sleep(max(0.0, pause_s))
        finally:
            del self._waiters[endpoint.id]
            self._close(endpoint, connection)

    def _settle(
        self, endpoint: model.Endpoint, report: run_fates.Report
    ) -> None:
        waiters = self._waiters[endpoint.id]
        for waiter in list(waiters):
            waiter.fate = run_fates.fate(
                report, waiter.request_id, waiter.begun_at
            )
            if waiter.fate.may_continue:
                waiters.discard(waiter)
                waiter.done.set()

    async def _ask(
        self,
        endpoint: model.Endpoint,
        connection: client.ClientConnection | None,
    ) -> tuple[client.ClientConnection | None, run_fates.Report]:
        """Asks once.

        Args:
            endpoint: The endpoint.
            connection: The connection of the question before, if it is open.

        Returns:
            The connection if it may carry another question, and the report.
        """
        asked_at = time.monotonic()
        if self._listed.restarted(endpoint.id):
            return connection, run_fates.Report(asked_at, Standing.ENDED)
        if connection is None:
            try:
                # Responses to such questions carry no id, so that a late one
                # to another request would be taken for one.
                connection = await self._connections.connect(endpoint)
            except errors.EndpointNotReachedError as error:
                refused = isinstance(error.__cause__, errors.PortRefusedError)
                standing = Standing.ENDED if refused else Standing.UNREACHED
                return None, run_fates.Report(asked_at, standing)
            except errors.EndpointError:
                return None, run_fates.Report(asked_at, Standing.SILENT)
        report = run_fates.Report(asked_at, Standing.UNREACHED)
        if connection.is_direct:
            report = await self._read_granted(endpoint, connection)
        if connection.closed:
            self._close(endpoint, connection)
            return None, report
        return connection, report

    async def _read_granted(
        self, endpoint: model.Endpoint, connection: client.ClientConnection
    ) -> run_fates.Report:
        """Reads one report; it counts towards a rate limit like a request."""
        grant = await self._grants.acquire(endpoint.id)
        if grant is None:
            return run_fates.Report(time.monotonic(), Standing.SILENT)
        try:
            return await self._read_report(endpoint, connection)
        finally:
            self._grants.release(grant, False)

    async def _read_report(
        self, endpoint: model.Endpoint, connection: client.ClientConnection
    ) -> run_fates.Report:
        """Reads one report; closes the connection unless it may carry more."""
        asked_at = time.monotonic()
        body = bytearray()
        try:
            async with connection.response_timeout(ASK_TIMEOUT_S):
                host = (b"Host", endpoint.address.encode())
                connection.send(run_report.METHOD, run_report.PATH, [host], b"")
                head = await connection.read_head()
                while part := await connection.read_body():
                    body += part
                    if len(body) > MAX_REPORT_BYTES:
                        raise errors.MalformedError("report too large")
            connection.finish()
            if notices.is_from_other_endpoint(head, endpoint.entry):
                return run_fates.Report(asked_at, Standing.ENDED)
            if head.status != 200:
                raise errors.MalformedError(f"status {head.status}")
            return run_fates.Report(
                asked_at,
                Standing.REPORTS,
                run_report.decode_run_ids(bytes(body)),
            )
        except (errors.TransportError, errors.MalformedError, TimeoutError):
            connection.abort()
            return run_fates.Report(asked_at, Standing.SILENT)

    def _close(
        self,
        endpoint: model.Endpoint,
        connection: client.ClientConnection | None,
    ) -> None:
        if connection is not None:
            connection.abort()
            self._connections.release(endpoint.id, connection)
