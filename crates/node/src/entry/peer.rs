//! Serves queries and notifications of other entries.

use std::sync::Arc;

use tokio::{
    sync::oneshot,
    time::{Duration, Instant},
};
use toucanquay_model::{Error, ErrorKind};
use toucanquay_wire::{
    Frame, Stream,
    graph::{Query, Reply},
};

use super::{Shared, change, owner::Event};

/// Serves one stream.
pub(super) async fn serve(shared: Arc<Shared>, mut stream: Stream) {
    let Ok(Some(Frame::Graph(query))) = stream.recv().await else {
        return;
    };
    let reply = match query {
        Query::Change { change, within_ms } => {
            let deadline = Instant::now() + Duration::from_millis(within_ms);
            let changed = change::apply_in_store(&shared, &change, deadline).await;
            changed.map(Reply::Changed)
        }
        Query::IsReady => Ok(Reply::Ready(shared.is_ready())),
        Query::Configuration { known_version } => configuration(&shared, known_version),
        query => query_local_owner(&shared, query).await,
    };
    let frame = match reply {
        Ok(reply) => Frame::GraphReply(reply),
        Err(error) => Frame::Refused(error),
    };
    // Sending fails if the peer has timed out, in which case it falls back to the store.
    let _ = stream.send_last(&frame).await;
}

/// Returns the age of this entry's knowledge of the configuration, and the configuration if the
/// peer has an older one.
fn configuration(shared: &Shared, known_version: Option<u64>) -> Result<Reply, Error> {
    let snapshot = shared
        .snapshot()
        .ok_or_else(|| Error::new(ErrorKind::StoreUnavailable))?;
    let age_micros = snapshot.age_micros(shared.clock.now());
    let is_newer = known_version.is_none_or(|known| known < snapshot.configuration.version);
    let value = is_newer.then_some(snapshot.value);
    Ok(Reply::Configuration { age_micros, value })
}

/// Sends a query to the owner in this process and returns its reply.
pub(super) async fn query_local_owner(shared: &Shared, query: Query) -> Result<Reply, Error> {
    let no_owner = || Error::new(ErrorKind::NoOwner);
    let mailbox = shared.mailbox().ok_or_else(no_owner)?;
    let (sender, reply) = oneshot::channel();
    let event = Event::Query(query, Some(sender));
    mailbox.send(event).await.map_err(|_closed| no_owner())?;
    reply.await.map_err(|_closed| no_owner())
}
