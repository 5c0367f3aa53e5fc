//! Steps of a simulation: actions of callers, upstreams, holders and the network.

use super::HOST_SKEW_MS;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest_state_machine::ReferenceStateMachine;

/// A fault injected into the holders, which the oracle must detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    StartIgnored,
    CoverageIgnored,
    EvictionForgotten,
    PartialHandOverCounts,
    ExportsMixed,
    PredecessorUnchecked,
    UnknownDropped,
    LostAnswerIsNotRun,
    StaleEndApplies,
}

/// What happens to an attempt.
#[derive(Debug, Clone, Copy)]
pub enum End {
    /// The upstream runs it and its answer arrives.
    Answer,
    /// The upstream refuses it without running it.
    Refusal,
    /// The connection breaks. The upstream has run it if `executed` is set, or may still run it later.
    Break { executed: bool },
}

#[derive(Debug, Clone)]
pub enum Step {
    Wait(u64),
    New { ahead_ms: i64, minted: bool },
    Resend { index: Index, altered: bool },
    ResendToFormer { index: Index },
    End { index: Index, end: End, former_only: bool },
    Lose,
    HandOver { redirected: bool },
    ExportAgain,
    Deliver { index: Index, drop: bool },
}

/// A step, and the milliseconds by which the clock of the holder that processes it is ahead.
pub type Transition = (Step, u64);

pub struct StepSequence;

impl ReferenceStateMachine for StepSequence {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let index = any::<Index>;
        let end = prop_oneof![
            3 => Just(End::Answer),
            2 => Just(End::Refusal),
            2 => any::<bool>().prop_map(|executed| End::Break { executed }),
        ];
        let step = prop_oneof![
            3 => prop_oneof![4 => 0..120_u64, 1 => 0..2500_u64].prop_map(Step::Wait),
            5 => (-300..300_i64, prop::bool::weighted(0.2))
                .prop_map(|(ahead_ms, minted)| Step::New { ahead_ms, minted }),
            6 => (index(), prop::bool::weighted(0.1))
                .prop_map(|(index, altered)| Step::Resend { index, altered }),
            1 => index().prop_map(|index| Step::ResendToFormer { index }),
            5 => (index(), end, prop::bool::weighted(0.1))
                .prop_map(|(index, end, former_only)| Step::End { index, end, former_only }),
            1 => Just(Step::Lose),
            1 => any::<bool>().prop_map(|redirected| Step::HandOver { redirected }),
            1 => Just(Step::ExportAgain),
            4 => (index(), prop::bool::weighted(0.15))
                .prop_map(|(index, drop)| Step::Deliver { index, drop }),
        ];
        (step, 0..=HOST_SKEW_MS).boxed()
    }

    fn apply((): (), _: &Transition) {}
}
