//! Routes for the configuration document.

use std::sync::Arc;

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    http::{Method, ParseError},
    writing::Json,
};
use slog::info;
use toucanquay_model::{Error, ErrorKind, Section, job};
use toucanquay_store::{Expected, Item, PutOutcome};

use crate::{
    Context,
    http::ErrorBody,
    operator::{AcceptedEdit, Edit, StoredSection},
    registry::{SECTION_PREFIX, SectionRecord},
};

/// Maximum size of a section, in bytes. The sections of 1,100 teams then fit into 70 MB of memory.
const SECTION_BYTES_MAX: usize = 65_536;

/// Returns the routes for the document.
pub(super) fn router(context: &Arc<Context>) -> Router {
    let document = DocumentHandler {
        context: context.clone(),
    };
    Router::with_path("document").get(document.clone()).push(
        Router::with_path("{team}")
            .get(document.clone())
            .put(document),
    )
}

/// Handles reads and edits of sections.
#[derive(Debug, Clone)]
struct DocumentHandler {
    context: Arc<Context>,
}

#[async_trait]
impl Handler for DocumentHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        if request.method() == Method::PUT {
            match self.put(request).await {
                Ok(accepted) => response.render(Json(accepted)),
                Err(error) => ErrorBody::new(&error).write(response),
            }
            return;
        }
        let team: Option<String> = request.param("team");
        match self.get(team.as_deref()).await {
            Ok(mut sections) if team.is_some() => response.render(Json(sections.pop())),
            Ok(sections) => response.render(Json(sections)),
            Err(error) => ErrorBody::new(&error).write(response),
        }
    }
}

impl DocumentHandler {
    async fn get(&self, team: Option<&str>) -> Result<Vec<StoredSection>, Error> {
        let store = &self.context.store;
        let Some(team) = team else {
            let range = store.range(SECTION_PREFIX).await?;
            return Ok(range.items.iter().filter_map(stored_section).collect());
        };
        job::check_name("team", team)?;
        let item = store.get(&format!("{SECTION_PREFIX}{team}")).await?;
        let section = item.as_ref().and_then(stored_section);
        section.map(|section| vec![section]).ok_or_else(|| {
            Error::new(ErrorKind::UnknownTeam)
                .field("team")
                .value(team)
                .expected("a team that has a section")
        })
    }

    async fn put(&self, request: &mut Request) -> Result<AcceptedEdit, Error> {
        let team: String = request.param("team").unwrap_or_default();
        job::check_name("team", &team)?;
        let edit = read_edit(request).await?;
        let section = Section::parse(&team, &edit.text)?;
        self.check_service_owners(&team, &section)?;
        let record = SectionRecord {
            author: edit.author,
            text: edit.text,
        };
        let value = serde_json::to_string(&record).expect("serialization of plain data can't fail");
        let expected = match edit.expected {
            0 => Expected::Absent,
            revision => Expected::Revision(revision),
        };
        let key = format!("{SECTION_PREFIX}{team}");
        match self.context.store.put(&key, &value, expected, None).await? {
            PutOutcome::Stored(revision) => {
                info!(self.context.log, "section_accepted"; "team" => team,
                    "revision" => revision, "author" => record.author);
                self.context.register().observe_revision(revision);
                Ok(AcceptedEdit { revision })
            }
            PutOutcome::Conflict(item) => Err(revision_conflict(edit.expected, item.as_ref())),
            PutOutcome::LeaseEnded => {
                Err(Error::new(ErrorKind::Protocol)
                    .context("lease expired in a write without a lease"))
            }
        }
    }

    /// Rejects a section that defines a service of another team.
    fn check_service_owners(&self, team: &str, section: &Section) -> Result<(), Error> {
        let register = self.context.register();
        for service in section.services.keys() {
            let owner = register.service(service).map(|(owner, _, _)| owner);
            if let Some(owner) = owner.filter(|owner| *owner != team) {
                return Err(Error::new(ErrorKind::InvalidField)
                    .field(format!("{team}.services"))
                    .value(service)
                    .expected(format!("a service that team {owner} does not claim")));
            }
        }
        Ok(())
    }
}

async fn read_edit(request: &mut Request) -> Result<Edit, Error> {
    let body = request
        .payload_with_max_size(SECTION_BYTES_MAX)
        .await
        .map_err(|cause| match cause {
            ParseError::PayloadTooLarge => Error::new(ErrorKind::BodyTooLarge)
                .field("body")
                .expected(format!("at most {SECTION_BYTES_MAX} bytes")),
            cause => Error::new(ErrorKind::MalformedBody).context(cause),
        })?;
    serde_json::from_slice(body).map_err(|cause| {
        Error::new(ErrorKind::MalformedBody)
            .field("body")
            .expected("JSON with text, expected and author")
            .context(cause)
    })
}

fn stored_section(item: &Item) -> Option<StoredSection> {
    let team = item.key.strip_prefix(SECTION_PREFIX)?.to_owned();
    let record = serde_json::from_str(&item.value).unwrap_or_else(|_| SectionRecord {
        author: "unknown".to_owned(),
        text: item.value.clone(),
    });
    Some(StoredSection {
        team,
        revision: item.revision,
        author: record.author,
        text: record.text,
    })
}

/// Returns the error of an edit that conflicts with another one, naming its author.
fn revision_conflict(expected: u64, found: Option<&Item>) -> Error {
    let error = Error::new(ErrorKind::RevisionConflict).field("expected");
    let Some(found) = found.and_then(stored_section) else {
        return error
            .value(expected)
            .expected("0, since the team has no section");
    };
    error
        .value(expected)
        .expected(found.revision.to_string())
        .context(format!("last changed by {}", found.author))
}
