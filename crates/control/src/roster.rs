//! Upstreams that have announced themselves, and whether they are alive.

mod heard;
mod load;
mod member;
mod settings;

use std::collections::BTreeMap;

use toucanquay_model::{Incarnation, Time, upstream::Announcement, worker};

pub use heard::Heard;
pub use load::Load;
pub use member::Member;
pub use settings::Settings;

/// Membership of the upstreams, as one entry sees it.
///
/// A worker has at most one member. A higher incarnation replaces a lower one, and what arrives
/// late from the lower one changes nothing.
#[derive(Debug, Clone)]
pub struct Roster {
    settings: Settings,
    members: BTreeMap<worker::Id, Member>,
    former: BTreeMap<worker::Id, Former>,
}

/// What is remembered of a worker that is no member any more.
#[derive(Debug, Clone, Copy)]
struct Former {
    incarnation: Incarnation,
    has_left: bool,
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

    /// Adds or replaces the upstream of a worker.
    pub fn announce(&mut self, announcement: Announcement, now: Time) -> Heard {
        if self.is_stale(&announcement.worker, announcement.incarnation) {
            return Heard::Stale;
        }
        self.former.remove(&announcement.worker);
        let expires_at = self.expiry(now);
        if let Some(member) = self.members.get_mut(&announcement.worker)
            && member.announcement.incarnation == announcement.incarnation
        {
            member.announcement = announcement;
            member.expires_at = member.expires_at.max(expires_at);
            return Heard::Known;
        }
        let worker = announcement.worker.clone();
        let member = Member::new(announcement, expires_at);
        self.members.insert(worker, member);
        Heard::Joined
    }

    /// Takes in heartbeat number `sequence` of a companion.
    pub fn heartbeat(
        &mut self,
        worker: &worker::Id,
        incarnation: Incarnation,
        sequence: u64,
        load: Load,
        now: Time,
    ) -> Heard {
        if self.is_stale(worker, incarnation) {
            return Heard::Stale;
        }
        let expires_at = self.expiry(now);
        let Some(member) = self.members.get_mut(worker) else {
            return Heard::Unknown;
        };
        if member.announcement.incarnation != incarnation {
            return Heard::Unknown;
        }
        if sequence <= member.sequence {
            return Heard::Stale;
        }
        member.sequence = sequence;
        member.load = load;
        member.expires_at = expires_at;
        Heard::Known
    }

    /// Removes an upstream that has drained and said goodbye; returns whether it was a member.
    pub fn leave(&mut self, worker: &worker::Id, incarnation: Incarnation, now: Time) -> bool {
        if self.is_stale(worker, incarnation) {
            return false;
        }
        let was_member = self.members.remove(worker).is_some();
        self.remember(worker.clone(), incarnation, true, now);
        was_member
    }

    /// Removes and returns the members whose heartbeats have stopped.
    pub fn expire(&mut self, now: Time) -> Vec<Member> {
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
                self.remember(worker, member.announcement.incarnation, false, now);
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

    /// Returns the members that answer for `service`, ordered by worker; leaving ones included.
    pub fn service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members()
            .filter(move |member| member.announcement.service == service)
    }

    /// Returns the members of `service` that take new requests.
    pub fn available<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.service(service).filter(|member| member.is_available())
    }

    /// Returns the lowest configuration revision that the members hold, if there are any.
    #[must_use]
    pub fn lowest_revision(&self) -> Option<toucanquay_model::Revision> {
        self.members().map(|member| member.load.revision).min()
    }

    const fn expiry(&self, now: Time) -> Time {
        now.plus_micros(self.settings.expire_micros)
    }

    fn remember(
        &mut self,
        worker: worker::Id,
        incarnation: Incarnation,
        has_left: bool,
        now: Time,
    ) {
        let former = Former {
            incarnation,
            has_left,
            forget_at: now.plus_micros(self.settings.forget_micros),
        };
        self.former.insert(worker, former);
    }

    fn is_stale(&self, worker: &worker::Id, incarnation: Incarnation) -> bool {
        let is_replaced = self
            .members
            .get(worker)
            .is_some_and(|member| incarnation < member.announcement.incarnation);
        let has_ended = self.former.get(worker).is_some_and(|former| {
            incarnation < former.incarnation
                || (incarnation == former.incarnation && former.has_left)
        });
        is_replaced || has_ended
    }
}
