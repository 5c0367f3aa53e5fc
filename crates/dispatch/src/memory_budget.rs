//! Memory that a host holds for others: for connections of callers, checks and other hosts, and for answers.
//!
//! Load pattern: many clients send bodies, heads or pipelined requests that together are larger than the host's memory, and
//! most of them stop before the end. Each of them is within its own limits, so only the sum shows it. When the sum reaches
//! the budget, the connection that holds most for the least progress is closed, so that clients which make progress go on.
//!
//! The budget is asked before bytes are read. What is asked for is granted, waits until another connection that is being
//! closed has given its memory back, or is refused as nobody holds more for less progress.

use skylarkdock_units::collections::FastMap;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Memory of a process whose settings name none. It is that of the smaller hosts of a known deployment, so that a host
/// without the setting stays within the memory of most.
pub const DEFAULT_MEMORY: ByteSize = ByteSize(256_000_000);
/// Memory that is left for the process itself: its program, its registry, its tasks and its metrics. A host idles at 8 MB
/// (optimized) to 35 MB (not optimized).
const PROCESS_BYTES: u64 = 36_000_000;
/// Part of the memory that is left for what the allocator can't give back at once, as one in so many.
const ALLOCATOR_PART: u64 = 10;
/// Smallest part of the memory that is the budget, as one in so many, where the rest would leave less.
const SMALLEST_PART: u64 = 4;
/// Bytes up to which a connection counts as small. Ordinary requests are.
pub const SMALL_BYTES: u64 = 64 * 1024;
/// Largest part of the budget that is kept for small connections, so that ordinary requests are served beside large ones.
const MAX_SMALL_SHARE: u64 = 4_000_000;
/// Part of the budget that is kept for small connections, as one in so many, if that is less.
const SMALL_PART: u64 = 8;
/// Time over which the progress of a connection is counted; twice as much counts at most.
const PROGRESS_WINDOW: Millis = Millis(1_000);
/// Part of what the connections of a client address hold together that counts for each of them, as one in so many: one
/// address with many connections is closed before many addresses with one each.
const ADDRESS_PART: u64 = 8;
/// Bytes that are added to the progress of each connection. Without it all that make no progress would be alike, however
/// much they hold.
const LEAST_PROGRESS: u64 = 1_024;

/// Returns the budget of a process with so much memory.
pub fn budget_of(memory: ByteSize) -> ByteSize {
    let ByteSize(memory) = memory;
    let left = memory.saturating_sub(PROCESS_BYTES).saturating_sub(memory / ALLOCATOR_PART);
    ByteSize(left.max(memory / SMALLEST_PART))
}

/// Bytes in the last one to two windows below which a connection has stopped. It is the default of the lowest rate.
const STOPPED_BYTES: u64 = 100;

/// Number of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountId(pub u64);

/// What a connection is doing, which decides whether it may be closed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a request.
    #[default]
    Idle,
    /// It receives a request, which has not run.
    Receiving,
    /// Its client has answers to read.
    Unread,
    /// Its requests run. Closing it would leave their outcomes unknown.
    Running,
}

/// Decision on memory that is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Grant {
    /// It may be used.
    Granted,
    /// It has to wait until memory is given back. The connections in the list are to be closed.
    Wait(Vec<AccountId>),
    /// It can't be had: nobody that may be closed holds more for less progress.
    Refused,
}

/// Memory and progress of a connection.
#[derive(Debug, Clone)]
struct Account {
    addr: Option<IpAddr>,
    opened: HostTime,
    held: u64,
    stage: Stage,
    /// Whether it was told to close, and still holds what it held.
    is_closing: bool,
    window_started: HostTime,
    moved: u64,
    moved_before: u64,
}

impl Account {
    /// Starts a new window if the current one has ended.
    fn roll(&mut self, now: HostTime) {
        let age = now.since(self.window_started);
        if age < PROGRESS_WINDOW {
            return;
        }
        let is_next = age.0 < 2 * PROGRESS_WINDOW.0;
        self.moved_before = if is_next { self.moved } else { 0 };
        self.moved = 0;
        self.window_started = now;
    }

