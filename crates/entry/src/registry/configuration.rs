//! Sections of the configuration document in the store.

use std::{collections::HashSet, sync::Arc};

use serde::{Deserialize, Serialize};
use slog::{info, warn};
use toucanquay_control::register::SectionVersion;
use toucanquay_model::Revision;
use toucanquay_store::{Event, Range};

use crate::Context;

/// Prefix of the keys of sections, followed by the team.
pub const SECTION_PREFIX: &str = "config/section/";

/// Stored value of a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRecord {
    /// Author of the last edit.
    pub author: String,
    /// TOML text of the section.
    pub text: String,
}

/// Reads all sections, then watches for changes.
pub(super) async fn watch(context: &Arc<Context>) {
    loop {
        let Some(after) = read_sections(context).await else {
            super::entries::wait_before_retry().await;
            continue;
        };
        let mut watch = context.store.watch(SECTION_PREFIX, after);
        while let Event::Change(change) = watch.next().await {
            apply_section(
                context,
                &change.key,
                change.value.as_deref(),
                change.revision,
            );
            advance_revision(context, change.revision);
        }
        warn!(context.log, "configuration_watch_interrupted"; "after" => after);
    }
}

async fn read_sections(context: &Arc<Context>) -> Option<Revision> {
    let range = match context.store.range(SECTION_PREFIX).await {
        Ok(range) => range,
        Err(error) => {
            warn!(context.log, "configuration_unreadable"; "error" => %error);
            return None;
        }
    };
    let mut newest = 0;
    if range.is_complete {
        newest = remove_unlisted(context, &range);
    }
    for item in &range.items {
        apply_section(context, &item.key, Some(&item.value), item.revision);
        newest = newest.max(item.revision);
    }
    advance_revision(context, newest);
    context.set_configured();
    Some(range.revision)
}

/// Removes the sections that the store no longer has. Their removals may have been missed. Returns
/// the highest revision that was applied.
///
/// A section was removed at a revision that is unknown, but higher than its own.
fn remove_unlisted(context: &Context, range: &Range) -> Revision {
    let keys = range.items.iter();
    let listed: HashSet<&str> = keys
        .filter_map(|item| item.key.strip_prefix(SECTION_PREFIX))
        .collect();
    let held = context.register().snapshot(0).items;
    let is_unlisted = |item: &SectionVersion| {
        // A later revision was received from another process.
        let is_known_to_range = item.revision <= range.revision;
        item.text.is_some() && is_known_to_range && !listed.contains(item.team.as_str())
    };
    let mut newest = 0;
    for item in held.into_iter().filter(is_unlisted) {
        let revision = item.revision + 1;
        apply_section(context, &section_key(&item.team), None, revision);
        newest = newest.max(revision);
    }
    newest
}

fn section_key(team: &str) -> String {
    format!("{SECTION_PREFIX}{team}")
}

fn apply_section(context: &Context, key: &str, value: Option<&str>, revision: Revision) {
    let Some(team) = key.strip_prefix(SECTION_PREFIX) else {
        return;
    };
    let text = value.map(|value| match serde_json::from_str::<SectionRecord>(value) {
        Ok(record) => record.text,
        // A value written by another tool is the plain text of the section.
        Err(_) => value.to_owned(),
    });
    let item = SectionVersion {
        team: team.to_owned(),
        revision,
        text,
    };
    let mut register = context.register();
    if register.apply(item) {
        info!(context.log, "section_applied"; "team" => team, "revision" => revision);
    }
    if let Some(error) = register.parse_error(team) {
        warn!(context.log, "section_unreadable"; "team" => team, "revision" => revision,
            "error" => %error);
    }
}

fn advance_revision(context: &Context, revision: Revision) {
    context.register().advance_to(revision);
    context.role.configuration_changed();
}
