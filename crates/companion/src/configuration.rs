//! Synchronizes the configuration sections with other processes.

use std::{net::SocketAddr, time::Duration};

use slog::{debug, warn};
use tokio::time::Instant;
use toucanquay_control::register::{SectionVersion, Snapshot};
use toucanquay_model::{Error, ErrorKind, Revision};
use toucanquay_wire::{
    Frame,
    section::{self, Query},
};

use crate::Context;

/// Timeout for fetching sections from one process. After it, the next heartbeat reply is tried.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Limit on the section texts in one reply, in bytes. A reply may exceed it by one section of up to
/// 1 MB and still fits a frame.
const REPLY_BYTES_MAX: usize = 128 * 1_024;

/// Returns the reply to a query for configuration sections.
#[must_use]
pub fn section_reply(context: &Context, query: Query) -> section::Reply {
    let snapshot = context.register().page(query.after, REPLY_BYTES_MAX);
    let items = snapshot.items.into_iter().map(|item| section::Item {
        team: item.team,
        revision: item.revision,
        text: item.text,
    });
    section::Reply {
        revision: snapshot.revision,
        items: items.collect(),
    }
}

/// Records the revisions that the process at `address` has reported, and fetches the sections that
/// this companion lacks from it.
pub async fn update_from(
    context: &Context,
    address: SocketAddr,
    revision: Revision,
    revision_known: Revision,
) {
    context
        .register()
        .observe_revision(revision_known.max(revision));
    loop {
        let held = context.register().revision();
        if held >= revision {
            return;
        }
        if let Err(error) = fetch_sections(context, address, held).await {
            debug!(context.log, "sections_failed"; "entry" => %address, "error" => %error);
            return;
        }
        if context.register().revision() <= held {
            warn!(context.log, "sections_missing";
                "entry" => %address, "revision" => revision, "held" => held);
            return;
        }
    }
}

async fn fetch_sections(
    context: &Context,
    address: SocketAddr,
    after: Revision,
) -> Result<(), Error> {
    let query = Frame::SectionQuery(Query { after });
    let deadline = Instant::now() + FETCH_TIMEOUT;
    let frame = context.pool.call(address, &query, deadline).await?;
    let Frame::SectionReply(reply) = frame else {
        return Err(Error::new(ErrorKind::Protocol).context("unexpected frame"));
    };
    let items = reply.items.into_iter().map(|item| SectionVersion {
        team: item.team,
        revision: item.revision,
        text: item.text,
    });
    let snapshot = Snapshot {
        revision: reply.revision,
        items: items.collect(),
    };
    let errors = merge_sections(context, snapshot);
    for (team, error) in errors {
        warn!(context.log, "section_unreadable"; "team" => team, "error" => %error);
    }
    context.apply_configuration();
    Ok(())
}

fn merge_sections(context: &Context, snapshot: Snapshot) -> Vec<(String, Error)> {
    let teams: Vec<String> = snapshot
        .items
        .iter()
        .map(|item| item.team.clone())
        .collect();
    let mut register = context.register();
    register.merge(snapshot);
    let errors = teams.into_iter().filter_map(|team| {
        let error = register.parse_error(&team)?.clone();
        Some((team, error))
    });
    errors.collect()
}