    /// Returns the bytes moved in the current window and the one before.
    fn progress(&self, now: HostTime) -> u64 {
        let age = now.since(self.window_started).0;
        if age < PROGRESS_WINDOW.0 {
            self.moved + self.moved_before
        } else if age < 2 * PROGRESS_WINDOW.0 {
            self.moved
        } else {
            0
        }
    }

    fn may_be_closed(&self) -> bool {
        matches!(self.stage, Stage::Receiving | Stage::Unread) && !self.is_closing && self.held > 0
    }
}

/// Sum of what a host holds for others, and what each connection holds of it.
#[derive(Debug)]
pub struct MemoryBudget {
    capacity: u64,
    held: u64,
    /// What the accounts hold that are closing.
    closing: u64,
    accounts: BTreeMap<AccountId, Account>,
    addresses: FastMap<IpAddr, u64>,
    last_id: u64,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(capacity: ByteSize) -> Self {
        Self {
            capacity: capacity.0,
            held: 0,
            closing: 0,
            accounts: BTreeMap::new(),
            addresses: FastMap::default(),
            last_id: 0,
        }
    }

    /// Changes the budget. What is held stays so.
    pub const fn set_capacity(&mut self, capacity: ByteSize) {
        self.capacity = capacity.0;
    }

    /// Returns the budget.
    pub const fn capacity(&self) -> ByteSize {
        ByteSize(self.capacity)
    }

    /// Returns what is held.
    pub const fn held(&self) -> ByteSize {
        ByteSize(self.held)
    }

    /// Returns what the connections of an address hold.
    pub fn held_for(&self, addr: IpAddr) -> ByteSize {
        ByteSize(self.addresses.get(&addr).copied().unwrap_or_default())
    }

    /// Adds a connection, from an address if that tells clients apart.
    pub fn open(&mut self, addr: Option<IpAddr>, now: HostTime) -> AccountId {
        self.last_id += 1;
        let id = AccountId(self.last_id);
        let account = Account {
            addr,
            opened: now,
            held: 0,
            stage: Stage::Idle,
            is_closing: false,
            window_started: now,
            moved: 0,
            moved_before: 0,
        };
        self.accounts.insert(id, account);
        id
    }

    /// Removes a connection, which gives back what it held. Returns whether that was anything.
    pub fn close(&mut self, id: AccountId) -> bool {
        let was_holding = self.change(id, 0);
        self.accounts.remove(&id);
        was_holding
    }

    /// Asks for `bytes` more for a connection.
    pub fn ask(&mut self, id: AccountId, bytes: u64, now: HostTime) -> Grant {
        let Some(account) = self.accounts.get(&id) else { return Grant::Refused };
        let held = account.held + bytes;
        if self.held + bytes <= self.limit(held) {
            self.change(id, held);
            return Grant::Granted;
        }
        if account.is_closing {
            return Grant::Refused;
        }
        let asking = self.burden(account, bytes, now);
        self.make_room(bytes, self.limit(held), Some((id, asking)), now)
    }

    /// Asks for `bytes` more for the answer to a request that runs. It counts towards no connection, and is given back by
    /// [`Self::give_back`].
    pub fn ask_for_answer(&mut self, bytes: u64, answer: u64, now: HostTime) -> Grant {
        let limit = self.limit(answer + bytes);
        if self.held + bytes <= limit {
            self.held += bytes;
            return Grant::Granted;
        }
        self.make_room(bytes, limit, None, now)
    }

    /// Gives back what was granted for an answer.
    pub const fn give_back(&mut self, bytes: u64) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Records what a connection holds after it has read, handled and written what it could, what it is doing, and how many
    /// bytes it has moved in both directions since the last time. Returns whether it holds less than before.
    pub fn record(
        &mut self,
        id: AccountId,
        (held, stage): (u64, Stage),
        moved: u64,
        now: HostTime,
    ) -> bool {
        let Some(account) = self.accounts.get_mut(&id) else { return false };
        account.roll(now);
        account.moved += moved;
        account.stage = stage;
        self.change(id, held)
    }

