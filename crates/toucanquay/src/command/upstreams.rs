//! The `upstreams` subcommand.

use clap::Args;
use reqwest::Method;
use toucanquay_entry::operator::Upstream;
use toucanquay_model::Error;

use super::Target;

/// Arguments of the `upstreams` subcommand.
#[derive(Debug, Args)]
pub struct Upstreams {
    #[command(flatten)]
    target: Target,
}

impl Upstreams {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// The error that the entry returned, or the error that kept the command from reaching it.
    pub async fn run(self) -> Result<(), Error> {
        let client = self.target.entry_client();
        let upstreams: Vec<Upstream> = client
            .fetch_json(client.request(Method::GET, "/upstreams"))
            .await?;
        let header = [
            "WORKER",
            "SERVICE",
            "TEAM",
            "ZONE",
            "RACK",
            "SLOTS",
            "IN FLIGHT",
            "TASKS",
            "REVISION",
            "STATE",
        ];
        self.target.output.print(&header, &upstreams, |upstream| {
            vec![
                upstream.worker.to_string(),
                upstream.service.clone(),
                upstream.team.clone(),
                upstream.zone.clone(),
                upstream.rack.clone(),
                upstream.slots.to_string(),
                upstream.in_flight.to_string(),
                upstream.tasks.to_string(),
                upstream.revision.to_string(),
                upstream.state.clone(),
            ]
        });
        Ok(())
    }
}
