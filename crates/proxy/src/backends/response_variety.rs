//! Whether the endpoints of a cluster give the same response again and again, or hardly ever.
//!
//! Each response is compared with the one before of the same endpoint: endpoints that put their own names into
//! all responses give different ones as a cluster, and the same ones on each connection.

use crate::response_digest::ResponseDigest;

/// After so many responses in a row that differed from their endpoint's one before, others are expected to differ.
const MIN_DISTINCT_IN_A_ROW: u32 = 8;

/// The same for a cluster of which an endpoint gave the same response twice in a row. A request whose response is mistaken for a
/// copy times out, so that this is to happen to hardly any request.
const MIN_DISTINCT_AFTER_REPETITION: u32 = 10_000;

/// The successful responses of a cluster. Its endpoints run the same service, so that they count together.
#[derive(Debug, Default)]
pub struct ResponseVariety {
    distinct_in_a_row: u32,
    /// Whether an endpoint ever gave the same response twice in a row.
    has_repeated: bool,
}

impl ResponseVariety {
    /// Records a successful response of an endpoint, and the one before it.
    pub fn on_response(&mut self, previous: ResponseDigest, response: ResponseDigest) {
        if previous == response {
            self.on_repetition();
        } else {
            self.distinct_in_a_row = self.distinct_in_a_row.saturating_add(1);
        }
    }

    /// Records that a response was dropped as a copy, and no other followed: an endpoint may have given the same
    /// response to two requests.
    pub fn on_response_missing(&mut self) {
        self.on_repetition();
    }

    fn on_repetition(&mut self) {
        self.distinct_in_a_row = 0;
        self.has_repeated = true;
    }

    /// Whether a response that equals the one before it is more likely a copy than a response of its own.
    pub fn is_high(&self) -> bool {
        let minimum = if self.has_repeated { MIN_DISTINCT_AFTER_REPETITION } else { MIN_DISTINCT_IN_A_ROW };
        self.distinct_in_a_row >= minimum
    }
}

#[cfg(test)]
mod tests;
