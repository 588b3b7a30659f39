//! Estimates how long acknowledgements take, after RFC 6298 (2.2, 2.3).

use steprelay_decisions::Micros;

/// The smoothed round-trip time and its mean deviation; `None` before the first measurement.
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

    /// A time that acknowledgements rarely exceed; 0 before the first measurement.
    pub fn timeout(self) -> Micros {
        self.0.map_or(0, |(mean, deviation)| mean + 4 * deviation)
    }
}
