//! Release causes (Q.850), and what each cause means for the set-up that it ends.

/// A cause value of Q.850, 0 to 127.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cause(pub u8);

/// The location that generated a cause (Q.850 2.2.3). Codes without a variant count as beyond an interworking
/// point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Location {
    User = 0,
    PrivateNear = 1,
    PublicNear = 2,
    Transit = 3,
    PublicFar = 4,
    PrivateFar = 5,
    International = 7,
    BeyondInterworking = 10,
}

/// The outcome of a set-up that is released before its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpOutcome {
    /// The call was cleared on request.
    Normal,
    /// The set-up was not processed, for lack of capacity: another attempt elsewhere is safe.
    NotProcessed,
    /// The called party is busy, whichever way the call takes.
    Busy,
    /// The set-up failed on its way, and may have been processed.
    MaybeProcessed,
    /// The set-up was processed and failed; another attempt elsewhere would fail too.
    Failed,
    /// The set-up was malformed.
    Malformed,
}

impl Cause {
    pub const UNALLOCATED: Self = Cause(1);
    pub const NORMAL: Self = Cause(16);
    pub const BUSY: Self = Cause(17);
    pub const NO_ANSWER: Self = Cause(19);
    pub const REJECTED: Self = Cause(21);
    pub const ADDRESS_INCOMPLETE: Self = Cause(28);
    pub const FACILITY_REJECTED: Self = Cause(29);
    pub const NO_CIRCUIT: Self = Cause(34);
    pub const TEMPORARY: Self = Cause(41);
    pub const CONGESTION: Self = Cause(42);
    pub const REQUESTED_CIRCUIT: Self = Cause(44);
    pub const UNSPECIFIED: Self = Cause(47);
    pub const NOT_IMPLEMENTED: Self = Cause(79);
    pub const MANDATORY_MISSING: Self = Cause(96);
    pub const TYPE_UNKNOWN: Self = Cause(97);
    pub const PARAMETER_UNKNOWN: Self = Cause(99);
    pub const TIMER: Self = Cause(102);
    pub const PROTOCOL: Self = Cause(111);
    pub const INTERWORKING: Self = Cause(127);

    /// The outcome that this cause stands for; `location` tells whether a network or the user gave the
    /// cause. A value that is not in the table counts as the last one of its class (Q.850 2.2.5).
    pub fn outcome(self, location: Location) -> SetUpOutcome {
        let known = TABLE.iter().find(|row| row.0 == self.0);
        let &(_, outcome, _) =
            known.or_else(|| TABLE.iter().find(|row| row.0 == self.class_default())).unwrap_or(&TABLE[0]);
        // A lack of resources that the user reports, other than "no circuit" and congestion, concerns the
        // user's own equipment: the call has reached it.
        match (outcome, location) {
            (SetUpOutcome::NotProcessed, Location::User)
                if self != Cause::NO_CIRCUIT && self != Cause::CONGESTION =>
            {
                SetUpOutcome::Failed
            }
            (outcome, _) => outcome,
        }
    }

    /// The name of the cause value, or "other".
    pub fn name(self) -> &'static str {
        TABLE.iter().find(|row| row.0 == self.0).map_or("other", |row| row.2)
    }

    /// The "unspecified" cause of this cause's class.
    fn class_default(self) -> u8 {
        match self.0 >> 4 & 7 {
            0 | 1 => 31,
            2 => 47,
            3 => 63,
            4 => 79,
            5 => 95,
            6 => 111,
            _ => 127,
        }
    }
}

impl Location {
    /// Decodes the location from the low four bits of an octet.
    pub fn from_code(code: u8) -> Self {
        match code & 0x0f {
            0 => Location::User,
            1 => Location::PrivateNear,
            2 => Location::PublicNear,
            3 => Location::Transit,
            4 => Location::PublicFar,
            5 => Location::PrivateFar,
            7 => Location::International,
            _ => Location::BeyondInterworking,
        }
    }
}

