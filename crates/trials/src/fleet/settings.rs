//! Builder of the settings of a fleet.

use crate::programs::Programs;
use skylarkdock_records::service::OnCut;
use skylarkdock_units::times::Millis;
use std::path::PathBuf;

const DEFAULT_HOSTS: usize = 8;
const DEFAULT_UPSTREAMS: usize = 8;
const DEFAULT_RANGES: u32 = 16;
const DEFAULT_PROCESSING_TIME_MS: Millis = Millis(2);

/// Settings of a fleet's processes and of the record that it publishes.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    pub(super) programs: Programs,
    pub(super) hosts: usize,
    pub(super) spare_hosts: usize,
    pub(super) upstreams: usize,
    pub(super) ranges: u32,
    pub(super) on_cut: OnCut,
    pub(super) processing_time: Millis,
    pub(super) process_log_dir: Option<PathBuf>,
}

impl FleetSettings {
    /// Returns settings with 8 hosts, 8 upstreams and 16 ranges, which move when their zone is cut off.
    pub const fn new(programs: Programs) -> Self {
        Self {
            programs,
            hosts: DEFAULT_HOSTS,
            spare_hosts: 0,
            upstreams: DEFAULT_UPSTREAMS,
            ranges: DEFAULT_RANGES,
            on_cut: OnCut::Move,
            processing_time: DEFAULT_PROCESSING_TIME_MS,
            process_log_dir: None,
        }
    }

    /// Sets the number of hosts that start with the fleet.
    #[must_use]
    pub const fn hosts(mut self, count: usize) -> Self {
        self.hosts = count;
        self
    }

    /// Sets the number of additional hosts, which do not start with the fleet.
    #[must_use]
    pub const fn spare_hosts(mut self, count: usize) -> Self {
        self.spare_hosts = count;
        self
    }

    /// Sets the number of upstreams.
    #[must_use]
    pub const fn upstreams(mut self, count: usize) -> Self {
        self.upstreams = count;
        self
    }

    /// Sets the number of key ranges.
    #[must_use]
    pub const fn ranges(mut self, count: u32) -> Self {
        self.ranges = count;
        self
    }

    /// Sets whether ranges of a zone that is cut off are held or move.
    #[must_use]
    pub const fn on_cut(mut self, on_cut: OnCut) -> Self {
        self.on_cut = on_cut;
        self
    }

    /// Sets the time that an upstream takes to process a request.
    #[must_use]
    pub const fn processing_time(mut self, time: Millis) -> Self {
        self.processing_time = time;
        self
    }

    /// Sets the directory for the standard error of the processes; `None` discards it.
    #[must_use]
    pub fn process_log_dir(mut self, dir: Option<PathBuf>) -> Self {
        self.process_log_dir = dir;
        self
    }
}
