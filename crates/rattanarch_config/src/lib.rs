//! Pure configuration state: operator commands, firm isolation, versions and the audit trail.
