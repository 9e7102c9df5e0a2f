//! Route that lists upstreams.

use std::sync::Arc;

use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, writing::Json};
use toucanquay_control::roster::Member;

use crate::{Context, operator::Upstream};

/// Lists the upstreams whose heartbeats have not expired.
pub(super) struct ListHandler {
    context: Arc<Context>,
}

impl ListHandler {
    pub(super) const fn new(context: Arc<Context>) -> Self {
        Self { context }
    }
}

#[async_trait]
impl Handler for ListHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let upstreams: Vec<Upstream> = self
            .context
            .roster()
            .members()
            .map(upstream_from_member)
            .collect();
        response.render(Json(upstreams));
    }
}

fn upstream_from_member(member: &Member) -> Upstream {
    let announcement = &member.announcement;
    let status = &member.status;
    let state = match (status.is_drained, status.is_leaving, status.is_healthy) {
        (true, _, _) => "drained",
        (false, true, _) => "leaving",
        (false, false, true) => "available",
        (false, false, false) => "unhealthy",
    };
    Upstream {
        worker: announcement.worker.clone(),
        service: announcement.service.clone(),
        team: announcement.team.clone(),
        zone: announcement.zone.clone(),
        rack: announcement.rack.clone(),
        slots: announcement.slots,
        in_flight: status.in_flight,
        tasks: status.tasks,
        revision: status.revision,
        state: state.to_owned(),
    }
}
