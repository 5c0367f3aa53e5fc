//! Reads the platform's log and appends to it.

use crate::clock;
use crate::control::events::Event;
use async_channel::Sender;
use async_io::Timer;
use skylarkdock_fold::startup::CheckpointScan;
use skylarkdock_fold::{Fold, State};
use skylarkdock_logclient::Log;
use skylarkdock_logclient::log::{AppendError, LogPage, ReadError};
use skylarkdock_units::ids::Offset;
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::Millis;

const PAGE_RECORDS: u32 = 500;
const LONG_POLL_MS: Millis = Millis(1_000);
const RETRY_DELAY_MS: Millis = Millis(100);
const MAX_APPEND_ATTEMPTS: u32 = 3;

/// Reads the whole log, then follows it until the event channel is closed.
pub async fn follow(log: Log, events: Sender<Event>) {
    while !events.is_closed() {
        let asked_at = clock::host_time();
        let Ok(Some(state)) = load(&log).await else {
            send_event(&events, Event::LogFailed).await;
            Timer::after(RETRY_DELAY_MS.duration()).await;
            continue;
        };
        let next = Offset(state.applied.0 + 1);
        send_event(&events, Event::LogLoaded { state: Box::new(state), asked_at }).await;
        tail(&log, next, &events).await;
    }
}

async fn send_event(events: &Sender<Event>, event: Event) {
    // Fails only if the control thread has stopped.
    let _ = events.send(event).await;
}

/// Reads new records until the log has dropped some that were not read yet.
async fn tail(log: &Log, mut next: Offset, events: &Sender<Event>) {
    while !events.is_closed() {
        let asked_at = clock::host_time();
        match log.read(next, PAGE_RECORDS, LONG_POLL_MS).await {
            Ok(page) if page.oldest > next => return,
            Ok(page) => {
                next = page.records.last().map_or(next, |(offset, _)| Offset(offset.0 + 1));
                send_event(events, Event::LogRead { page, asked_at }).await;
            }
            Err(_) => {
                send_event(events, Event::LogFailed).await;
                Timer::after(RETRY_DELAY_MS.duration()).await;
            }
        }
    }
}

/// Returns the state after all records of the log. `None` if records before its oldest one are
/// missing, for example while a checkpoint is being written, or if a record can't be applied.
async fn load(log: &Log) -> Result<Option<State>, ReadError> {
    let mut scan = CheckpointScan::default();
    let first = log.read(Offset(1), PAGE_RECORDS, Millis(0)).await?;
    let (oldest, end) = (first.oldest, first.next);
    let mut page = first;
    while let Some(next) = next_offset(&page, end) {
        page.records.iter().for_each(|(_, text)| scan.add(text));
        page = log.read(next, PAGE_RECORDS, Millis(0)).await?;
    }
    let Ok(state) = scan.finish(oldest) else { return Ok(None) };
    fold_to(log, state, end).await
}

/// Returns the offset of the next page, or `None` if `page` is empty or reaches `end`.
fn next_offset(page: &LogPage, end: Offset) -> Option<Offset> {
    let (last, _) = page.records.last()?;
    (last.0 < end.0).then_some(Offset(last.0 + 1))
}

async fn fold_to(log: &Log, state: State, end: Offset) -> Result<Option<State>, ReadError> {
    let mut fold = Fold::from_state(state);
    while fold.state().applied.0 + 1 < end.0 {
        let next = Offset(fold.state().applied.0 + 1);
        let page = log.read(next, PAGE_RECORDS, Millis(0)).await?;
        for (offset, text) in &page.records {
            if fold.apply(*offset, text).is_err() {
                return Ok(None);
            }
        }
        if page.records.is_empty() {
            break;
        }
    }
    Ok(Some(fold.state().clone()))
}

/// Appends a record. Retries only after errors which rule out that the record is in the log.
pub async fn append(log: Log, id: RecordId, text: String, events: Sender<Event>) {
    let mut result = log.append(&text).await;
    for _ in 1..MAX_APPEND_ATTEMPTS {
        let delay = match &result {
            Err(AppendError::NotAppended(_)) => RETRY_DELAY_MS,
            Err(AppendError::RateLimited { retry_after }) => *retry_after,
            _ => break,
        };
        Timer::after(delay.duration()).await;
        result = log.append(&text).await;
    }
    send_event(&events, Event::AppendFinished { id, result }).await;
}
