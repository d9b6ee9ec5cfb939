use super::*;
use crate::response_digest::DigestBuilder;

fn digest(response: u32) -> ResponseDigest {
    let mut digest = DigestBuilder::default();
    digest.push(&response.to_be_bytes());
    digest.digest().expect("it is short")
}

/// Records responses that differ from the one before.
fn differ(variety: &mut ResponseVariety, times: u32) {
    (0..times).for_each(|number| variety.on_response(digest(number), digest(number + 1)));
}

#[test]
fn variety_is_high_after_eight_responses_in_a_row_that_differ_from_the_one_before() {
    let mut variety = ResponseVariety::default();
    differ(&mut variety, 7);
    assert!(!variety.is_high());
    differ(&mut variety, 1);
    assert!(variety.is_high());
}

#[test]
fn variety_is_low_for_long_after_the_same_response_or_a_missing_one() {
    for is_missing in [false, true] {
        let mut variety = ResponseVariety::default();
        differ(&mut variety, 8);
        if is_missing {
            variety.on_response_missing();
        } else {
            variety.on_response(digest(8), digest(8));
        }
        differ(&mut variety, 9_999);
        assert!(!variety.is_high());
        differ(&mut variety, 1);
        assert!(variety.is_high());
    }
}
