"""An entry box that never passes a request to a peer, for a mutant."""

from __future__ import annotations

import sys
from unittest import mock

from dunlinnotch.coordination.requests.peer_path import PeerPath


def choose_none(self, service, *, tried):
    """Return no peer."""


if __name__ == "__main__":
    from dunlinnotch.platform.__main__ import main

    with mock.patch.object(PeerPath, "choose", choose_none):
        sys.exit(main())
