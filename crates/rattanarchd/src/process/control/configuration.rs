//! The configuration and what follows from it for the node; fences and grants of the upstream.

use std::sync::Arc;

use rattanarch_ownership::Event;
use rattanarch_types::Configuration;
use rattanarch_types::Fence;
use rattanarch_types::Moment;

use crate::version::Grant;
use crate::version::excluded_members;
use crate::version::lost_members;

use super::Control;
use super::ControlEnd;
use super::new_node;

impl Control {
    pub(super) fn handle_configuration(&mut self, configuration: &Configuration) {
        if self.configuration.update(configuration) {
            log::info!(version = configuration.version; "configuration in force here");
            self.update_standing();
        }
    }

    /// Handles the platform's answer that `version` of the record or of the configuration is current.
    pub(super) fn confirm(&mut self, record: bool, version: u64, at: Moment) {
        if record && version >= self.node.serving().record.version {
            self.freshness.confirm_record(at);
        }
        if !record && version >= self.configuration.version() {
            self.freshness.confirm_configuration(at);
        }
        self.publish();
    }

    /// Tells the node which members are excluded or lost: those named by the configuration, and this member while its
    /// upstream does not answer.
    pub(super) fn update_standing(&mut self) {
        let record = Arc::clone(&self.node.serving().record);
        let mut excluded = excluded_members(self.configuration.content(), &record);
        if self.health.is_lost() {
            excluded.push(self.node.me());
        }
        let lost = lost_members(self.configuration.content(), &record);
        self.step(Event::ExcludedMembers { excluded, lost });
    }

    /// Makes the upstream refuse an earlier boot of this instance.
    pub(super) fn request_fence(&mut self, above: Fence) {
        if !self.parts.checks_fence
            || self.requested_fence.is_some_and(|requested| requested >= above)
        {
            return;
        }
        self.requested_fence = Some(above);
        self.parts.granter.raise_fence_above(above);
    }

    pub(super) fn handle_grant(&mut self, grant: Grant) {
        self.health.record_answer(self.clock.now());
        self.grant = Some(grant);
        self.parts.member.fence = self.parts.member.fence.max(grant.fence);
        if self.requested_fence.is_some_and(|above| grant.fence > above) {
            self.requested_fence = None;
            self.step(Event::Fenced { fence: grant.fence });
        }
        self.publish();
    }

    /// Joins again with a new node, after another member has taken over this one's slices.
    pub(super) fn rejoin(&mut self) {
        log::warn!(boot = self.node.me(); "removed from the record; joining again");
        self.node = new_node(&self.parts);
        self.requested_fence = None;
        self.parts.granter.raise_fence();
        if self.stopping {
            self.end = Some(ControlEnd::Left);
        }
        self.update_standing();
    }
}
