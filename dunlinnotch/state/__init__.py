"""State held by a box: settings, tables, targets, boxes, crash records, ledger, leases."""
