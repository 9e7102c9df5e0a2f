//! Driving the cell while the role is held.

use std::{
    sync::{Arc, Mutex},
    time::{SystemTime, UNIX_EPOCH},
};

use slog::{info, warn};
use tokio::time::{Duration, Instant};
use toucanquay_control::cell::Write;
use toucanquay_model::{ErrorKind, Revision, Time};
use toucanquay_store::{Expected, Lease, PutOutcome};

use super::{Leadership, Mailbox, takeover::segment_key};
use crate::{Context, invariant};

/// Longest time between two looks at the cell. Waits and lease bounds are multiples of it.
const STEP: Duration = Duration::from_millis(20);

/// Renewals within one lease.
const RENEWALS_PER_LEASE: u32 = 6;

/// Part of the lease, in fifths, during which the process acts as owner. The rest covers clocks of
/// different rates and the time between a check and its effect.
const ACTING_FIFTHS: u32 = 4;

/// Longest time for the last writes of an owner that retires.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Acts as owner until the role is lost or given up.
pub(super) async fn hold(context: &Arc<Context>, leadership: Leadership) {
    let lease = leadership.lease;
    let mailbox = Arc::new(Mailbox::new(leadership.cell, context.clock));
    let revisions = Arc::new(Mutex::new(leadership.revisions));
    mailbox.change(|cell, now| cell.set_wall_clock(unix_ms(), now));
    extend(context, &mailbox, lease);
    context.role.set_mailbox(Some(mailbox.clone()));
    tokio::select! {
        () = drive(context, &mailbox, &revisions) => {}
        () = renew(context, &mailbox, lease) => {}
        () = context.role.retired() => flush(context, &mailbox, &revisions).await,
    }
    context.role.set_mailbox(None);
    mailbox.change(|cell, now| {
        cell.extend_ownership(Time::ZERO);
        cell.mark_deposed();
        cell.take_answers(now);
    });
    if let Err(error) = context.store.revoke(lease.id).await {
        warn!(context.log, "lease_not_revoked"; "error" => %error);
    }
    // The next try must not wait for a change of the key that came before this point.
    context.role.vacate();
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Runs the cell until another process is found to own it.
async fn drive(
    context: &Arc<Context>,
    mailbox: &Arc<Mailbox>,
    revisions: &Arc<Mutex<Vec<Revision>>>,
) {
    let mut held = Revision::MAX;
    loop {
        configure(context, mailbox, &mut held);
        for write in mailbox.step() {
            tokio::spawn(store(
                context.clone(),
                mailbox.clone(),
                revisions.clone(),
                write,
            ));
        }
        for number in mailbox.change(|cell, _| cell.take_violations()) {
            invariant::violated(&context.log, number, "a start that the placement offered");
        }
        if mailbox.change(|cell, _| cell.is_deposed()) {
            warn!(context.log, "role_lost"; "cell" => context.settings.cell);
            return;
        }
        tokio::select! {
            () = mailbox.woken() => {}
            () = tokio::time::sleep(STEP) => {}
        }
    }
}

/// Gives the cell the configuration where that has changed.
fn configure(context: &Context, mailbox: &Mailbox, held: &mut Revision) {
    let register = context.register();
    let known = register.revision_known();
    if *held == register.revision() {
        mailbox.change(|cell, _| cell.observe_revision(known));
        return;
    }
    *held = register.revision();
    let sections = register
        .sections()
        .map(|(team, section)| (team.to_owned(), section.clone()))
        .collect();
    mailbox.change(|cell, _| cell.configure(sections, *held, known));
}

/// Renews the lease until it has ended.
async fn renew(context: &Context, mailbox: &Mailbox, mut lease: Lease) {
    let ttl = Duration::from_millis(context.settings.holder_lease_ms);
    loop {
        tokio::time::sleep(ttl / RENEWALS_PER_LEASE).await;
        match context.store.keep_alive(lease.id).await {
            Ok(Some(renewed)) => {
                lease = renewed;
                extend(context, mailbox, lease);
            }
            Ok(None) => {
                warn!(context.log, "holder_lease_ended"; "cell" => context.settings.cell);
                return;
            }
            Err(error) => {
                warn!(context.log, "holder_lease_not_renewed"; "error" => %error);
            }
        }
    }
}

/// Lets the cell act until a part of the lease has passed, counted from the sending of the call.
fn extend(context: &Context, mailbox: &Mailbox, lease: Lease) {
    let ttl = Duration::from_millis(context.settings.holder_lease_ms);
    let until = lease.deadline - ttl / 5 * (5 - ACTING_FIFTHS);
    let ahead = until.saturating_duration_since(Instant::now());
    let ahead = u64::try_from(ahead.as_micros()).unwrap_or(u64::MAX);
    mailbox.change(|cell, now| cell.extend_ownership(now.plus_micros(ahead)));
}

/// Makes the last changes durable before the role is handed over.
async fn flush(
    context: &Arc<Context>,
    mailbox: &Arc<Mailbox>,
    revisions: &Arc<Mutex<Vec<Revision>>>,
) {
    info!(context.log, "role_retiring"; "cell" => context.settings.cell);
    let rounds = async {
        loop {
            let writes = mailbox.step();
            if writes.is_empty() && !mailbox.change(|cell, _| cell.has_pending_writes()) {
                return;
            }
            for write in writes {
                store(context.clone(), mailbox.clone(), revisions.clone(), write).await;
            }
            tokio::time::sleep(STEP).await;
        }
    };
    if tokio::time::timeout(FLUSH_TIMEOUT, rounds).await.is_err() {
        warn!(context.log, "flush_incomplete"; "cell" => context.settings.cell);
    }
    mailbox.step();
}

/// Makes one write, and tells the cell how it ended.
async fn store(
    context: Arc<Context>,
    mailbox: Arc<Mailbox>,
    revisions: Arc<Mutex<Vec<Revision>>>,
    write: Write,
) {
    let Write {
        segment,
        version,
        value,
    } = write;
    let known = revision(&revisions, segment);
    let expected = match known {
        0 => Expected::Absent,
        known => Expected::Revision(known),
    };
    let key = segment_key(context.settings.cell, segment);
    match context.store.put(&key, &value, expected, None).await {
        Ok(PutOutcome::Stored(revision)) => {
            set_revision(&revisions, segment, revision);
            mailbox.change(|cell, now| cell.write_succeeded(segment, version, now));
        }
        Ok(PutOutcome::Conflict(Some(item))) if is_own(&context, &item) => {
            // An earlier write whose answer was lost has taken effect after all.
            set_revision(&revisions, segment, item.revision);
            mailbox.change(|cell, now| cell.write_failed(segment, version, false, now));
        }
        Ok(PutOutcome::Conflict(_) | PutOutcome::LeaseEnded) => {
            mailbox.change(|cell, _| cell.mark_deposed());
        }
        Err(error) => {
            warn!(context.log, "segment_not_written"; "segment" => segment, "error" => %error);
            let is_certain = error.kind() != ErrorKind::OutcomeUnknown;
            mailbox.change(|cell, now| cell.write_failed(segment, version, is_certain, now));
        }
    }
    mailbox.wake();
}

fn is_own(context: &Context, item: &toucanquay_store::Item) -> bool {
    item.stamp
        .as_ref()
        .is_some_and(|stamp| stamp.writer == context.store.writer())
}

fn revision(revisions: &Mutex<Vec<Revision>>, segment: u32) -> Revision {
    lock(revisions).get(segment as usize).copied().unwrap_or(0)
}

fn set_revision(revisions: &Mutex<Vec<Revision>>, segment: u32, revision: Revision) {
    let mut revisions = lock(revisions);
    let place = segment as usize;
    if revisions.len() <= place {
        revisions.resize(place + 1, 0);
    }
    revisions[place] = revision;
}

fn lock(revisions: &Mutex<Vec<Revision>>) -> std::sync::MutexGuard<'_, Vec<Revision>> {
    revisions
        .lock()
        .expect("no holder of this lock panics while it changes the list")
}
