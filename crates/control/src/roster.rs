//! Membership of the upstreams: which have announced themselves and still send heartbeats.

mod member;
mod settings;
mod update_result;
mod upstream_status;

use std::collections::BTreeMap;

use toucanquay_model::{Incarnation, Time, upstream::Announcement, worker};

pub use member::Member;
pub use settings::Settings;
pub use update_result::UpdateResult;
pub use upstream_status::UpstreamStatus;

/// Membership of the upstreams, as one entry sees it.
///
/// A worker has at most one member. A higher incarnation replaces a lower one, and late messages of
/// the lower one change nothing.
#[derive(Debug, Clone)]
pub struct Roster {
    settings: Settings,
    members: BTreeMap<worker::Id, Member>,
    former: BTreeMap<worker::Id, FormerMember>,
}

/// Record of a worker that is no longer a member.
#[derive(Debug, Clone, Copy)]
struct FormerMember {
    incarnation: Incarnation,
    has_deregistered: bool,
    forget_at: Time,
}

impl Roster {
    /// Returns a roster without members.
    #[must_use]
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            members: BTreeMap::new(),
            former: BTreeMap::new(),
        }
    }

    /// Adds, replaces or refreshes the upstream of a worker.
    pub fn announce(&mut self, announcement: Announcement, now: Time) -> UpdateResult {
        if self.is_stale(&announcement.worker, announcement.incarnation) {
            return UpdateResult::Stale;
        }
        self.former.remove(&announcement.worker);
        let expires_at = self.expiry_time(now);
        if let Some(member) = self.members.get_mut(&announcement.worker)
            && member.announcement.incarnation == announcement.incarnation
        {
            member.announcement = announcement;
            member.expires_at = member.expires_at.max(expires_at);
            return UpdateResult::Known;
        }
        let worker = announcement.worker.clone();
        let member = Member::new(announcement, expires_at);
        self.members.insert(worker, member);
        UpdateResult::Joined
    }

    /// Applies heartbeat number `sequence` of a companion.
    pub fn heartbeat(
        &mut self,
        worker: &worker::Id,
        incarnation: Incarnation,
        sequence: u64,
        status: UpstreamStatus,
        now: Time,
    ) -> UpdateResult {
        if self.is_stale(worker, incarnation) {
            return UpdateResult::Stale;
        }
        let expires_at = self.expiry_time(now);
        let Some(member) = self.members.get_mut(worker) else {
            return UpdateResult::Unknown;
        };
        if member.announcement.incarnation != incarnation {
            return UpdateResult::Unknown;
        }
        if sequence <= member.sequence {
            return UpdateResult::Stale;
        }
        member.sequence = sequence;
        member.status = status;
        member.expires_at = expires_at;
        UpdateResult::Known
    }

    /// Removes an upstream that has drained and deregistered. Returns whether it was a member.
    pub fn leave(&mut self, worker: &worker::Id, incarnation: Incarnation, now: Time) -> bool {
        if self.is_stale(worker, incarnation) {
            return false;
        }
        let was_member = self.members.remove(worker).is_some();
        self.add_former(worker.clone(), incarnation, true, now);
        was_member
    }

    /// Removes and returns the members whose heartbeats have stopped.
    pub fn remove_expired(&mut self, now: Time) -> Vec<Member> {
        self.former.retain(|_, former| former.forget_at > now);
        let expired: Vec<worker::Id> = self
            .members
            .iter()
            .filter(|(_, member)| member.expires_at <= now)
            .map(|(worker, _)| worker.clone())
            .collect();
        let mut removed = Vec::with_capacity(expired.len());
        for worker in expired {
            if let Some(member) = self.members.remove(&worker) {
                self.add_former(worker, member.announcement.incarnation, false, now);
                removed.push(member);
            }
        }
        removed
    }

    /// Returns the member of a worker.
    #[must_use]
    pub fn get(&self, worker: &worker::Id) -> Option<&Member> {
        self.members.get(worker)
    }

    /// Returns all members, ordered by worker.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members that provide `service`, ordered by worker, including leaving ones.
    pub fn members_of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members()
            .filter(move |member| member.announcement.service == service)
    }

    /// Returns the members of `service` that accept new requests.
    pub fn available_members<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members_of_service(service)
            .filter(|member| member.is_available())
    }

    /// Returns the lowest configuration revision that a member holds, or `None` if there are no
    /// members.
    #[must_use]
    pub fn lowest_revision(&self) -> Option<toucanquay_model::Revision> {
        self.members().map(|member| member.status.revision).min()
    }

    /// Returns when a member expires whose last message arrived at `now`.
    const fn expiry_time(&self, now: Time) -> Time {
        now.plus_micros(self.settings.heartbeat_timeout_micros)
    }

    fn add_former(
        &mut self,
        worker: worker::Id,
        incarnation: Incarnation,
        has_deregistered: bool,
        now: Time,
    ) {
        let former = FormerMember {
            incarnation,
            has_deregistered,
            forget_at: now.plus_micros(self.settings.former_member_ttl_micros),
        };
        self.former.insert(worker, former);
    }

    /// Returns whether a message is of an incarnation that is older than the last known one or has
    /// deregistered.
    fn is_stale(&self, worker: &worker::Id, incarnation: Incarnation) -> bool {
        let is_replaced = self
            .members
            .get(worker)
            .is_some_and(|member| incarnation < member.announcement.incarnation);
        let has_ended = self.former.get(worker).is_some_and(|former| {
            incarnation < former.incarnation
                || (incarnation == former.incarnation && former.has_deregistered)
        });
        is_replaced || has_ended
    }
}
