//! Decodes routing records of all known schema versions into the internal form, [`Service`].

use crate::fault::{DecodeError, Fault, Problem};
use crate::fault_collector::FaultCollector;
use crate::generated::{v1, v2};
use crate::lenient::{self, LenientRecord};
use crate::service::{Class, OnCut, Operation, Priority, Service, Upstream};
use serde_json::Value;
use skylarkdock_units::times::Millis;

/// Newest schema version that this release reads.
pub const NEWEST_SCHEMA: u32 = 2;

/// Maximum number of key ranges of a service.
pub const MAX_RANGES: u64 = 4096;

/// Maximum number of upstreams of a service.
pub const MAX_UPSTREAMS: u64 = 4096;

const DEFAULT_DEADLINE_MS: u64 = 10_000;
const MIN_DEADLINE_MS: u64 = 10;
const MAX_DEADLINE_MS: u64 = 600_000;
const DEFAULT_SLOTS: u32 = 4;
const MAX_SLOTS: u64 = 10_000;
const DEFAULT_CONNECTIONS: u32 = 40;
const MAX_CONNECTIONS: u64 = 100_000;

/// Decodes a routing record.
///
/// # Errors
///
/// Returns an error if the value is not a routing record, its schema version is unknown, or it has
/// faults; the error lists all faults found.
pub fn decode(record: &Value) -> Result<Service, DecodeError> {
    match schema_version(record)? {
        1 => decode_lenient(lenient::deserialize(record), decode_v1),
        2 => decode_lenient(lenient::deserialize(record), decode_v2),
        found => Err(DecodeError::UnknownSchema { found, newest: NEWEST_SCHEMA }),
    }
}

/// Returns the schema version of a record.
///
/// # Errors
///
/// Returns an error if the record is not an object with a `schema` number.
pub fn schema_version(record: &Value) -> Result<u32, DecodeError> {
    let schema = record.get("schema").and_then(Value::as_u64);
    schema.and_then(|schema| u32::try_from(schema).ok()).ok_or_else(|| DecodeError::NotARecord {
        detail: "field schema must hold the schema version as a number, for example 2".to_owned(),
    })
}

/// Decodes a leniently deserialized record and merges the faults of both steps. Faults that decoding
/// finds in placeholders are left out.
fn decode_lenient<T>(
    lenient_record: LenientRecord<T>,
    decode: impl FnOnce(&T) -> Result<Service, DecodeError>,
) -> Result<Service, DecodeError> {
    let decoded = lenient_record.record.as_ref().map(decode);
    match decoded {
        Some(Ok(service)) if lenient_record.faults.is_empty() => Ok(service),
        Some(Err(DecodeError::Faults(found))) => {
            let others: Vec<_> =
                found.into_iter().filter(|fault| !lenient_record.is_faulty(&fault.field)).collect();
            Err(DecodeError::Faults([lenient_record.faults, others].concat()))
        }
        Some(Err(other)) => Err(other),
        Some(Ok(_)) | None => Err(DecodeError::Faults(lenient_record.faults)),
    }
}

fn decode_v1(record: &v1::RoutingV1) -> Result<Service, DecodeError> {
    let methods = record.once_only_methods.iter();
    let once_only = methods.map(|method| v2::OperationV2 {
        method: method.clone(),
        path_prefix: None,
        class: Class::OnceOnly.to_string(),
        priority: None,
    });
    let mut operations: Vec<_> = once_only.collect();
    if !operations.is_empty() {
        operations.extend(
            ["GET", "HEAD", "OPTIONS", "PUT", "POST", "DELETE", "PATCH"].map(repeatable_operation),
        );
    }
    let upstreams = record.upstreams.iter().map(|upstream| v2::UpstreamV2 {
        id: upstream.id.clone(),
        address: upstream.address.clone(),
        zone: upstream.zone.clone(),
        slots: None,
        connections: None,
        checks_orders: None,
    });
    let decoded = decode_v2(&v2::RoutingV2 {
        schema: record.schema,
        service: record.service.clone(),
        ranges: record.ranges,
        operations,
        deadline_ms: None,
        on_cut: None,
        upstreams: upstreams.collect(),
    });
    decoded.map_err(|error| match error {
        DecodeError::Faults(faults) => {
            DecodeError::Faults(faults.into_iter().map(rename_fault_field_to_v1).collect())
        }
        other => other,
    })
}

