//! Kinds of requests of each firm.

use std::str::FromStr;

use derive_more::Display;
use serde::Serialize;

/// A firm whose callers are simulated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Firm {
    /// Genossenschaft Hummerbecken Alpenland eG.
    Coop,
    /// Aguas Libres Franquicias S.A.
    AguasLibres,
}

/// The text is not the name of a firm.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("firm {0:?} is not one of \"co-op\", \"aguas-libres\"")]
pub struct FirmError(pub String);

impl FromStr for Firm {
    type Err = FirmError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "co-op" => Ok(Self::Coop),
            "aguas-libres" => Ok(Self::AguasLibres),
            other => Err(FirmError(other.to_owned())),
        }
    }
}

impl Firm {
    /// Request kinds of the firm with their percentages.
    pub(crate) fn mix(self) -> &'static [(RequestKind, u64)] {
        match self {
            Self::Coop => &[
                (RequestKind::Stock, 80),
                (RequestKind::Reservations, 15),
                (RequestKind::Certificates, 5),
            ],
            Self::AguasLibres => &[
                (RequestKind::Conditions, 75),
                (RequestKind::Bookings, 20),
                (RequestKind::Maps, 5),
            ],
        }
    }
}

/// Kind of a request; its text is the first path segment of the route.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestKind {
    /// The co-op's stock and price checks, by tank.
    #[display("stock")]
    Stock,
    /// The co-op's lobster batch reservations, by tank.
    #[display("reservations")]
    Reservations,
    /// The co-op's customs certificate downloads.
    #[display("certificates")]
    Certificates,
    /// Aguas Libres' spot conditions, by spot.
    #[display("conditions")]
    Conditions,
    /// Aguas Libres' bookings with deposits, by spot.
    #[display("bookings")]
    Bookings,
    /// Aguas Libres' offline map downloads.
    #[display("maps")]
    Maps,
}

impl RequestKind {
    /// Service that handles requests of this kind.
    pub fn service(self) -> &'static str {
        match self {
            Self::Stock | Self::Reservations => "trade-desk",
            Self::Certificates => "pound-files",
            Self::Conditions | Self::Bookings => "reservas",
            Self::Maps => "cartografia",
        }
    }

    /// Whether requests of this kind must not run twice.
    pub fn is_write(self) -> bool {
        matches!(self, Self::Reservations | Self::Bookings)
    }

    /// Prefix of the key names.
    pub(crate) fn key_prefix(self) -> &'static str {
        match self {
            Self::Stock | Self::Reservations => "tank",
            Self::Certificates => "certificate",
            Self::Conditions | Self::Bookings => "spot",
            Self::Maps => "map",
        }
    }

    /// Number of keys.
    pub(crate) fn key_count(self) -> u64 {
        match self {
            Self::Certificates | Self::Maps => 200,
            _ => 2_000,
        }
    }

    /// Minimum and maximum file length, in bytes; `None` if requests of this kind are not downloads.
    pub(crate) fn file_bytes(self) -> Option<(u64, u64)> {
        match self {
            Self::Certificates => Some((20_000, 200_000)),
            Self::Maps => Some((200_000, 4_000_000)),
            _ => None,
        }
    }
}