    /// Chooses a connection to be closed for another one that lacks a descriptor: one of the candidates that has stopped, and of
    /// these the one that holds most.
    pub fn close_stopped(
        &mut self,
        is_candidate: impl Fn(AccountId) -> bool,
        now: HostTime,
    ) -> Option<AccountId> {
        let stopped = self.accounts.iter().filter(|(id, account)| {
            account.may_be_closed()
                && now.since(account.opened) >= PROGRESS_WINDOW
                && account.progress(now) < STOPPED_BYTES
                && is_candidate(**id)
        });
        let (_, id) = stopped.map(|(id, account)| (account.held, *id)).max()?;
        self.set_closing(id, true);
        Some(id)
    }

    /// Records that a connection has given back what it can, as it was told to close. What it still holds is that of requests
    /// that run.
    pub fn on_closing_done(&mut self, id: AccountId) {
        self.set_closing(id, false);
    }

    /// Returns up to how many bytes all may hold together for one that then holds `held`.
    fn limit(&self, held: u64) -> u64 {
        if held <= SMALL_BYTES {
            self.capacity
        } else {
            self.capacity - MAX_SMALL_SHARE.min(self.capacity / SMALL_PART)
        }
    }

    /// Sets what a connection holds. Returns whether it is less than before.
    fn change(&mut self, id: AccountId, held: u64) -> bool {
        let Some(account) = self.accounts.get_mut(&id) else { return false };
        let before = std::mem::replace(&mut account.held, held);
        self.held = self.held - before + held;
        if account.is_closing {
            self.closing = self.closing - before + held;
        }
        if let Some(addr) = account.addr {
            let sum = self.addresses.entry(addr).or_default();
            *sum = *sum - before + held;
            if *sum == 0 {
                self.addresses.remove(&addr);
            }
        }
        held < before
    }

    /// Returns what a connection holds, with `more`, for each unit of progress.
    fn burden(&self, account: &Account, more: u64, now: HostTime) -> u128 {
        let of_address = account.addr.and_then(|addr| self.addresses.get(&addr)).copied();
        let held = account.held + more + of_address.unwrap_or_default() / ADDRESS_PART;
        // In units small enough that the quotient tells connections apart.
        u128::from(held) * u128::from(u32::MAX) / u128::from(account.progress(now) + LEAST_PROGRESS)
    }

    /// Decides who makes room, so that all together hold no more than `limit`: those that may be closed, by their burden,
    /// while that is larger than the burden of the one that asks.
    fn make_room(
        &mut self,
        bytes: u64,
        limit: u64,
        asking: Option<(AccountId, u128)>,
        now: HostTime,
    ) -> Grant {
        let mut chosen = Vec::new();
        while self.held - self.closing + bytes > limit {
            let others = self.accounts.iter().filter(|(id, account)| {
                account.may_be_closed() && asking.is_none_or(|(asking, _)| asking != **id)
            });
            let burdens = others.map(|(id, account)| (self.burden(account, 0, now), *id));
            let largest = burdens.max();
            let Some((_, id)) = largest
                .filter(|(burden, _)| asking.is_none_or(|(_, of_asking)| *burden > of_asking))
            else {
                self.undo(&chosen);
                return Grant::Refused;
            };
            self.set_closing(id, true);
            chosen.push(id);
        }
        Grant::Wait(chosen)
    }

    /// Takes back that connections are to be closed, as that would not make enough room.
    fn undo(&mut self, chosen: &[AccountId]) {
        for id in chosen {
            self.set_closing(*id, false);
        }
    }

    fn set_closing(&mut self, id: AccountId, is_closing: bool) {
        let Some(account) = self.accounts.get_mut(&id) else { return };
        if account.is_closing != is_closing {
            account.is_closing = is_closing;
            self.closing =
                if is_closing { self.closing + account.held } else { self.closing - account.held };
        }
    }
}
