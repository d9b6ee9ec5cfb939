//! Whether the endpoints of a cluster give the same response again and again, or hardly ever.

use crate::response_digest::ResponseDigest;

/// After so many responses in a row that differed from the one before, other ones are expected to differ too. It
/// is high enough that a cluster with few different responses hardly ever reaches it.
const MIN_DISTINCT_IN_A_ROW: u32 = 8;

/// The successful responses of a cluster. Its endpoints run the same service, so that all of them count together.
#[derive(Debug, Default)]
pub struct ResponseVariety {
    last_response: Option<ResponseDigest>,
    distinct_in_a_row: u32,
}

impl ResponseVariety {
    /// Records a successful response. Without a digest it tells nothing.
    pub fn on_response(&mut self, response: Option<ResponseDigest>) {
        let Some(response) = response else { return };
        let previous = self.last_response.replace(response);
        self.distinct_in_a_row = match previous {
            Some(previous) if previous != response => self.distinct_in_a_row.saturating_add(1),
            _ => 0,
        };
    }

    /// Records that a response was dropped as a copy, and no other followed: an endpoint may have given the same
    /// response to two requests.
    pub fn on_response_missing(&mut self) {
        self.distinct_in_a_row = 0;
    }

    /// Whether a response that equals the one before it is more likely a copy than a response of its own.
    pub fn is_high(&self) -> bool {
        self.distinct_in_a_row >= MIN_DISTINCT_IN_A_ROW
    }
}

#[cfg(test)]
mod tests;
