//! Route that waits until a revision is in force.

use std::sync::Arc;

use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, writing::Json};
use tokio::time::{Duration, Instant};
use toucanquay_model::{Error, ErrorKind, Revision};

use crate::{Context, http::ErrorBody, membership, operator::InForce};

/// Default of `timeout_ms`: the time within which a change must be in force everywhere.
const TIMEOUT_MS_DEFAULT: u64 = 14_000;

/// Maximum of `timeout_ms`.
const TIMEOUT_MS_MAX: u64 = 600_000;

/// Interval between polls of the other entries.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until a revision is in force on every entry and companion.
pub(super) struct WaitHandler {
    context: Arc<Context>,
}

impl WaitHandler {
    pub(super) const fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    async fn wait(&self, revision: Revision, timeout_ms: u64) -> InForce {
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        loop {
            let lagging = self.lagging_processes(revision).await;
            if lagging.is_empty() || Instant::now() >= deadline {
                return InForce {
                    revision,
                    is_in_force: lagging.is_empty(),
                    lagging,
                };
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn lagging_processes(&self, revision: Revision) -> Vec<String> {
        let mut lagging = Vec::new();
        if self.context.register().revision() < revision {
            lagging.push(self.context.settings.name.clone());
        }
        for member in self.context.roster().members() {
            if member.status.revision < revision {
                lagging.push(member.announcement.worker.to_string());
            }
        }
        let peers: Vec<_> = self
            .context
            .peers()
            .iter()
            .map(|(name, peer)| (name.clone(), peer.address))
            .collect();
        for (name, address) in peers {
            if membership::poll_peer(&self.context, address).await.is_err() {
                lagging.push(name);
                continue;
            }
            let peers = self.context.peers();
            let is_up_to_date = peers.get(&name).is_some_and(|peer| {
                let companions = peer.revision_companions.unwrap_or(revision);
                peer.revision >= revision && companions >= revision
            });
            if !is_up_to_date {
                lagging.push(name);
            }
        }
        lagging
    }
}

#[async_trait]
impl Handler for WaitHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let revision = number_parameter(request, "revision", None, Revision::MAX);
        let timeout_ms = number_parameter(
            request,
            "timeout_ms",
            Some(TIMEOUT_MS_DEFAULT),
            TIMEOUT_MS_MAX,
        );
        match (revision, timeout_ms) {
            (Ok(revision), Ok(timeout_ms)) => {
                response.render(Json(self.wait(revision, timeout_ms).await));
            }
            (Err(error), _) | (_, Err(error)) => ErrorBody::new(&error).write(response),
        }
    }
}

fn number_parameter(
    request: &Request,
    name: &'static str,
    default: Option<u64>,
    max: u64,
) -> Result<u64, Error> {
    let text: Option<String> = request.query(name);
    let Some(text) = text else {
        return default.ok_or_else(|| {
            Error::new(ErrorKind::InvalidField)
                .field(name)
                .expected("a number")
        });
    };
    text.parse()
        .ok()
        .filter(|number| *number <= max)
        .ok_or_else(|| {
            Error::new(ErrorKind::InvalidField)
                .field(name)
                .value(text)
                .expected(format!("a number up to {max}"))
        })
}
