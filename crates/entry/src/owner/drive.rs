//! The cell's run loop while this entry is the owner.

use std::{
    sync::{Arc, Mutex},
    time::{SystemTime, UNIX_EPOCH},
};

use slog::{info, warn};
use tokio::time::{Duration, Instant};
use toucanquay_control::cell::Write;
use toucanquay_model::{ErrorKind, Revision, Time};
use toucanquay_store::{Expected, Lease, PutOutcome};

use super::{CellHandle, Takeover, takeover::segment_key};
use crate::{Context, invariant};

/// Maximum time between two steps of the cell. Waits and lease bounds are multiples of it.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 6;

/// Share of the lease, in fifths, during which the process acts as owner. The rest is a margin for
/// differences in clock rates and for the time between a check and its effect.
const OWNERSHIP_FIFTHS: u32 = 4;

/// Timeout for the last writes of an owner that retires.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// Acts as owner until the role is lost or given up.
pub(super) async fn run_as_owner(context: &Arc<Context>, takeover: Takeover) {
    let lease = takeover.lease;
    let cell_handle = Arc::new(CellHandle::new(takeover.cell, context.clock));
    let revisions = Arc::new(Mutex::new(takeover.revisions));
    cell_handle.with_cell(|cell, now| cell.set_wall_clock(unix_ms(), now));
    extend_ownership(context, &cell_handle, lease);
    context.role.set_cell_handle(Some(cell_handle.clone()));
    tokio::select! {
        () = drive_cell(context, &cell_handle, &revisions) => {}
        () = renew_lease(context, &cell_handle, lease) => {}
        () = context.role.wait_retired() => flush_writes(context, &cell_handle, &revisions).await,
    }
    context.role.set_cell_handle(None);
    cell_handle.with_cell(|cell, now| {
        cell.extend_ownership(Time::ZERO);
        cell.mark_deposed();
        cell.take_answers(now);
    });
    if let Err(error) = context.store.revoke(lease.id).await {
        warn!(context.log, "lease_revocation_failed"; "error" => %error);
    }
    // The change of the holder's key may already have happened, so the next attempt must not wait
    // for it.
    context.role.set_vacant();
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Runs the cell until it is deposed because another process owns it.
async fn drive_cell(
    context: &Arc<Context>,
    cell_handle: &Arc<CellHandle>,
    revisions: &Arc<Mutex<Vec<Revision>>>,
) {
    let mut applied_revision = Revision::MAX;
    loop {
        apply_configuration(context, cell_handle, &mut applied_revision);
        for write in cell_handle.step() {
            tokio::spawn(write_segment(
                context.clone(),
                cell_handle.clone(),
                revisions.clone(),
                write,
            ));
        }
        for number in cell_handle.with_cell(|cell, _| cell.take_violations()) {
            invariant::report_violation(
                &context.log,
                number,
                "task start offered by the placement",
            );
        }
        if cell_handle.with_cell(|cell, _| cell.is_deposed()) {
            warn!(context.log, "role_lost"; "cell" => context.settings.cell);
            return;
        }
        tokio::select! {
            () = cell_handle.wait_woken() => {}
            () = tokio::time::sleep(STEP_INTERVAL) => {}
        }
    }
}

/// Applies the configuration to the cell if it has changed.
fn apply_configuration(
    context: &Context,
    cell_handle: &CellHandle,
    applied_revision: &mut Revision,
) {
    let register = context.register();
    let known = register.revision_known();
    if *applied_revision == register.revision() {
        cell_handle.with_cell(|cell, _| cell.observe_revision(known));
        return;
    }
    *applied_revision = register.revision();
    let sections = register
        .sections()
        .map(|(team, section)| (team.to_owned(), section.clone()))
        .collect();
    cell_handle.with_cell(|cell, _| cell.configure(sections, *applied_revision, known));
}

/// Renews the lease until it expires.
async fn renew_lease(context: &Context, cell_handle: &CellHandle, mut lease: Lease) {
    let ttl = Duration::from_millis(context.settings.holder_lease_ms);
    loop {
        tokio::time::sleep(ttl / RENEWALS_PER_LEASE).await;
        match context.store.keep_alive(lease.id).await {
            Ok(Some(renewed)) => {
                lease = renewed;
                extend_ownership(context, cell_handle, lease);
            }
            Ok(None) => {
                warn!(context.log, "holder_lease_ended"; "cell" => context.settings.cell);
                return;
            }
            Err(error) => {
                warn!(context.log, "holder_lease_renewal_failed"; "error" => %error);
            }
        }
    }
}

/// Allows the cell to act for [`OWNERSHIP_FIFTHS`] of the lease, counted from the time at which the
/// grant or renewal was sent.
fn extend_ownership(context: &Context, cell_handle: &CellHandle, lease: Lease) {
    let ttl = Duration::from_millis(context.settings.holder_lease_ms);
    let until = lease.deadline - ttl / 5 * (5 - OWNERSHIP_FIFTHS);
    let remaining = until.saturating_duration_since(Instant::now());
    let remaining = u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX);
    cell_handle.with_cell(|cell, now| cell.extend_ownership(now.plus_micros(remaining)));
}

