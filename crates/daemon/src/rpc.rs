//! JSON-RPC 2.0 server for the admin calls on `POST /rpc`, which the control thread answers.

use crate::control::events::{AdminCall, AdminRequest, AdminResult, Event};
use async_channel::Sender;
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::{ErrorObjectOwned, Params};
use serde::de::DeserializeOwned;
use skylarkdock_admin::envelope::NoParams;
use skylarkdock_admin::methods;

/// JSON-RPC error code for a call that the control thread can't answer because the host is stopping.
const HOST_STOPPING: i32 = -32_000;
/// Capacity for notifications of a call; admin calls send none.
const NOTIFICATION_CAPACITY: usize = 1;

type Events = Sender<Event>;

/// JSON-RPC server for the admin calls.
pub struct Rpc {
    module: RpcModule<Events>,
}

impl Rpc {
    /// Registers all admin methods.
    ///
    /// # Errors
    ///
    /// Returns an error if two methods have the same name.
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

    /// Returns the response to a call, or `None` if it is not valid JSON-RPC.
    pub async fn answer(&self, call: &str) -> Option<String> {
        let response = self.module.raw_json_request(call, NOTIFICATION_CAPACITY).await;
        response.ok().map(|(answer, _)| answer.get().to_owned())
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
    let host_stopping =
        || ErrorObjectOwned::owned(HOST_STOPPING, "the host is stopping", None::<()>);
    let (reply, answers) = async_channel::bounded::<AdminResult>(1);
    let call = AdminCall { request: ask, reply };
    events.send(Event::Admin(call)).await.map_err(|_| host_stopping())?;
    let answer = answers.recv().await.map_err(|_| host_stopping())?;
    answer.map_err(|error| ErrorObjectOwned::owned(error.code, error.message, error.data))
}
