"""What a box knows: settings tree, target records, box rows, ledger, leases."""
