//! The process's metrics as Prometheus text.

use std::net::SocketAddr;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use salvo::{
    Depot, FlowCtrl, Listener, Request, Response, Router, Server, async_trait, conn::TcpListener,
    handler::Handler, writing::Text,
};
use toucanquay_model::{Error, ErrorKind};

/// Writes the metrics of the process.
#[derive(Debug, Clone)]
struct Exporter {
    handle: PrometheusHandle,
}

#[async_trait]
impl Handler for Exporter {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        response.render(Text::Plain(self.handle.render()));
    }
}

/// Installs the recorder of the process and serves its metrics at `/metrics` on `address`.
///
/// It must be called before the metrics are created, and once in a process.
///
/// # Errors
///
/// [`ErrorKind::InvalidSetting`] when the address can't be used or a recorder is installed.
pub async fn start(address: SocketAddr) -> Result<(), Error> {
    let invalid_setting = |cause: String| {
        Error::new(ErrorKind::InvalidSetting)
            .field("--metrics-listen")
            .value(address)
            .expected("a free address of this host")
            .context(cause)
    };
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|cause| invalid_setting(cause.to_string()))?;
    let acceptor = TcpListener::new(address)
        .try_bind()
        .await
        .map_err(|cause| invalid_setting(cause.to_string()))?;
    let router = Router::with_path("metrics").get(Exporter { handle });
    tokio::spawn(Server::new(acceptor).serve(router));
    Ok(())
}
