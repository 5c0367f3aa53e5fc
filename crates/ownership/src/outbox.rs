//! Collects the outputs of a step and batches them into messages of bounded size.

use crate::events::Output;
use crate::message::{
    Established, MAX_BATCH, Message, RangeEpoch, Release, ReleaseRange, Seal, SealRange,
};
use skylarkdock_units::ids::{HostId, Member};
use std::collections::BTreeMap;

/// The outputs of a step.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outbox {
    outputs: Vec<Output>,
    seals: BTreeMap<Member, Vec<SealRange>>,
    releases: BTreeMap<HostId, Vec<ReleaseRange>>,
    established: BTreeMap<HostId, Vec<RangeEpoch>>,
}

impl Outbox {
    pub fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    pub fn send(&mut self, to: &HostId, message: Message) {
        self.push(Output::Send { to: to.clone(), message });
    }

    pub fn seal(&mut self, to: &Member, range: SealRange) {
        self.seals.entry(to.clone()).or_default().push(range);
    }

    pub fn release(&mut self, to: &HostId, range: ReleaseRange) {
        self.releases.entry(to.clone()).or_default().push(range);
    }

    pub fn establish(&mut self, to: &HostId, range: RangeEpoch) {
        self.established.entry(to.clone()).or_default().push(range);
    }

    /// Removes and returns all outputs, with the batched messages last.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        let Self { outputs, seals, releases, established } = std::mem::take(self);
        let mut all = outputs;
        let mut send = |to: HostId, message| all.push(Output::Send { to, message });
        for (host, ranges) in releases {
            for batch in ranges.chunks(MAX_BATCH) {
                send(host.clone(), Message::Release(Release { ranges: batch.to_vec() }));
            }
        }
        for (to, ranges) in seals {
            for batch in ranges.chunks(MAX_BATCH) {
                let seal = Seal { to: to.clone(), ranges: batch.to_vec() };
                send(to.host.clone(), Message::Seal(seal));
            }
        }
        for (host, ranges) in established {
            for batch in ranges.chunks(MAX_BATCH) {
                send(host.clone(), Message::Established(Established { ranges: batch.to_vec() }));
            }
        }
        all
    }
}
