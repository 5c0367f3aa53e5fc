//! Reads the platform's log and appends to it.

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

const PAGE: u32 = 500;
const POLL_MS: Millis = Millis(1_000);
const RETRY_MS: Millis = Millis(100);
const APPEND_TRIES: u32 = 3;

/// Reads the log from its beginning, then follows it until the channel closes.
pub async fn follow(log: Log, events: Sender<Event>) {
    while !events.is_closed() {
        let Ok(Some(state)) = load(&log).await else {
            tell(&events, Event::LogFailed).await;
            Timer::after(RETRY_MS.duration()).await;
            continue;
        };
        let next = Offset(state.applied.0 + 1);
        tell(&events, Event::Loaded(Box::new(state))).await;
        tail(&log, next, &events).await;
    }
}

async fn tell(events: &Sender<Event>, event: Event) {
    // The control thread is gone when the channel is closed.
    let _ = events.send(event).await;
}

/// Follows the log until records that were not read yet have been dropped from it.
async fn tail(log: &Log, mut next: Offset, events: &Sender<Event>) {
    while !events.is_closed() {
        match log.read(next, PAGE, POLL_MS).await {
            Ok(reading) if reading.oldest > next => return,
            Ok(reading) => {
                next = reading.records.last().map_or(next, |(offset, _)| Offset(offset.0 + 1));
                tell(events, Event::Read(reading)).await;
            }
            Err(_) => {
                tell(events, Event::LogFailed).await;
                Timer::after(RETRY_MS.duration()).await;
            }
        }
    }
}

/// Returns the state after everything that the log holds; nothing if records before its oldest one
/// are missing, for example because a checkpoint is just being written.
async fn load(log: &Log) -> Result<Option<State>, ReadError> {
    let mut scan = CheckpointScan::default();
    let first = log.read(Offset(1), PAGE, Millis(0)).await?;
    let (oldest, end) = (first.oldest, first.next);
    let mut reading = first;
    while let Some(next) = next_of(&reading, end) {
        reading.records.iter().for_each(|(_, text)| scan.add(text));
        reading = log.read(next, PAGE, Millis(0)).await?;
    }
    let Ok(state) = scan.finish(oldest) else { return Ok(None) };
    fold_to(log, state, end).await
}

/// Returns the offset at which to read on, nothing if the reading has come to the end.
fn next_of(reading: &LogPage, end: Offset) -> Option<Offset> {
    let (last, _) = reading.records.last()?;
    (last.0 < end.0).then_some(Offset(last.0 + 1))
}

async fn fold_to(log: &Log, state: State, end: Offset) -> Result<Option<State>, ReadError> {
    let mut fold = Fold::from_state(state);
    while fold.state().applied.0 + 1 < end.0 {
        let next = Offset(fold.state().applied.0 + 1);
        let reading = log.read(next, PAGE, Millis(0)).await?;
        for (offset, text) in &reading.records {
            if fold.apply(*offset, text).is_err() {
                return Ok(None);
            }
        }
        if reading.records.is_empty() {
            break;
        }
    }
    Ok(Some(fold.state().clone()))
}

/// Appends a record. Tries again only while the record is certainly not in the log.
pub async fn append(log: Log, id: RecordId, text: String, events: Sender<Event>) {
    let mut result = log.append(&text).await;
    for _ in 1..APPEND_TRIES {
        let pause = match &result {
            Err(AppendError::NotAppended(_)) => RETRY_MS,
            Err(AppendError::RateLimited { retry_after }) => *retry_after,
            _ => break,
        };
        Timer::after(pause.duration()).await;
        result = log.append(&text).await;
    }
    tell(&events, Event::Appended { id, result }).await;
}
