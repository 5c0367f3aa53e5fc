//! Search for the version of an ownership table before a record that can't be read: in the log, and on other hosts.

use super::{Control, HostRecord, store_sync};
use crate::store::{Page, Record, StoreError, Topic};
use async_executor::Task;
use async_io::Timer;
use metrics::counter;
use skylarkdock_spans::lost::{self, LogSearch, LostTable, Search};
use skylarkdock_spans::table::Table;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::ServiceName;
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::rc::Rc;

/// Pause after a search that did not end, as the store or another host may answer later.
const SEARCH_PAUSE: Millis = Millis(500);

/// An ownership table of which the newest record can't be read.
struct Unreadable {
    since: HostTime,
    search: Search,
    is_searching: bool,
    /// Counts the records that could not be read.
    records: u64,
}

/// The ownership tables of which the newest record can't be read, by the keys of their records.
#[derive(Default)]
pub(super) struct UnreadableTables(FastMap<String, Unreadable>);

impl UnreadableTables {
    /// Records whether the newest record of a table can be read. Each one that can't be needs a search of its own, as versions
    /// that this host has not read may precede it.
    pub(super) fn record(&mut self, key: &str, is_readable: bool, now: HostTime) {
        if is_readable {
            self.0.remove(key);
            return;
        }
        let search = Search::Pending;
        let new = Unreadable { since: now, search, is_searching: false, records: 0 };
        let unreadable = self.0.entry(key.to_owned()).or_insert(new);
        unreadable.search = search;
        unreadable.records += 1;
    }

    pub(super) fn contains(&self, key: &str) -> bool {
        self.0.contains_key(key)
    }

    /// Returns the state of the search for the version before the record of a table.
    pub(super) fn search(&self, key: &str) -> Search {
        self.0.get(key).map_or(Search::Ended, |unreadable| unreadable.search)
    }

    /// Returns the number of the record that a search is to start for, if one is needed and none is under way.
    fn start_search(&mut self, key: &str) -> Option<u64> {
        let unreadable = self.0.get_mut(key)?;
        let is_needed = unreadable.search != Search::Ended && !unreadable.is_searching;
        unreadable.is_searching |= is_needed;
        is_needed.then_some(unreadable.records)
    }

    /// Records the end of a search for a record; `None` if it had no result.
    fn end_search(&mut self, key: &str, record: u64, search: Option<Search>) {
        if let Some(unreadable) = self.0.get_mut(key) {
            unreadable.is_searching = false;
            if let Some(search) = search.filter(|_| unreadable.records == record) {
                unreadable.search = search;
            }
        }
    }
}

impl Control {
    /// Starts a search for the version before the record of a table if that can't be read.
    pub(super) fn search_table(self: &Rc<Self>, service: &ServiceName) {
        let key = store_sync::table_key(service);
        let started = self.fleet.borrow_mut().unreadable_tables.start_search(&key);
        if let Some(record) = started {
            let control = Rc::clone(self);
            self.spawn("table search", control.run_search(service.clone(), key, record));
        }
    }

    async fn run_search(self: Rc<Self>, service: ServiceName, key: String, record: u64) {
        let search = self.find_table(&service, &key).await;
        if search != Some(Search::Ended) {
            Timer::after(SEARCH_PAUSE.duration()).await;
        }
        self.fleet.borrow_mut().unreadable_tables.end_search(&key, record, search);
    }

    /// Looks for the version before the record of a table and adopts it. Returns `None` if the log could not be read.
    async fn find_table(self: &Rc<Self>, service: &ServiceName, key: &str) -> Option<Search> {
        let (records, since) = {
            let fleet = self.fleet.borrow();
            (fleet.fleet_end, fleet.unreadable_tables.0.get(key)?.since)
        };
        let logged = match self.read_log_back(key, records).await {
            Ok(logged) => logged,
            Err(e) => {
                log::warn!(service:% = service, error:% = e; "owners: the log could not be searched for a former table");
                return None;
            }
        };
        // Tables follow each other without a gap, so the last one in the log is the newest.
        let told = if logged.is_none() { self.ask_for_tables(service).await } else { Vec::new() };
        let known = {
            let owners = self.owners.borrow();
            owners.renewals.get(service).and_then(|renewals| renewals.table().cloned())
        };
        let (in_log, answers) = (logged.is_some(), told.len());
        let lost = LostTable { unreadable_since: since, records };
        let (search, found) = lost::conclude(lost, known.as_ref(), logged, told);
        let version = found.as_ref().or(known.as_ref()).map_or(0, |table| table.version);
        log::info!(service:% = service, version, in_log, answers, is_lost = search != Search::Ended; "owners: searched for the table before an unreadable record");
        if let Some(table) = found
            && self.adopt_table(table)
        {
            self.publish();
        }
        Some(search)
    }

    /// Returns the last version of a table in the log that can be read; `None` if the log retains none.
    async fn read_log_back(&self, key: &str, end: u64) -> Result<Option<Table>, StoreError> {
        let mut search = LogSearch::new(end);
        while let Some((from, _)) = search.next_part() {
            counter!("skylarkdock_store_calls_total", "call" => "read").increment(1);
            match (self.store.read)(Topic::Fleet, from, Millis(0)).await {
                Ok(page) => {
                    if let Some(table) = last_table(&page, key) {
                        return Ok(Some(table));
                    }
                    search.on_read(from);
                }
                Err(StoreError::Deleted) => search.on_deleted(from),
                Err(e) => return Err(e),
            }
        }
        Ok(None)
    }

    /// Returns the versions of a table that the other hosts know.
    async fn ask_for_tables(self: &Rc<Self>, service: &ServiceName) -> Vec<Table> {
        let others: Vec<SocketAddr> = {
            let fleet = self.fleet.borrow();
            let others = fleet.hosts.values().filter(|record| record.host != self.settings.host);
            others.map(|record: &HostRecord| record.peers).collect()
        };
        let ask = |addr| {
            let (control, service) = (Rc::clone(self), service.clone());
            self.ex.spawn(async move { control.request_table(addr, &service).await })
        };
        let asked: Vec<Task<Option<Table>>> = others.into_iter().map(ask).collect();
        let mut tables = Vec::new();
        for answer in asked {
            tables.extend(answer.await);
        }
        tables
    }
}

/// Returns the last version of a table in a page that can be read.
fn last_table(page: &Page, key: &str) -> Option<Table> {
    let versions = page.records.iter().rev().filter(|record| record.key == key);
    versions.filter_map(read_table).next()
}

fn read_table(record: &Record) -> Option<Table> {
    let table: Table = serde_json::from_slice(&record.value).ok()?;
    table.check().is_ok().then_some(table)
}
