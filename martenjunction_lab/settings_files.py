"""Settings files of boxes, as the platform writes them."""

import json

from martenjunction.platform import box_settings


def settings_text(settings: box_settings.BoxSettings) -> str:
    """Returns the settings file that the platform would write."""
    first_port = int(settings.tunnels.rpartition(":")[2])
    return f"""
node = "{settings.box}"
zone = "{settings.zone}"
region = "{settings.region}"
ip = "{settings.ip}"
port_range = [{first_port}, {first_port + 15}]
seeds = {json.dumps(list(settings.seeds))}
bootstrap = {json.dumps(settings.first_start)}
unknown = "skipped"
[listen]
frontend = "{settings.callers}"
ready = "{settings.ready}"
control_plane = "{settings.peers}"
directory = "{settings.entry}"
[limits]
memory_mb = {settings.memory_bytes // (1024 * 1024)}
max_fds = {settings.max_descriptors}
link_mbps = {settings.link_bytes_s * 8 / 1_000_000}
[bounds]
drain_ms = {settings.drain_s * 1000}
grace_s = {settings.stop_s}
revoke_ms = {settings.key_lifetime_s * 1000}
config_ms = {settings.change_s * 1000}
fail_closed = {json.dumps(settings.keys_fail_closed)}
retry_ratio = {settings.retry_ratio}
retry_window_s = {settings.retry_window_s}
retry_slack = {settings.retry_allowance}
ttl_max_s = {settings.max_entry_ttl_s}
[platform]
address = "{settings.store}"
"""