/// Writes the last changes to the store before the role is handed over.
async fn flush_writes(
    context: &Arc<Context>,
    cell_handle: &Arc<CellHandle>,
    revisions: &Arc<Mutex<Vec<Revision>>>,
) {
    info!(context.log, "role_retiring"; "cell" => context.settings.cell);
    let flush = async {
        loop {
            let writes = cell_handle.step();
            if writes.is_empty() && !cell_handle.with_cell(|cell, _| cell.has_pending_writes()) {
                return;
            }
            for write in writes {
                write_segment(
                    context.clone(),
                    cell_handle.clone(),
                    revisions.clone(),
                    write,
                )
                .await;
            }
            tokio::time::sleep(STEP_INTERVAL).await;
        }
    };
    if tokio::time::timeout(FLUSH_TIMEOUT, flush).await.is_err() {
        warn!(context.log, "flush_incomplete"; "cell" => context.settings.cell);
    }
    cell_handle.step();
}

/// Writes one segment and reports the result to the cell.
async fn write_segment(
    context: Arc<Context>,
    cell_handle: Arc<CellHandle>,
    revisions: Arc<Mutex<Vec<Revision>>>,
    write: Write,
) {
    let Write {
        segment,
        version,
        value,
    } = write;
    let known = segment_revision(&revisions, segment);
    let expected = match known {
        0 => Expected::Absent,
        known => Expected::Revision(known),
    };
    let key = segment_key(context.settings.cell, segment);
    match context.store.put(&key, &value, expected, None).await {
        Ok(PutOutcome::Stored(revision)) => {
            set_segment_revision(&revisions, segment, revision);
            cell_handle.with_cell(|cell, now| cell.write_succeeded(segment, version, now));
        }
        Ok(PutOutcome::Conflict(Some(item))) if is_own_write(&context, &item) => {
            // An earlier write of this process, whose response was lost, has taken effect.
            set_segment_revision(&revisions, segment, item.revision);
            cell_handle.with_cell(|cell, now| cell.write_failed(segment, version, false, now));
        }
        Ok(PutOutcome::Conflict(_) | PutOutcome::LeaseEnded) => {
            cell_handle.with_cell(|cell, _| cell.mark_deposed());
        }
        Err(error) => {
            warn!(context.log, "segment_write_failed"; "segment" => segment, "error" => %error);
            let is_certain = error.kind() != ErrorKind::OutcomeUnknown;
            cell_handle.with_cell(|cell, now| cell.write_failed(segment, version, is_certain, now));
        }
    }
    cell_handle.wake();
}

fn is_own_write(context: &Context, item: &toucanquay_store::Item) -> bool {
    item.stamp
        .as_ref()
        .is_some_and(|stamp| stamp.writer == context.store.writer())
}

fn segment_revision(revisions: &Mutex<Vec<Revision>>, segment: u32) -> Revision {
    lock(revisions).get(segment as usize).copied().unwrap_or(0)
}

fn set_segment_revision(revisions: &Mutex<Vec<Revision>>, segment: u32, revision: Revision) {
    let mut revisions = lock(revisions);
    let index = segment as usize;
    if revisions.len() <= index {
        revisions.resize(index + 1, 0);
    }
    revisions[index] = revision;
}

fn lock(revisions: &Mutex<Vec<Revision>>) -> std::sync::MutexGuard<'_, Vec<Revision>> {
    revisions
        .lock()
        .expect("no thread panics while it holds this lock")
}
