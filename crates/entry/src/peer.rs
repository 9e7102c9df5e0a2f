//! The listener for companions and other entries.

use std::sync::Arc;

use slog::debug;
use toucanquay_control::register::Snapshot;
use toucanquay_model::{Error, ErrorKind};
use toucanquay_wire::{Frame, Stream, peer, section};

use crate::{Context, membership};

/// Serves one stream: receives a frame and sends its reply.
pub async fn serve(context: Arc<Context>, mut stream: Stream) {
    let frame = match stream.recv().await {
        Ok(Some(frame)) => frame,
        Ok(None) => return,
        Err(error) => {
            debug!(context.log, "peer_stream_broken"; "error" => %error);
            return;
        }
    };
    let reply = handle_frame(&context, frame)
        .await
        .unwrap_or_else(Frame::Refused);
    // A peer that has disconnected retries its call elsewhere.
    let _ = stream.send(&reply).await;
    let _ = stream.finish();
}

/// Returns the status of this entry for other entries.
pub fn status(context: &Context) -> peer::Status {
    let register = context.register();
    peer::Status {
        entry: context.settings.name.clone(),
        incarnation: context.incarnation,
        address: context.settings.peer_listen,
        revision: register.revision(),
        revision_known: register.revision_known(),
        revision_companions: context.roster().lowest_revision(),
    }
}

async fn handle_frame(context: &Arc<Context>, frame: Frame) -> Result<Frame, Error> {
    match frame {
        Frame::Heartbeat(heartbeat) => Ok(Frame::HeartbeatReply(membership::receive_heartbeat(
            context, &heartbeat,
        ))),
        Frame::SectionQuery(query) => {
            let snapshot = context.register().snapshot(query.after);
            Ok(Frame::SectionReply(section_reply(snapshot)))
        }
        Frame::Report(report) => {
            let command = context.role.exchange(report).await;
            command.map(Frame::Command).ok_or_else(not_owner_error)
        }
        Frame::Job(call) => {
            let reply = context.role.job(&call).await;
            reply.map(Frame::JobReply).ok_or_else(not_owner_error)
        }
        Frame::Peer(peer) => {
            membership::receive_status(context, &peer);
            Ok(Frame::PeerReply(status(context)))
        }
        _ => Err(Error::new(ErrorKind::Protocol).context("unexpected frame")),
    }
}

fn not_owner_error() -> Error {
    Error::new(ErrorKind::NoOwner).context("this entry does not own the cell")
}

fn section_reply(snapshot: Snapshot) -> section::Reply {
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
