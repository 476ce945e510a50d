"""Broken builds of boxes on the users' platform."""

from tools import broken_build

BrokenBuild = broken_build.BrokenBuild

ENDPOINT_LIST = "martenjunction/decisions/boxes/endpoint_list.py"
GATEWAY = "martenjunction/gateway.py"
SERVER_CONNECTION = "martenjunction/http1/server_connection.py"
ADMISSION = "martenjunction/routing/access/admission.py"
ENDPOINT_RUNS = "martenjunction/routing/requests/endpoint_runs.py"
EXCHANGE = "martenjunction/routing/requests/exchange.py"
OFFERS = "martenjunction/routing/requests/offers.py"
STORE_CACHE = "martenjunction/routing/store/store_cache.py"
STREAM_BINDING = "martenjunction/routing/requests/stream_binding.py"
ORIGINS = "martenjunction/routing/streams/origins.py"
POOL = "martenjunction/endpoints/pool.py"
QUERIES = "martenjunction/routing/streams/queries.py"

BUILDS = (
    BrokenBuild(
        "an unheard connection is waited for",
        "martenjunction/routing/endpoints/run_tracker.py",
        "ticket.unheard = ticket.move_requested = True",
        "ticket.unheard = True",
        "tests/test_silent_links.py::test_unheard_run_is_moved_and_is_no_evidence_against_its_endpoint",
    ),
    BrokenBuild(
        "silent connections are used again",
        POOL,
        "if len(recent) < 2 else list(self._endpoints)",
        "if recent else []",
        "tests/test_silent_links.py::test_idle_connections_are_closed_once_two_endpoints_are_unheard",
    ),
    BrokenBuild(
        "a client's socket is not asked before a send",
        ENDPOINT_RUNS,
        "if self._connection.client_left:",
        "if self._connection.closed:",
        "tests/test_clients_gone_in_a_turn.py::test_requests_of_clients_that_left_are_not_passed_on",
    ),
    BrokenBuild(
        "requests are taken from closed connections",
        SERVER_CONNECTION,
        "        if self.closed:\n            raise request_errors",
        "        if False:\n            raise request_errors",
        "tests/test_kept_connection_orders.py::test_no_interleaving_loses_a_request",
    ),
    BrokenBuild(
        "a timeout does not look at waiting bytes",
        SERVER_CONNECTION,
        "        if self._source.bytes_waiting:\n            # After",
        "        if False:\n            # After",
        "tests/test_kept_connections.py::test_request_racing_with_idle_timeout_is_answered",
    ),
    BrokenBuild(
        "a raised idle timeout is not looked at",
        SERVER_CONNECTION,
        "            if left > TIMER_TOLERANCE_S:",
        "            if left > 1e9:",
        "tests/test_kept_connections.py::test_raised_idle_timeout_applies_to_open_connections",
    ),
    BrokenBuild(
        "a shorter idle time holds for what was told",
        "martenjunction/http1/resting.py",
        "max(self._time.held_s, self._limits().idle_timeout_s)",
        "self._limits().idle_timeout_s",
        "tests/test_told_rests.py::test_idle_time_that_is_shortened_within_a_response_is_kept_to",
    ),
    BrokenBuild(
        "a connection is held no longer than its client is told",
        "martenjunction/decisions/rest_times.py",
        "told_s + SERVER_MARGIN_S)",
        "told_s)",
        "tests/test_told_rests.py::test_idle_time_is_held_for_longer_than_told",
    ),
    BrokenBuild(
        "slow requests get no answer",
        SERVER_CONNECTION,
        "        if reading:\n            self._input.expire(reason)",
        "        if False:\n            self._input.expire(reason)",
        "tests/test_slow_requests.py::test_request_that_takes_too_long_is_refused_with_408",
    ),
    BrokenBuild(
        "another lost connection counts as the client's",
        "martenjunction/errors.py",
        "class ClientLostError(ConnectionLostError):",
        "ClientLostError = ConnectionLostError\n\n\nclass _Unused(Exception):",
        "tests/test_failing_parts.py::test_request_is_answered_though_a_part_fails",
    ),
    BrokenBuild(
        "a cancelled future ends a request without an answer",
        "martenjunction/http1/server.py",
        "            await self._handler(connection, request)\n"
        "        except errors.ClientLostError:\n            raise\n"
        "        except (Exception, asyncio.CancelledError):\n",
        "            await self._handler(connection, request)\n"
        "        except errors.ClientLostError:\n            raise\n"
        "        except Exception:\n",
        "tests/test_failing_parts.py::test_request_is_answered_though_a_part_fails",
    ),
    BrokenBuild(
        "a new connection ends at once at a shutdown",
        SERVER_CONNECTION,
        "if left_s > 0.0:",
        "if False:",
        "tests/test_kept_connections.py::test_first_request_is_answered_at_a_shutdown",
    ),
    BrokenBuild(
        "a rest begins before its response is delivered",
        SERVER_CONNECTION,
        "            if delivering:\n                self._rest.begin_anew()",
        "            if False:\n                self._rest.begin_anew()",
        "tests/test_rest_review.py::test_rest_that_was_told_begins_once_the_response_is_read",
    ),
    BrokenBuild(
        "half a line ends a head",
        "martenjunction/endpoints/streams.py",
        'if not line.endswith(b"\\n"):',
        "if False:",
        "tests/test_cut_heads.py::test_response_that_ends_within_its_head_is_broken",
    ),
    BrokenBuild(
        "an unexpected error after a send is not answered",
        EXCHANGE,
        'await self._refuse(502, "internal-error", None)',
        "self._connection.abort(close_reports.CloseReason.FAILED)",
        "tests/test_ready_and_closed.py::test_unexpected_error_after_a_send_is_answered_and_logged",
    ),
    BrokenBuild(
        "a waiting request keeps a key that was taken away",
        ADMISSION,
        "if admission.key not in self._config.workspaces:",
        "if False:",
        "tests/test_behind.py::test_waiting_request_is_checked_against_the_new_configuration",
    ),
    BrokenBuild(
        "any change ends requests that wait",
        ADMISSION,
        "        return route is not None and any(",
        "        return route is None and any(",
        "tests/test_behind.py::test_waiting_request_proceeds_if_its_route_is_unchanged",
    ),
    BrokenBuild(
        "a box that lags serves",
        ADMISSION,
        "if self._freshness.is_lagging(received_at):",
        "if False:",
        "tests/test_behind.py::test_lagging_box_refuses_requests",
    ),
    BrokenBuild(
        "keys do not expire with the configuration",
        ADMISSION,
        "if self._fail_closed and not",
        "if False and not",
        "tests/test_gateway_beliefs.py::test_keys_are_refused_once_they_cannot_be_verified",
        also=(
            ADMISSION,
            "return not self._fail_closed or self",
            "return True or self",
        ),
    ),
    BrokenBuild(
        "the end of a stop gives no final answers",
        GATEWAY,
        "        self.held.stop()\n",
        "",
        "tests/test_planned_stop.py::test_request_that_outlasts_a_stop_gets_a_final_answer",
    ),
    BrokenBuild(
        "half a request holds a stop up",
        "martenjunction/http1/read_timers.py",
        "        if reading:\n            self.set(SHUT",
        "        if False:\n            self.set(SHUT",
        "tests/test_planned_stop.py::test_partial_request_does_not_delay_a_stop",
    ),
    BrokenBuild(
        "a stream goes on at any version",
        OFFERS,
        "            excluded = permit.excluded_ids() | self._other_versions(\n"
        "                self._state.stream_version\n"
        "            )",
        "            excluded = permit.excluded_ids()",
        "tests/test_versioned_streams.py::test_stream_goes_on_only_at_the_version_that_began_it",
    ),
    BrokenBuild(
        "a stream of unknown origin goes anywhere",
        STREAM_BINDING,
        "    raise admission.RefusalError(",
        "    return StreamBinding(admitted)\n    raise admission.RefusalError(",
        "tests/test_stream_origins.py::test_stream_is_taken_up_only_where_its_origin_is_known",
    ),
    BrokenBuild(
        "origins are not told to other boxes",
        ORIGINS,
        "        self._tell([record])\n",
        "",
        "tests/test_streams_large_fleet.py::test_stream_of_a_lost_box_is_found_across_a_large_fleet",
    ),
    BrokenBuild(
        "a box that stops keeps its records",
        ORIGINS,
        "        self._tell(self._table)",
        "        self._tell([])",
        "tests/test_stream_origins.py::test_box_that_stops_hands_its_records_over",
    ),
    BrokenBuild(
        "questions are not passed on",
        QUERIES,
        "return ask.hops < MAX_HOPS and",
        "return False and",
        "tests/test_stream_origins.py::test_boxes_pass_a_question_on_to_those_that_the_asker_lacks",
    ),
    BrokenBuild(
        "a copy of a run is used at another version",
        OFFERS,
        "self._avoid | self._other_versions(offer.endpoint.version)",
        "self._avoid",
        "tests/test_stream_origins.py::test_copy_of_a_run_is_kept_at_its_version",
    ),
    BrokenBuild(
        "an old list counts",
        ENDPOINT_LIST,
        "        if revision < self._revision:\n            return\n",
        "",
        "tests/test_endpoint_list.py::test_outdated_listing_changes_nothing",
    ),
    BrokenBuild(
        "an endpoint's version is not looked at again",
        OFFERS,
        " and listed.endpoint.version == endpoint.version",
        "",
        "tests/test_stream_origins.py::test_endpoint_whose_version_changes_before_the_send_is_not_used",
    ),
    BrokenBuild(
        "a version that left is forgotten with a request's time limit",
        "martenjunction/decisions/boxes/served_versions.py",
        "STREAM_LIFETIME_S = 3600.0",
        "STREAM_LIFETIME_S = 2.0",
        "tests/test_stream_conclusions.py::"
        "test_version_that_left_long_after_a_request_may_last_still_counts",
    ),
    BrokenBuild(
        "streams are concluded from the services of now",
        "martenjunction/decisions/boxes/served_routes.py",
        "history.services[service] = now",
        "del history.services[service]",
        "tests/test_stream_conclusions.py::"
        "test_stream_is_not_concluded_where_its_route_led_elsewhere",
    ),
    BrokenBuild(
        "a conclusion outvotes a box that knows another version",
        "martenjunction/decisions/boxes/stream_table.py",
        "if len(possible) > 1 or Basis.SEVERAL in bases:",
        "if len(possible) > 1:",
        "tests/test_stream_origins.py::"
        "test_conclusion_does_not_outvote_a_box_that_knows_another_version",
    ),
    BrokenBuild(
        "a box that was suspended concludes",
        "martenjunction/decisions/boxes/served_versions.py",
        "            now - last_look_at > MAX_GAP_S\n            or",
        "            now - last_look_at > 3600.0\n            or",
        "tests/test_stream_conclusions.py::"
        "test_box_that_was_suspended_concludes_nothing",
        also=(
            "martenjunction/decisions/boxes/served_versions.py",
            "            or as_of - known_until > MAX_UNKNOWN_S",
            "            or as_of - known_until > 3600.0",
        ),
    ),
    BrokenBuild(
        "entries that lapsed in an outage are dropped at once",
        ENDPOINT_LIST,
        "        if self.in_grace(now):\n",
        "        if False:\n",
        "tests/test_endpoint_list.py::test_entry_that_lapsed_in_an_outage_is_kept_until_its_grace_ends",
    ),
    BrokenBuild(
        "an older version confirms the configuration",
        STORE_CACHE,
        "        if version < self.version:\n",
        "        if False:\n",
        "tests/test_store_returns.py::test_keys_expire_while_the_store_has_an_older_config",
    ),
    BrokenBuild(
        "a stop does not look at waiting bytes",
        SERVER_CONNECTION,
        "if self._state is _State.RESTING and not self._source.bytes_waiting:",
        "if self._state is _State.RESTING:",
        "tests/test_planned_stop.py::test_request_read_at_the_end_of_a_stop_is_answered",
    ),
    BrokenBuild(
        "a client that leaves does not end its run",
        EXCHANGE,
        "lambda: self.stop(Ending.CLIENT_LEFT)",
        "lambda: None",
        "tests/test_gateway.py::test_client_that_leaves_ends_the_run",
    ),
    BrokenBuild(
        "the time limit of a request does not end it",
        EXCHANGE,
        "max(0.0, time_left_s), self.stop",
        "60.0 + time_left_s, self.stop",
        "tests/test_gateway.py::test_timeout_of_the_route_ends_a_request_that_was_sent",
    ),
    BrokenBuild(
        "an idle connection's socket is not looked at",
        POOL,
        "if fresh and connection.is_quiet():",
        "if fresh:",
        "tests/test_endpoint_connections.py::test_idle_connection_with_unprocessed_close_is_not_reused",
    ),
    BrokenBuild(
        "a stream that breaks off ends as if complete",
        EXCHANGE,
        "        if isinstance(error, _StreamBrokenError):\n",
        "        if isinstance(error, _StreamBrokenError):\n"
        "            await self._connection.end()\n"
        "            return\n",
        "tests/test_gateway_streams.py::test_broken_stream_that_may_not_be_resumed_never_looks_complete",
    ),
    BrokenBuild(
        "a config that cannot be read counts as none",
        STORE_CACHE,
        "            self._unreadable.add(documents.CONFIG_NAME, spec, error)\n"
        "            return\n",
        "            raise\n",
        "tests/test_entries.py::test_malformed_configuration_does_not_count_as_store_loss",
    ),
    BrokenBuild(
        "the clock limits the final responses",
        GATEWAY,
        "await timers.wait_while_running(waits, FINAL_RESPONSES_TIMEOUT_S)",
        "await asyncio.wait(waits, timeout=FINAL_RESPONSES_TIMEOUT_S)",
        "tests/test_held_up_stops.py::test_request_gets_its_final_answer_at_the_end_of_a_stop",
    ),
    BrokenBuild(
        "a failed step ends a stop",
        "martenjunction/stop_steps.py",
        "except Exception:",
        "except ZeroDivisionError:",
        "tests/test_failing_stops.py::test_requests_get_a_final_answer_though_a_step_of_a_stop_fails",
    ),
    BrokenBuild(
        "a response begins before its head is written",
        "martenjunction/http1/response_writer.py",
        "        streams.limit_unread(self._stream, True)\n",
        "        self.started = True\n"
        "        streams.limit_unread(self._stream, True)\n",
        "tests/test_failing_heads.py::test_request_is_answered_though_its_first_head_fails",
    ),
    BrokenBuild(
        "a check that fails is kept",
        "martenjunction/routing/endpoints/endpoint_liveness.py",
        "        except Exception:\n",
        "        except ZeroDivisionError:\n",
        "tests/test_failing_checks.py::test_failed_check_is_not_shared_for_longer_than_a_result",
        also=(
            "martenjunction/routing/endpoints/endpoint_liveness.py",
            "        finally:\n            asyncio",
            "        else:\n            asyncio",
        ),
    ),
    BrokenBuild(
        "a client's connection closes without a last response",
        "martenjunction/http1/connection_record.py",
        "was_told = not started and self._stream.send_last(",
        "was_told = False and self._stream.send_last(",
        "tests/test_request_ledger.py::test_close_of_all_connections_tells_each_client",
    ),
    BrokenBuild(
        "the end of what a client sends closes unseen",
        "martenjunction/closing_streams.py",
        "            if callback is not None:",
        "            if False:",
        "tests/test_client_ends.py::test_client_that_ends_its_sending_side_has_left",
    ),
    BrokenBuild(
        "a caller's connection closes without a last response",
        "martenjunction/http_server.py",
        "if self._stage is not _Stage.HEAD or self._has_unparsed_bytes:",
        "if False:",
        "tests/test_callers_leave.py::test_caller_that_ends_its_sending_side_is_told",
    ),
)
