//! HTTP endpoint for metrics in the Prometheus text format.

use std::net::SocketAddr;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use salvo::{
    Depot, FlowCtrl, Listener, Request, Response, Router, Server, async_trait, conn::TcpListener,
    handler::Handler, writing::Text,
};
use toucanquay_model::{Error, ErrorKind};

/// Responds with the current value of all metrics.
#[derive(Debug, Clone)]
struct MetricsHandler {
    handle: PrometheusHandle,
}

#[async_trait]
impl Handler for MetricsHandler {
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

/// Installs the global metrics recorder and serves its metrics at `/metrics` on `address`.
///
/// Must be called before any metrics are created, and only once per process.
///
/// # Errors
///
/// [`ErrorKind::InvalidSetting`] when the address can't be bound or a recorder is already
/// installed.
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
    let router = Router::with_path("metrics").get(MetricsHandler { handle });
    tokio::spawn(Server::new(acceptor).serve(router));
    Ok(())
}
