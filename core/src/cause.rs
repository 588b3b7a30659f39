//! Release causes by their Q.850 numbers, which both signalling fronts share.

use steprelay_decisions::Outcome;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleaseCause(pub u8);

impl ReleaseCause {
    pub const NORMAL: Self = ReleaseCause(16);
    pub const USER_BUSY: Self = ReleaseCause(17);
    pub const NO_CIRCUIT: Self = ReleaseCause(34);
    pub const TEMPORARY: Self = ReleaseCause(41);
    pub const CONGESTION: Self = ReleaseCause(42);
    pub const UNSPECIFIED: Self = ReleaseCause(47);
    pub const TIMER: Self = ReleaseCause(102);
    pub const PROTOCOL: Self = ReleaseCause(111);

    /// The outcome of an attempt that a server released before its answer.
    pub fn outcome_before_answer(self) -> Outcome {
        match self {
            Self::NO_CIRCUIT | Self::CONGESTION => Outcome::Full,
            Self::TIMER => Outcome::NotSent,
            Self::TEMPORARY => Outcome::Reset,
            Self::NORMAL => Outcome::Cancelled,
            _ => Outcome::Error,
        }
    }

    /// The outcome of an established call that a server released.
    pub fn outcome_after_answer(self) -> Outcome {
        if self == Self::NORMAL {
            Outcome::Ok
        } else {
            Outcome::Reset
        }
    }
}
