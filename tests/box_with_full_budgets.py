"""An entry box that begins each life with its whole part of the slack, for a mutant."""

from __future__ import annotations

import sys
from unittest import mock

from dunlinnotch.coordination.budgets.retries import RetryBudget
from dunlinnotch.daemon import entry


def begin_full(self, share=0.1, *, max_saved=10.0):
    """Create a retry budget with all the retries that it may save."""
    self.share = share
    self.spent = self.denied = 0
    self._saved = self._max_saved = max_saved


if __name__ == "__main__":
    from dunlinnotch.platform.__main__ import main

    with (
        mock.patch.object(RetryBudget, "__init__", begin_full),
        mock.patch.object(entry, "saved_retries", lambda slack, boxes: slack / boxes),
    ):
        sys.exit(main())
