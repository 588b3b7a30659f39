//! How long acknowledgements take, as RFC 6298 has it (2.2, 2.3).

use steprelay_decisions::Micros;

/// The smoothed round trip and its mean deviation, once anything was measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTrips(Option<(Micros, Micros)>);

impl RoundTrips {
    pub fn record(&mut self, round_trip: Micros) {
        self.0 = Some(match self.0 {
            None => (round_trip, round_trip / 2),
            Some((mean, deviation)) => {
                let difference = (mean - round_trip).abs();
                (mean - mean / 8 + round_trip / 8, deviation - deviation / 4 + difference / 4)
            }
        });
    }

    /// What an acknowledgement rarely takes longer than; 0 where nothing is known.
    pub fn timeout(self) -> Micros {
        self.0.map_or(0, |(mean, deviation)| mean + 4 * deviation)
    }
}
