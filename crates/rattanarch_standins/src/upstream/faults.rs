//! Faults that the upstream is told to show.

use serde::Deserialize;
use serde::Serialize;

/// How health and load reports relate to what is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportMode {
    /// They say what is.
    #[default]
    Honest,
    /// They say what was some seconds ago.
    Lagging,
    /// They say warm and idle, whatever is.
    Misleading,
}

/// Change to the upstream's faults; fields left out keep their value. Numbers of coming requests
/// count down as they are met.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamFaults {
    /// Whether nothing but the `/test` calls goes on; what was begun goes on afterwards.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub freeze: Option<bool>,
    /// Extra time that each request takes, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Turns cold or warm, without telling anyone.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold: Option<bool>,
    /// Whether new work is refused and reported so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub draining: Option<bool>,
    /// Coming requests that never run and whose connection goes silent for good.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deaf_next: Option<u32>,
    /// Coming requests that run and whose connection goes silent for good.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mute_next: Option<u32>,
    /// Coming requests whose answer is cut off in its middle.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cut_next: Option<u32>,
    /// Coming requests whose answer comes late.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_next: Option<u32>,
    /// How late, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub late_ms: Option<u64>,
    /// Coming requests that get the answer of the request before.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cross_next: Option<u32>,
    /// Coming requests that are refused though there is room.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shed_next: Option<u32>,
    /// How health and load are reported.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub report: Option<ReportMode>,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InForce {
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

impl InForce {
    pub(crate) fn change(&mut self, change: UpstreamFaults) {
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
