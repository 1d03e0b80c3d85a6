"""Request ids name the process that owns them."""

from __future__ import annotations

import time

from saffronstack.daemon.process_group import ProcessGroup


def test_request_ids_name_their_owner() -> None:
    group = ProcessGroup(1, 3, "d", time.monotonic)
    owned = group.add_owner("00000000-0000-0000-0000-0000000000aa")
    assert owned.endswith("01")
    assert group.other_owner(owned) is None
    assert group.other_owner(owned[:-2] + "02") == 2
    assert group.other_owner(owned[:-2] + "03") is None
    assert group.other_owner("zz") is None
    assert ProcessGroup(0, 1, "", time.monotonic).add_owner(owned) == owned
