"""Broken builds of the decoders of what comes from outside.

`docs/design/borders.md` tells which input shows each of them.
"""

from tools import broken_build

BrokenBuild = broken_build.BrokenBuild

BOX_SETTINGS = "martenjunction/platform/box_settings.py"
CODEC = "martenjunction/peers/codec.py"
DECODING = "martenjunction/decoding.py"
DELTAS = "martenjunction/peers/document_delta.py"
DOCUMENTS = "martenjunction/platform/documents.py"
ODD_MESSAGES = "tests/test_odd_messages.py"
ENGINES = "martenjunction/endpoints/engine_protocol.py"
EVENT_STREAMS = "martenjunction/endpoints/event_stream.py"
HANDSHAKES = "martenjunction/tunnels/handshake.py"
HEADERS = "martenjunction/platform/headers.py"
JSON_PARTS = "martenjunction/platform/json_parts.py"
REQUEST_FRAMING = "martenjunction/http1/framing.py"
RESPONSES = "martenjunction/http1/response_parser.py"
STORE = "martenjunction/platform/store.py"
STORE_ANSWERS = "martenjunction/platform/store_answers.py"
STREAM_RECORDS = "martenjunction/platform/stream_documents.py"
TUNNEL_FRAMES = "martenjunction/tunnels/framing.py"

DELTA_TESTS = "tests/test_document_delta.py"


def fuzz_check(target: str) -> str:
    """Returns the id of the test that tries inputs of a target."""
    return f"tests/test_fuzz.py::test_odd_inputs_show_no_fault[{target}]"


# Those that break a promise of docs/notes/promises.md.
OF_PROMISES = (
    BrokenBuild(
        "one object that cannot be decoded fails its page",
        STORE_ANSWERS,
        "    except errors.MalformedError:\n"
        "        return await _split_page(body)\n",
        "    except errors.MalformedError:\n        raise\n",
        "tests/test_odd_entries.py::test_list_has_all_objects_beside_an_odd_one",
    ),
    BrokenBuild(
        "an object without a name fails its page",
        STORE_ANSWERS,
        "        except errors.MalformedError:\n            unnamed += 1\n",
        "        except errors.MalformedError:\n            raise\n",
        "tests/test_odd_entries.py::test_list_leaves_out_an_object_without_a_name",
    ),
    BrokenBuild(
        "slots of an entry have no bound",
        DOCUMENTS,
        "slots=min(wire.slots, MAX_SLOTS)",
        "slots=wire.slots",
        "tests/test_absurd_numbers.py::test_requests_are_served_beside_absurd_slots",
    ),
    BrokenBuild(
        "a field of a message has another type",
        CODEC,
        "except msgspec.ValidationError as error:",
        "except ZeroDivisionError as error:",
        "tests/test_peers.py::test_field_of_a_wrong_type_is_rejected",
    ),
    BrokenBuild(
        "a head with a length and a coding is taken",
        REQUEST_FRAMING,
        "if coded > 1 or lengths > 1 or (coded and lengths):",
        "if coded > 1 or lengths > 1:",
        "tests/test_http1.py::test_ambiguous_framing_is_rejected",
    ),
    BrokenBuild(
        "an error of the parser of responses is let through",
        RESPONSES,
        "except h11.RemoteProtocolError as error:",
        "except ZeroDivisionError as error:",
        "tests/test_http1.py::test_malformed_response_raises_syntax_error",
    ),
    BrokenBuild(
        "the error for an infinite setting is let through",
        BOX_SETTINGS,
        "        OverflowError,\n        TypeError,\n",
        "        TypeError,\n",
        "tests/test_platform_border.py::test_settings_of_other_types_are_rejected",
    ),
    BrokenBuild(
        "two of the three bytes between events are kept in view",
        EVENT_STREAMS,
        "_SEPARATOR_BYTES = 3",
        "_SEPARATOR_BYTES = 2",
        "tests/test_fair_turns.py::test_events_are_the_same_however_their_bytes_arrive",
    ),
    BrokenBuild(
        "an odd message ends its batch",
        CODEC,
        "            on_odd(_kind(parts), str(error))\n",
        "            raise\n",
        f"{ODD_MESSAGES}::test_neighbours_of_an_odd_message_are_taken",
    ),
    BrokenBuild(
        "the data behind an odd message is not looked at",
        CODEC,
        "    _split(data)\n    return",
        "    return",
        f"{ODD_MESSAGES}::test_batch_without_known_ends_of_messages_ends_its_link",
    ),
    BrokenBuild(
        "an odd row spoils its message",
        CODEC,
        "if on_odd is None or not _rows[tag]:",
        "if on_odd is None or _rows[tag] is not None:",
        f"{ODD_MESSAGES}::test_neighbours_of_an_odd_row_are_taken",
    ),
    BrokenBuild(
        "a peer sends any number of odd messages",
        "martenjunction/peers/odd_messages.py",
        "if held.left < 1.0:",
        "if held.left < -1e9:",
        f"{ODD_MESSAGES}::test_too_many_odd_messages_end_their_link",
    ),
    BrokenBuild(
        "a view is applied as far as its columns go",
        "martenjunction/routing/messages/peer_messages.py",
        "self.entries, strict=True",
        "self.entries, strict=False",
        f"{ODD_MESSAGES}::test_view_whose_columns_do_not_fit_is_asked_for_again",
    ),
)

