//! The admin calls: JSON-RPC 2.0 over `POST /rpc`, answered by the control thread.

use crate::control::events::{AdminCall, AdminRequest, AdminResult, Event};
use async_channel::Sender;
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::{ErrorObjectOwned, Params};
use serde::de::DeserializeOwned;
use skylarkdock_admin::envelope::NoParams;
use skylarkdock_admin::methods;

const CONTROL_GONE: i32 = -32_000;
/// Notifications buffered for one call; admin calls have none.
const CALL_BUFFER: usize = 1;

type Events = Sender<Event>;

/// The admin calls.
pub struct Rpc {
    module: RpcModule<Events>,
}

impl Rpc {
    /// Builds the calls.
    ///
    /// # Errors
    ///
    /// Returns an error if two calls have the same name.
    pub fn new(events: Events) -> Result<Self, RegisterMethodError> {
        let mut module = RpcModule::new(events);
        register(&mut module, methods::STATUS, |_: NoParams| AdminRequest::Status)?;
        register(&mut module, methods::RECORDS, |_: NoParams| AdminRequest::Records)?;
        register(&mut module, methods::PUBLISH, AdminRequest::Publish)?;
        register(&mut module, methods::CHECK, AdminRequest::Check)?;
        register(&mut module, methods::RETIRE, AdminRequest::Retire)?;
        register(&mut module, methods::SETTLE, AdminRequest::Settle)?;
        register(&mut module, methods::HOSTS, |_: NoParams| AdminRequest::Hosts)?;
        register(&mut module, methods::RANGES, AdminRequest::Ranges)?;
        register(&mut module, methods::EXPLAIN_KEY, AdminRequest::ExplainKey)?;
        register(&mut module, methods::EXPLAIN_REQUEST, AdminRequest::ExplainRequest)?;
        register(&mut module, methods::EVENTS, AdminRequest::Events)?;
        register(&mut module, methods::DRAIN, |_: NoParams| AdminRequest::Drain)?;
        Ok(Self { module })
    }

    /// Answers a call; nothing if it is not JSON-RPC.
    pub async fn answer(&self, call: &str) -> Option<String> {
        let answered = self.module.raw_json_request(call, CALL_BUFFER).await;
        answered.ok().map(|(answer, _)| answer.get().to_owned())
    }
}

fn register<P: DeserializeOwned + Send + 'static>(
    module: &mut RpcModule<Events>,
    name: &'static str,
    ask: fn(P) -> AdminRequest,
) -> Result<(), RegisterMethodError> {
    module.register_async_method(name, move |params: Params<'static>, events, _| async move {
        let params: P = params.parse()?;
        answer(&events, ask(params)).await
    })?;
    Ok(())
}

async fn answer(events: &Events, ask: AdminRequest) -> Result<serde_json::Value, ErrorObjectOwned> {
    let gone = || ErrorObjectOwned::owned(CONTROL_GONE, "the host is stopping", None::<()>);
    let (reply, answered) = async_channel::bounded::<AdminResult>(1);
    let call = AdminCall { request: ask, reply };
    events.send(Event::Admin(call)).await.map_err(|_| gone())?;
    let answer = answered.recv().await.map_err(|_| gone())?;
    answer.map_err(|error| ErrorObjectOwned::owned(error.code, error.message, error.data))
}
