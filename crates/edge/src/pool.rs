//! Pool of idle connections to upstreams.

use crate::client::Conn;
use skylarkdock_dispatch::upstream::IdleConnection;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::time::Duration;

/// Largest number of idle connections that one host keeps to an upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 12;
/// Share of an upstream's connection limit that all hosts together may keep idle, in percent. The rest is left for new
/// connections: an upstream resets those above its limit.
const IDLE_PERCENT: u32 = 60;
/// Idle time after which a connection is closed if the upstream doesn't announce its own timeout.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(5_000);
/// Time before the upstream's idle timeout from which a connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);
/// Idle time from which a connection is closed if bytes have arrived on it. They take memory until it is used again, and a
/// faulty upstream may send them without end.
const MIN_CHECKED_IDLE_TIME: Duration = Duration::from_millis(1_000);
/// Longest idle time of a connection that is used for a request that may run only once. If the upstream closes the
/// connection while the request is sent, it is unknown whether the request ran.
const MAX_ONCE_IDLE_TIME: Duration = Duration::from_millis(1_000);

/// Idle connections to the upstreams, by address.
#[derive(Default)]
pub struct Pool {
    idle: FastMap<SocketAddr, Vec<Conn>>,
}

impl Pool {
    /// Removes a usable connection from the pool and returns it.
    pub fn take(&mut self, addr: SocketAddr, is_once: bool) -> Option<Conn> {
        let idle = self.idle.get_mut(&addr)?;
        while let Some(conn) = idle.pop() {
            let age = conn.used_at.elapsed();
            if age > idle_timeout(&conn) {
                // The remaining connections have been idle for longer.
                idle.clear();
                return None;
            }
            if is_once && age > MAX_ONCE_IDLE_TIME {
                idle.push(conn);
                return None;
            }
            if conn.is_clean() {
                return Some(conn);
            }
        }
        None
    }

    /// Adds a connection unless the pool has `max_idle` to the address already.
    pub fn put(&mut self, addr: SocketAddr, conn: Conn, max_idle: usize) {
        let idle = self.idle.entry(addr).or_default();
        if idle.len() < max_idle {
            idle.push(conn);
        }
    }

    /// Returns whether an idle connection to an address is open, and removes those that are not.
    pub fn has_open(&mut self, addr: SocketAddr) -> bool {
        let Some(idle) = self.idle.get_mut(&addr) else { return false };
        idle.retain(Conn::is_clean);
        !idle.is_empty()
    }

    /// Returns until when the connection that [`Pool::take`] would return may be used.
    pub fn next_connection(&self, addr: SocketAddr, now: HostTime) -> IdleConnection {
        let Some(conn) = self.idle.get(&addr).and_then(|idle| idle.last()) else {
            return IdleConnection::default();
        };
        let age = conn.used_at.elapsed();
        let end = |limit: Duration| {
            let remaining = limit.saturating_sub(age).as_millis();
            now + Millis(u64::try_from(remaining).unwrap_or(u64::MAX))
        };
        let timeout = idle_timeout(conn);
        IdleConnection { until: end(timeout), once_until: end(timeout.min(MAX_ONCE_IDLE_TIME)) }
    }

    /// Closes all idle connections to an address.
    pub fn close_all(&mut self, addr: SocketAddr) {
        self.idle.remove(&addr);
    }

    /// Closes the connection that has been idle for longest. Returns whether there was one.
    pub fn close_longest_idle(&mut self) -> bool {
        // The first one of each address has been idle for longest.
        let oldest =
            self.idle.iter().filter_map(|(addr, idle)| Some((idle.first()?.used_at, *addr)));
        let Some((_, addr)) = oldest.min() else { return false };
        if let Some(idle) = self.idle.get_mut(&addr) {
            idle.remove(0);
        }
        true
    }

    /// Closes connections that have been idle for too long, or on which bytes have arrived meanwhile.
    pub fn close_expired(&mut self) {
        for idle in self.idle.values_mut() {
            idle.retain(|conn| {
                let age = conn.used_at.elapsed();
                age <= idle_timeout(conn) && (age < MIN_CHECKED_IDLE_TIME || conn.is_clean())
            });
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}

/// Returns how many idle connections one of `hosts` hosts may keep to an upstream that accepts `limit` connections.
pub fn max_idle(limit: u32, hosts: u32) -> usize {
    let share = limit.saturating_mul(IDLE_PERCENT) / 100 / hosts.max(1);
    usize::try_from(share).unwrap_or(MAX_IDLE_PER_UPSTREAM).clamp(1, MAX_IDLE_PER_UPSTREAM)
}

fn idle_timeout(conn: &Conn) -> Duration {
    match conn.keep_alive {
        Some(limit) => limit.saturating_sub(KEEP_ALIVE_MARGIN),
        None => DEFAULT_IDLE_TIMEOUT.duration(),
    }
}