OTHERS = (
    BrokenBuild(
        "the error for deep nesting is let through",
        DECODING,
        "    OverflowError,\n    RecursionError,\n",
        "    OverflowError,\n",
        fuzz_check("store-contents"),
    ),
    BrokenBuild(
        "a revision of the store has no bound",
        STORE_ANSWERS,
        "msgspec.Meta(ge=0, le=_MAX_REVISION)",
        "msgspec.Meta(ge=0)",
        fuzz_check("store-lists"),
    ),
    BrokenBuild(
        "an era of the store has no bound",
        STORE,
        "len(value) > MAX_ERA_DIGITS or ",
        "",
        fuzz_check("store-eras"),
    ),
    BrokenBuild(
        "a key that cannot be decoded fails its object",
        JSON_PARTS,
        "    except errors.MalformedError:\n        return None\n",
        "    except errors.MalformedError:\n        raise\n",
        "tests/test_odd_entries.py::test_list_keeps_an_object_with_odd_metadata",
    ),
    BrokenBuild(
        "all objects of a page are tried in one turn",
        STORE_ANSWERS,
        "            await json_parts.next_turn()\n"
        "            continue\n"
        "        if not item",
        "            continue\n        if not item",
        "tests/test_page_turns.py"
        "::test_page_of_unreadable_objects_shares_the_event_loop",
    ),
    BrokenBuild(
        "all members of an object are split in one turn",
        JSON_PARTS,
        "            paused_at = at\n            yield\n    _check_end",
        "            paused_at = at\n    _check_end",
        "tests/test_page_turns.py"
        "::test_object_of_many_members_shares_the_event_loop",
    ),
    BrokenBuild(
        "a port has no upper bound",
        DOCUMENTS,
        "if not 0 < port <= MAX_PORT:",
        "if not 0 < port:",
        fuzz_check("endpoint-entries"),
    ),
    BrokenBuild(
        "the name of an entry is not checked",
        DOCUMENTS,
        "        _check_address(wire.address)\n        _field_value(name)\n",
        "        _check_address(wire.address)\n",
        fuzz_check("endpoint-names"),
    ),
    BrokenBuild(
        "the error for an unknown kind of route is let through",
        DOCUMENTS,
        "except (ValueError, OverflowError, KeyError) as error:",
        "except (ValueError, OverflowError) as error:",
        fuzz_check("configurations"),
    ),
    BrokenBuild(
        "lifetimes of records have no bound",
        STREAM_RECORDS,
        "_LeftMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_LIFETIME_MS)]",
        "_LeftMs = Annotated[int, msgspec.Meta(ge=0)]",
        fuzz_check("stream-records"),
    ),
    BrokenBuild(
        "a negative index of a record counts from the end",
        STREAM_RECORDS,
        "    if index < 0:\n",
        "    if False:\n",
        fuzz_check("stream-records"),
    ),
    BrokenBuild(
        "the tag of a message is looked up before its type is checked",
        CODEC,
        "if not isinstance(tag, str) or tag not in message_types:",
        "if tag not in message_types or not isinstance(tag, str):",
        fuzz_check("peer-batches"),
    ),
    BrokenBuild(
        "a difference is decompressed whole",
        DELTAS,
        "decompressor.decompress(delta, MAX_BYTES)",
        "decompressor.decompress(delta)",
        f"{DELTA_TESTS}::test_delta_to_a_large_document_takes_little_memory",
    ),
    BrokenBuild(
        "the size of a document is checked after it is put together",
        DELTAS,
        "        if size > MAX_BYTES + 1:\n"
        '            raise errors.PeerError("the document is too large")\n'
        "        result += added\n"
        "    return _SEPARATOR.join(result)\n",
        "        result += added\n"
        "    document = _SEPARATOR.join(result)\n"
        "    if size > MAX_BYTES + 1:\n"
        '        raise errors.PeerError("the document is too large")\n'
        "    return document\n",
        f"{DELTA_TESTS}::test_delta_to_a_large_document_takes_little_memory",
    ),
    BrokenBuild(
        "a run of a difference begins before its base",
        DELTAS,
        "if first < 0 or count < 1 or first + count > len(pieces):",
        "if count < 1 or first + count > len(pieces):",
        f"{DELTA_TESTS}::test_well_formed_delta_of_wrong_types_is_rejected",
    ),
    BrokenBuild(
        "the proof of a tunnel's request is not checked",
        HANDSHAKES,
        "if not hmac.compare_digest(proof, _proof(request, key)):",
        "if not proof:",
        fuzz_check("tunnel-handshakes"),
    ),
    BrokenBuild(
        "a tunnel's request has any characters",
        HANDSHAKES,
        'data.decode("ascii")',
        'data.decode("latin-1")',
        fuzz_check("tunnel-handshakes"),
    ),
    BrokenBuild(
        "a frame of a tunnel has any length",
        TUNNEL_FRAMES,
        "if self._left > streams.CHUNK_BYTES:",
        "if False:",
        fuzz_check("tunnel-frames"),
    ),
    BrokenBuild(
        "frames go on after the last one",
        TUNNEL_FRAMES,
        "            if self._ended:\n",
        "            if False:\n",
        "tests/test_tunnels.py::test_what_is_no_sequence_of_frames_is_an_error",
    ),
    BrokenBuild(
        "a peer acknowledges frames that were not sent",
        "martenjunction/peers/flow.py",
        "if newly_acked > self._sent - self._acked_by_peer:",
        "if False:",
        "tests/test_peer_flow.py::test_acknowledgment_of_unsent_frames_is_rejected",
    ),
    BrokenBuild(
        "a request for a tunnel is taken from a client",
        REQUEST_FRAMING,
        'if request.method == b"CONNECT":',
        "if False:",
        "tests/test_odd_fields.py::test_connect_is_refused",
    ),
    BrokenBuild(
        "a count of a request has any number of digits",
        HEADERS,
        '_COUNT = re.compile(r"[0-9]{1,12}")',
        '_COUNT = re.compile(r"[0-9]+")',
        fuzz_check("request-headers"),
    ),
    BrokenBuild(
        "a deadline is no finite number",
        HEADERS,
        "return number if math.isfinite(number) else None",
        "return number",
        fuzz_check("request-headers"),
    ),
    BrokenBuild(
        "a client's Connection header takes the Host",
        HEADERS,
        "messages.without(headers, _NOT_FORWARDED, _END_TO_END)",
        "messages.without(headers, _NOT_FORWARDED)",
        fuzz_check("forwarded-headers"),
    ),
    BrokenBuild(
        "a number of a notice has any number of digits",
        "martenjunction/http_headers.py",
        'r"[0-9]{1,15}(',
        'r"[0-9]+(',
        fuzz_check("endpoint-notices"),
    ),
    BrokenBuild(
        "an event has no bound",
        EVENT_STREAMS,
        "if len(self._buffer) > MAX_EVENT_BYTES:",
        "if False:",
        "tests/test_odd_events.py::test_event_without_an_end_breaks_its_stream",
    ),
    BrokenBuild(
        "a chunk that is no JSON is let through",
        ENGINES,
        "            except errors.MalformedError as error:\n",
        "            except ZeroDivisionError as error:\n",
        fuzz_check("engine-streams"),
    ),
    BrokenBuild(
        "the choice of a chunk has another type",
        ENGINES,
        "return first if isinstance(first, dict) else {}",
        "return first",
        fuzz_check("engine-streams"),
    ),
    BrokenBuild(
        "a number setting is not finite",
        BOX_SETTINGS,
        "if not math.isfinite(number):",
        "if False:",
        fuzz_check("box-settings"),
    ),
)

BUILDS = (*OF_PROMISES, *OTHERS)