/// Cause values in ascending order, with outcomes and names (Q.850 table 1).
pub const TABLE: &[(u8, SetUpOutcome, &str)] = &[
    (1, SetUpOutcome::Failed, "unallocated number"),
    (2, SetUpOutcome::Failed, "no route to transit network"),
    (3, SetUpOutcome::Failed, "no route to destination"),
    (4, SetUpOutcome::Failed, "send special information tone"),
    (5, SetUpOutcome::Failed, "misdialled trunk prefix"),
    (8, SetUpOutcome::MaybeProcessed, "pre-emption"),
    (9, SetUpOutcome::MaybeProcessed, "pre-emption, circuit reserved"),
    (16, SetUpOutcome::Normal, "normal call clearing"),
    (17, SetUpOutcome::Busy, "user busy"),
    (18, SetUpOutcome::Failed, "no user responding"),
    (19, SetUpOutcome::Failed, "no answer from user"),
    (20, SetUpOutcome::Failed, "subscriber absent"),
    (21, SetUpOutcome::Failed, "call rejected"),
    (22, SetUpOutcome::Failed, "number changed"),
    (25, SetUpOutcome::Failed, "exchange routing error"),
    (27, SetUpOutcome::MaybeProcessed, "destination out of order"),
    (28, SetUpOutcome::Malformed, "address incomplete"),
    (29, SetUpOutcome::Failed, "facility rejected"),
    (31, SetUpOutcome::Failed, "normal, unspecified"),
    (34, SetUpOutcome::NotProcessed, "no circuit available"),
    (38, SetUpOutcome::MaybeProcessed, "network out of order"),
    (41, SetUpOutcome::MaybeProcessed, "temporary failure"),
    (42, SetUpOutcome::NotProcessed, "switching equipment congestion"),
    (43, SetUpOutcome::Failed, "access information discarded"),
    (44, SetUpOutcome::NotProcessed, "requested circuit not available"),
    (46, SetUpOutcome::NotProcessed, "precedence call blocked"),
    (47, SetUpOutcome::Failed, "resource unavailable, unspecified"),
    (50, SetUpOutcome::Failed, "requested facility not subscribed"),
    (55, SetUpOutcome::Failed, "incoming calls barred"),
    (57, SetUpOutcome::Failed, "bearer capability not authorised"),
    (58, SetUpOutcome::Failed, "bearer capability not available"),
    (63, SetUpOutcome::Failed, "service not available, unspecified"),
    (65, SetUpOutcome::Failed, "bearer capability not implemented"),
    (79, SetUpOutcome::Failed, "service not implemented, unspecified"),
    (87, SetUpOutcome::Failed, "user not member of group"),
    (88, SetUpOutcome::Failed, "incompatible destination"),
    (95, SetUpOutcome::Malformed, "invalid message, unspecified"),
    (96, SetUpOutcome::Malformed, "mandatory element missing"),
    (97, SetUpOutcome::Malformed, "message type not implemented"),
    (99, SetUpOutcome::Malformed, "parameter not implemented"),
    (100, SetUpOutcome::Malformed, "invalid element contents"),
    // The peer's own timer expired, so it had begun to process the set-up.
    (102, SetUpOutcome::MaybeProcessed, "recovery on timer expiry"),
    (103, SetUpOutcome::Malformed, "parameter passed on, not implemented"),
    (111, SetUpOutcome::Malformed, "protocol error, unspecified"),
    (127, SetUpOutcome::Failed, "interworking, unspecified"),
];

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_value_has_an_outcome_and_the_table_is_in_order() {
        assert!(TABLE.windows(2).all(|pair| pair[0].0 < pair[1].0));
        for value in 0..128 {
            for code in 0..16 {
                let outcome = Cause(value).outcome(Location::from_code(code));
                assert!(value != 16 || outcome == SetUpOutcome::Normal);
            }
        }
        // An unknown value counts as the unspecified cause of its class.
        assert_eq!(Cause(45).outcome(Location::Transit), SetUpOutcome::Failed);
        assert_eq!(Cause(110).outcome(Location::Transit), SetUpOutcome::Malformed);
    }

    #[test]
    fn whether_a_set_up_was_processed_depends_on_the_location() {
        let table = [
            (Cause::NO_CIRCUIT, Location::User, SetUpOutcome::NotProcessed),
            (Cause::REQUESTED_CIRCUIT, Location::Transit, SetUpOutcome::NotProcessed),
            (Cause::REQUESTED_CIRCUIT, Location::User, SetUpOutcome::Failed),
            (Cause::CONGESTION, Location::BeyondInterworking, SetUpOutcome::NotProcessed),
            (Cause::TIMER, Location::Transit, SetUpOutcome::MaybeProcessed),
        ];
        for (cause, location, outcome) in table {
            assert_eq!(cause.outcome(location), outcome, "{cause:?} {location:?}");
        }
    }
}
