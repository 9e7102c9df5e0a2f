//! Heartbeats of companions.

use std::sync::Arc;

use slog::{debug, info};
use toucanquay_control::roster::{UpdateResult, UpstreamStatus};
use toucanquay_model::upstream::{Announcement, watch_slots};
use toucanquay_policy::route::State;
use toucanquay_wire::heartbeat::{Heartbeat, Reply};

use crate::{Context, balancer::TrafficClass};

/// Time after startup, in milliseconds, during which an entry adds upstreams without slow start.
/// All existing upstreams announce themselves to a new entry within three heartbeats.
const STARTUP_PERIOD_MS: u64 = 3_000;

/// Processes a heartbeat and returns the reply.
pub fn receive_heartbeat(context: &Arc<Context>, heartbeat: &Heartbeat) -> Reply {
    let now = context.clock.now();
    if let Some(announcement) = &heartbeat.announcement {
        let result = context.roster().announce(announcement.clone(), now);
        if result == UpdateResult::Joined {
            add_upstream(context, announcement);
        }
    }
    let status = upstream_status(heartbeat);
    let result = context.roster().heartbeat(
        &heartbeat.worker,
        heartbeat.incarnation,
        heartbeat.sequence,
        status,
        now,
    );
    if result == UpdateResult::Known {
        update_balancers(context, heartbeat);
    }
    if heartbeat.revision > context.register().revision() {
        fetch_sections_from(context, heartbeat);
    }
    let mut register = context.register();
    register.observe_revision(heartbeat.revision_known);
    Reply {
        revision_known: register.revision_known(),
        revision: register.revision(),
        entries: entry_addresses(context),
        owner: context.owner(),
        wants_announcement: result == UpdateResult::Unknown,
    }
}

/// Removes upstreams whose heartbeats have stopped.
pub fn expire_upstreams(context: &Arc<Context>) {
    let now = context.clock.now();
    let expired = context.roster().remove_expired(now);
    for member in expired {
        let announcement = member.announcement;
        info!(context.log, "upstream_expired";
            "worker" => %announcement.worker, "incarnation" => announcement.incarnation);
        for traffic in [TrafficClass::Request, TrafficClass::Watch] {
            if let Some(balancer) = context.balancer(&announcement.service, traffic) {
                balancer.remove_upstream(&announcement.worker);
            }
        }
    }
}

/// Fetches newer sections from a companion, one fetch at a time. An entry that starts during an
/// outage of the store and reaches no other entry gets its configuration this way.
fn fetch_sections_from(context: &Arc<Context>, heartbeat: &Heartbeat) {
    let address = context
        .roster()
        .get(&heartbeat.worker)
        .map(|member| member.announcement.address);
    let Some(address) = address else {
        return;
    };
    if !context.try_begin_fetch() {
        return;
    }
    let context = context.clone();
    tokio::spawn(async move {
        let held_revision = context.register().revision();
        if let Err(error) = super::fetch_sections(&context, address, held_revision).await {
            debug!(context.log, "section_fetch_failed"; "from" => %address, "error" => %error);
        }
        context.end_fetch();
    });
}

fn add_upstream(context: &Arc<Context>, announcement: &Announcement) {
    info!(context.log, "upstream_joined";
        "worker" => %announcement.worker, "incarnation" => announcement.incarnation,
        "service" => &announcement.service, "zone" => &announcement.zone);
    let is_warm = context.clock.now().as_millis() < STARTUP_PERIOD_MS;
    let slots = announcement.slots;
    context
        .balancer_or_insert(&announcement.service, TrafficClass::Request)
        .add_upstream(announcement, slots, is_warm);
    let watch_slots_max = match watch_slots(slots, announcement.connections) {
        0 => slots,
        watch_slots_max => watch_slots_max,
    };
    context
        .balancer_or_insert(&announcement.service, TrafficClass::Watch)
        // Watches put little load on an upstream, so slow start would only delay them.
        .add_upstream(announcement, watch_slots_max, true);
}

fn update_balancers(context: &Arc<Context>, heartbeat: &Heartbeat) {
    let service = context
        .roster()
        .get(&heartbeat.worker)
        .map(|member| member.announcement.service.clone());
    let Some(service) = service else {
        return;
    };
    let state = match (heartbeat.is_leaving, heartbeat.is_healthy) {
        (true, _) => State::Draining,
        (false, true) => State::Up,
        (false, false) => State::Unhealthy,
    };
    if let Some(balancer) = context.balancer(&service, TrafficClass::Request) {
        balancer.update_upstream(&heartbeat.worker, state, heartbeat.in_flight);
    }
    if let Some(balancer) = context.balancer(&service, TrafficClass::Watch) {
        // The reported load does not include watches.
        balancer.update_upstream(&heartbeat.worker, state, 0);
    }
}

const fn upstream_status(heartbeat: &Heartbeat) -> UpstreamStatus {
    UpstreamStatus {
        revision: heartbeat.revision,
        in_flight: heartbeat.in_flight,
        tasks: heartbeat.tasks,
        is_healthy: heartbeat.is_healthy,
        is_leaving: heartbeat.is_leaving,
        is_drained: heartbeat.is_drained,
    }
}

fn entry_addresses(context: &Context) -> Vec<std::net::SocketAddr> {
    let mut entries: Vec<_> = context.peers().values().map(|peer| peer.address).collect();
    entries.push(context.settings.peer_listen);
    entries.sort_unstable();
    entries.dedup();
    entries
}
