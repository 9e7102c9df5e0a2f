//! Response to requests that match no route.

use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use toucanquay_model::{Error, ErrorKind};

use super::ErrorBody;

/// Responds to requests that match no route.
#[derive(Debug, Clone, Copy)]
pub struct NotFoundHandler;

#[async_trait]
impl Handler for NotFoundHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let route = format!("{} {}", request.method(), request.uri().path());
        let error = Error::new(ErrorKind::UnknownRoute)
            .field("route")
            .value(route)
            .expected("a method and path out of docs/interface.md");
        ErrorBody::new(&error).write(response);
    }
}
