//! Submits records, and queries and prints the verdict on them.

use crate::context::Context;
use crate::errors::{CallFailure, CliError, UsageError};
use crate::exit::Exit;
use futures_lite::future;
use serde::Serialize;
use skylarkdock_admin::methods;
use skylarkdock_admin::records::SettleParams;
use skylarkdock_admin::verdict::{Refusal, Verdict};
use skylarkdock_units::requests::RecordId;
use std::net::SocketAddr;

/// Submits a record to the hosts in turn until one handles it.
///
/// If a host may have received the call, the record is not submitted again. Its verdict is queried instead.
pub(crate) fn submit<P: Serialize>(
    cx: &Context<'_>,
    method: &str,
    params: &P,
    id: RecordId,
) -> Result<Verdict, CliError> {
    let hosts = cx.hosts()?;
    let mut last_error = None;
    for addr in hosts {
        // The daemon waits for the outcome for up to the timeout of a call, and its response needs time
        // as well.
        let call = cx.client.call(*addr, method, params, cx.client.timeout());
        match future::block_on(call) {
            Ok(verdict) => return Ok(verdict),
            Err(source @ (CallFailure::NotSent(_) | CallFailure::Rejected(_))) => {
                last_error = Some(CliError::Call { addr: *addr, source });
            }
            Err(CallFailure::ErrorResponse(error)) if error.code != methods::HOST_STOPPING => {
                let source = CallFailure::ErrorResponse(error);
                return Err(CliError::Call { addr: *addr, source });
            }
            Err(_) => return Ok(settle(cx, id).unwrap_or(Verdict::Unknown { id })),
        }
    }
    last_error.map_or(Ok(Verdict::Unknown { id }), Err)
}

/// Queries the hosts in turn until one knows the verdict on a record.
pub(crate) fn settle(cx: &Context<'_>, id: RecordId) -> Result<Verdict, CliError> {
    let mut result = Err(CliError::Usage(UsageError::NoHosts));
    for addr in cx.hosts()? {
        match settle_at(cx, *addr, id) {
            Ok(Verdict::Unknown { .. }) => result = Ok(Verdict::Unknown { id }),
            Ok(verdict) => return Ok(verdict),
            Err(source) if result.is_err() => {
                result = Err(CliError::Call { addr: *addr, source });
            }
            Err(_) => {}
        }
    }
    result
}

fn settle_at(cx: &Context<'_>, addr: SocketAddr, id: RecordId) -> Result<Verdict, CallFailure> {
    let params = SettleParams { id };
    let call = cx.client.call(addr, methods::SETTLE, &params, cx.client.timeout());
    future::block_on(call)
}

/// Prints a verdict and returns the exit status for it.
pub(crate) fn print(cx: &mut Context<'_>, verdict: &Verdict) -> Result<Exit, CliError> {
    match verdict {
        Verdict::Accepted { offset } => {
            cx.print(&format_args!("accepted at offset {offset}"), verdict)?;
            Ok(Exit::Done)
        }
        Verdict::Refused { reason } => {
            cx.print(&format_args!("refused: {reason}{}", refusal_details(reason)), verdict)?;
            Ok(Exit::Failed)
        }
        Verdict::Unknown { id } => {
            cx.print(&format_args!("unknown"), verdict)?;
            Err(CliError::OutcomeUnknown { id: *id })
        }
    }
}

fn refusal_details(reason: &Refusal) -> String {
    match reason {
        Refusal::Conflict { revision, .. } => {
            format!(
                "\nto see the record in force, run: skylarkdock records SERVICE\nto replace it, pass: --basis {revision}"
            )
        }
        Refusal::Invalid { faults } => faults.iter().map(|fault| format!("\n  {fault}")).collect(),
        Refusal::UnsupportedSchema { .. } | Refusal::NotFound => String::new(),
    }
}
