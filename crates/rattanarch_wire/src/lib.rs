//! Wire types and the authenticated codec between daemons.
