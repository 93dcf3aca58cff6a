//! Stand-ins for the platform and an upstream, the load tool and the process fixtures for failure tests.
