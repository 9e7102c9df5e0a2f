//! Heartbeats of companions.

use std::sync::Arc;

use slog::{debug, info};
use toucanquay_control::roster::{UpdateResult, UpstreamStatus};
use toucanquay_model::upstream::{Announcement, watch_slots};
use toucanquay_policy::route::State;
use toucanquay_wire::heartbeat::{Heartbeat, Reply};

use crate::{Context, lane::Traffic};

/// How long after its start an entry takes upstreams for long-serving ones, in milliseconds. They
/// all announce themselves to a new entry within three heartbeats.
const WARM_MS: u64 = 3_000;

/// Takes in a heartbeat and returns the reply.
pub fn receive_heartbeat(context: &Arc<Context>, beat: &Heartbeat) -> Reply {
    let now = context.clock.now();
    if let Some(announcement) = &beat.announcement {
        let heard = context.roster().announce(announcement.clone(), now);
        if heard == UpdateResult::Joined {
            join(context, announcement);
        }
    }
    let load = load(beat);
    let heard =
        context
            .roster()
            .heartbeat(&beat.worker, beat.incarnation, beat.sequence, load, now);
    if heard == UpdateResult::Known {
        follow(context, beat);
    }
    if beat.revision > context.register().revision() {
        fetch_from(context, beat);
    }
    let mut register = context.register();
    register.observe_revision(beat.revision_known);
    Reply {
        revision_known: register.revision_known(),
        revision: register.revision(),
        entries: entries(context),
        owner: context.owner(),
        wants_announcement: heard == UpdateResult::Unknown,
    }
}

/// Removes upstreams whose heartbeats have stopped.
pub fn expire(context: &Arc<Context>) {
    let now = context.clock.now();
    let expired = context.roster().remove_expired(now);
    for member in expired {
        let announcement = member.announcement;
        info!(context.log, "upstream_expired";
            "worker" => %announcement.worker, "incarnation" => announcement.incarnation);
        for traffic in [Traffic::Request, Traffic::Watch] {
            if let Some(lane) = context.lane(&announcement.service, traffic) {
                lane.remove(&announcement.worker);
            }
        }
    }
}

/// Fetches newer sections from a companion, one fetch at a time. An entry that starts during an
/// outage of the store and reaches no other entry gets its configuration in this way.
fn fetch_from(context: &Arc<Context>, beat: &Heartbeat) {
    let address = context
        .roster()
        .get(&beat.worker)
        .map(|member| member.announcement.address);
    let Some(address) = address else {
        return;
    };
    if !context.begin_fetch() {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        let held = context.register().revision();
        if let Err(error) = super::fetch_sections(&context, address, held).await {
            debug!(context.log, "sections_not_fetched"; "from" => %address, "error" => %error);
        }
        context.end_fetch();
    });
}

fn join(context: &Arc<Context>, announcement: &Announcement) {
    info!(context.log, "upstream_joined";
        "worker" => %announcement.worker, "incarnation" => announcement.incarnation,
        "service" => &announcement.service, "zone" => &announcement.zone);
    let is_warm = context.clock.now().as_millis() < WARM_MS;
    let slots = announcement.slots;
    context
        .lane_or_new(&announcement.service, Traffic::Request)
        .join(announcement, slots, is_warm);
    let watches = match watch_slots(slots, announcement.connections) {
        0 => slots,
        watches => watches,
    };
    context
        .lane_or_new(&announcement.service, Traffic::Watch)
        // Slow start would hold back watches, which hardly load a new upstream.
        .join(announcement, watches, true);
}

fn follow(context: &Arc<Context>, beat: &Heartbeat) {
    let service = context
        .roster()
        .get(&beat.worker)
        .map(|member| member.announcement.service.clone());
    let Some(service) = service else {
        return;
    };
    let state = match (beat.is_leaving, beat.is_healthy) {
        (true, _) => State::Draining,
        (false, true) => State::Up,
        (false, false) => State::Unhealthy,
    };
    if let Some(lane) = context.lane(&service, Traffic::Request) {
        lane.report(&beat.worker, state, beat.in_flight);
    }
    if let Some(lane) = context.lane(&service, Traffic::Watch) {
        // The reported load counts no watches.
        lane.report(&beat.worker, state, 0);
    }
}

const fn load(beat: &Heartbeat) -> UpstreamStatus {
    UpstreamStatus {
        revision: beat.revision,
        in_flight: beat.in_flight,
        tasks: beat.tasks,
        is_healthy: beat.is_healthy,
        is_leaving: beat.is_leaving,
        is_drained: beat.is_drained,
    }
}

fn entries(context: &Context) -> Vec<std::net::SocketAddr> {
    let mut entries: Vec<_> = context.peers().values().map(|peer| peer.address).collect();
    entries.push(context.settings.peer_listen);
    entries.sort_unstable();
    entries.dedup();
    entries
}
