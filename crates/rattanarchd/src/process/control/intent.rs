//! What operators and the upstream want: configuration, barred members, fences.

use std::sync::Arc;

use rattanarch_ownership::Event;
use rattanarch_types::Configuration;
use rattanarch_types::Fence;
use rattanarch_types::Moment;

use crate::version::Grant;
use crate::version::barred_members;
use crate::version::lost_members;

use super::Control;
use super::ControlEnd;
use super::new_node;

impl Control {
    pub(super) fn take_configuration(&mut self, configuration: &Configuration) {
        if self.guidance.update(configuration) {
            log::info!(version = configuration.version; "configuration in force here");
            self.tell_intent();
        }
    }

    pub(super) fn confirm(&mut self, record: bool, version: u64, at: Moment) {
        if record && version >= self.node.serving().record.version {
            self.freshness.confirm_record(at);
        }
        if !record && version >= self.guidance.version() {
            self.freshness.confirm_configuration(at);
        }
        self.publish();
    }

    /// Tells the node what operators, and the upstream's health, want of the members.
    pub(super) fn tell_intent(&mut self) {
        let record = Arc::clone(&self.node.serving().record);
        let mut barred = barred_members(self.guidance.content(), &record);
        if self.health.is_silent() {
            barred.push(self.node.me());
        }
        let lost = lost_members(self.guidance.content(), &record);
        self.step(Event::Intent { barred, lost });
    }

    /// Has the upstream refuse an older life of this instance.
    pub(super) fn ask_fence(&mut self, above: Fence) {
        if !self.parts.checks_fence || self.fencing.is_some_and(|asked| asked >= above) {
            return;
        }
        self.fencing = Some(above);
        self.parts.granter.fence_above(above);
    }

    pub(super) fn take_grant(&mut self, grant: Grant) {
        self.health.hear(self.clock.now());
        self.grant = Some(grant);
        self.parts.member.fence = self.parts.member.fence.max(grant.fence);
        if self.fencing.is_some_and(|above| grant.fence > above) {
            self.fencing = None;
            self.step(Event::Fenced { fence: grant.fence });
        }
        self.publish();
    }

    pub(super) fn rejoin(&mut self) {
        log::warn!(boot = self.node.me(); "taken over; joining again");
        self.node = new_node(&self.parts);
        self.fencing = None;
        self.parts.granter.raise_fence();
        if self.stopping {
            self.end = Some(ControlEnd::Left);
        }
        self.tell_intent();
    }
}
