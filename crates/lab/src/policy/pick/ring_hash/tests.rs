//! Tests of the number of points per endpoint.

use super::points_per_endpoint;

#[test]
fn points_are_halved_when_the_ring_is_full_and_doubled_only_when_it_is_half_empty() {
    assert_eq!(
        [
            points_per_endpoint(1, 128),
            points_per_endpoint(1024, 128),
            points_per_endpoint(1025, 128),
            points_per_endpoint(10_000, 128)
        ],
        [128, 128, 64, 8]
    );
    assert_eq!(
        [points_per_endpoint(1000, 64), points_per_endpoint(600, 64), points_per_endpoint(512, 64)],
        [64, 64, 128]
    );
    assert_eq!(points_per_endpoint(1_000_000, 128), 1, "each endpoint has at least one point");
}