/// Renames the version 2 field of a fault to the version 1 field that it was converted from.
fn rename_fault_field_to_v1(fault: Fault) -> Fault {
    let method = fault.field.strip_prefix("operations").and_then(|f| f.strip_suffix(".method"));
    match method {
        Some(index) => Fault { field: format!("once_only_methods{index}"), ..fault },
        None => fault,
    }
}

fn repeatable_operation(method: &str) -> v2::OperationV2 {
    v2::OperationV2 {
        method: method.to_owned(),
        path_prefix: None,
        class: Class::Repeatable.to_string(),
        priority: None,
    }
}

fn decode_v2(record: &v2::RoutingV2) -> Result<Service, DecodeError> {
    let mut faults = FaultCollector::default();
    let name = faults.parse("service", &record.service);
    faults.check_range("ranges", record.ranges.into(), 1..=MAX_RANGES);
    let deadline = record.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    faults.check_range("deadline_ms", deadline, MIN_DEADLINE_MS..=MAX_DEADLINE_MS);
    let on_cut = record.on_cut.as_deref().unwrap_or("move");
    let on_cut = faults.parse_word("on_cut", on_cut, OnCut::WORDS);
    let operations = decode_operations(record, &mut faults);
    let upstreams = decode_upstreams(record, &mut faults);
    match (faults.into_faults(), name, on_cut) {
        (faults, Some(name), Some(on_cut)) if faults.is_empty() => Ok(Service {
            name,
            ranges: record.ranges,
            operations,
            deadline: Millis(deadline),
            on_cut,
            upstreams,
        }),
        (faults, _, _) => Err(DecodeError::Faults(faults)),
    }
}

fn decode_operations(record: &v2::RoutingV2, faults: &mut FaultCollector) -> Vec<Operation> {
    let mut operations = Vec::new();
    for (index, raw) in record.operations.iter().enumerate() {
        let field_path = |name: &str| format!("operations[{index}].{name}");
        if raw.method.is_empty() {
            faults.push(field_path("method"), Problem::Empty);
        }
        let class = faults.parse_word(&field_path("class"), &raw.class, Class::WORDS);
        let priority = match &raw.priority {
            Some(word) => faults.parse_word(&field_path("priority"), word, Priority::WORDS),
            None if raw.class == "once-only" => Some(Priority::Critical),
            None => Some(Priority::Interactive),
        };
        if let (Some(class), Some(priority)) = (class, priority) {
            operations.push(Operation {
                method: raw.method.to_ascii_uppercase(),
                path_prefix: raw.path_prefix.clone().unwrap_or_default(),
                class,
                priority,
            });
        }
    }
    operations
}

fn decode_upstreams(record: &v2::RoutingV2, faults: &mut FaultCollector) -> Vec<Upstream> {
    if record.upstreams.is_empty() {
        faults.push("upstreams", Problem::Empty);
    }
    faults.check_range("upstreams", record.upstreams.len() as u64, 0..=MAX_UPSTREAMS);
    let ids = record.upstreams.iter().enumerate();
    faults
        .check_unique(ids.map(|(index, raw)| (format!("upstreams[{index}].id"), raw.id.as_str())));
    let mut upstreams = Vec::new();
    for (index, raw) in record.upstreams.iter().enumerate() {
        upstreams.extend(decode_upstream(index, raw, faults));
    }
    upstreams.sort_by(|a, b| a.id.cmp(&b.id));
    upstreams
}

fn decode_upstream(
    index: usize,
    raw: &v2::UpstreamV2,
    faults: &mut FaultCollector,
) -> Option<Upstream> {
    let field_path = |name: &str| format!("upstreams[{index}].{name}");
    let id = faults.parse(&field_path("id"), &raw.id);
    let address = faults.parse_address(&field_path("address"), &raw.address);
    let zone = faults.parse(&field_path("zone"), &raw.zone);
    let slots = raw.slots.unwrap_or(DEFAULT_SLOTS);
    faults.check_range(&field_path("slots"), slots.into(), 1..=MAX_SLOTS);
    let connections = raw.connections.unwrap_or(DEFAULT_CONNECTIONS);
    faults.check_range(&field_path("connections"), connections.into(), 1..=MAX_CONNECTIONS);
    Some(Upstream {
        id: id?,
        address: address?,
        zone: zone?,
        slots,
        connections,
        checks_orders: raw.checks_orders.unwrap_or(true),
    })
}
