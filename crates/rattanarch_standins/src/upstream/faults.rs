//! Faults that tests inject into the upstream.

use serde::Deserialize;
use serde::Serialize;

/// How health and load reports relate to the actual state.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportMode {
    /// Reports give the current state.
    #[default]
    Honest,
    /// Reports give the state of a few seconds ago.
    Lagging,
    /// Reports always say warm and idle.
    Misleading,
}

/// Change to the faults of the upstream; omitted fields keep their value. A `_next` field is the
/// number of requests that the fault affects; each affected request decrements it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Whether everything except `/test` calls is suspended; pending requests continue afterwards.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub freeze: Option<bool>,
    /// Additional processing time of each request, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Makes the upstream cold or warm without notifying its daemon.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold: Option<bool>,
    /// Whether new requests are refused and the health report says so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub draining: Option<bool>,
    /// Number of requests that are not executed and never get a response; their connections stay open.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deaf_next: Option<u32>,
    /// Number of requests that are executed and never get a response; their connections stay open.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mute_next: Option<u32>,
    /// Number of requests whose response is truncated after half of its bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut_next: Option<u32>,
    /// Number of requests whose response is delayed by `late_ms`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_next: Option<u32>,
    /// Delay of late responses, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<u64>,
    /// Number of requests that get the response to the previous request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cross_next: Option<u32>,
    /// Number of requests that are refused despite free capacity.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shed_next: Option<u32>,
    /// How truthful health and load reports are.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report: Option<ReportMode>,
}

/// Faults that are currently active.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ActiveFaults {
    pub(crate) delay_ms: u64,
    pub(crate) draining: bool,
    pub(crate) deaf_next: u32,
    pub(crate) mute_next: u32,
    pub(crate) cut_next: u32,
    pub(crate) late_next: u32,
    pub(crate) late_ms: u64,
    pub(crate) cross_next: u32,
    pub(crate) shed_next: u32,
    pub(crate) report: ReportMode,
}

impl ActiveFaults {
    pub(crate) fn apply(&mut self, change: UpstreamFaults) {
        self.delay_ms = change.delay_ms.unwrap_or(self.delay_ms);
        self.draining = change.draining.unwrap_or(self.draining);
        self.deaf_next = change.deaf_next.unwrap_or(self.deaf_next);
        self.mute_next = change.mute_next.unwrap_or(self.mute_next);
        self.cut_next = change.cut_next.unwrap_or(self.cut_next);
        self.late_next = change.late_next.unwrap_or(self.late_next);
        self.late_ms = change.late_ms.unwrap_or(self.late_ms);
        self.cross_next = change.cross_next.unwrap_or(self.cross_next);
        self.shed_next = change.shed_next.unwrap_or(self.shed_next);
        self.report = change.report.unwrap_or(self.report);
    }
}
