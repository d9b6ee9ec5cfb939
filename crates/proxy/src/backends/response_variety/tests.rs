use super::*;
use crate::response_digest::DigestBuilder;

fn respond(variety: &mut ResponseVariety, responses: impl IntoIterator<Item = u32>) {
    for response in responses {
        let mut digest = DigestBuilder::default();
        digest.push(&response.to_be_bytes());
        variety.on_response(digest.digest());
    }
}

#[test]
fn variety_is_high_after_eight_responses_in_a_row_that_differ_from_the_one_before() {
    let mut variety = ResponseVariety::default();
    respond(&mut variety, 0..8);
    assert!(!variety.is_high(), "the first has none before it");
    variety.on_response(None);
    respond(&mut variety, [8]);
    assert!(variety.is_high());
}

#[test]
fn variety_is_low_for_long_after_the_same_response_or_a_missing_one() {
    for is_missing in [false, true] {
        let mut variety = ResponseVariety::default();
        respond(&mut variety, 0..9);
        if is_missing {
            variety.on_response_missing();
        } else {
            respond(&mut variety, [8]);
        }
        respond(&mut variety, 9..10_008);
        assert!(!variety.is_high());
        respond(&mut variety, [10_008]);
        assert!(variety.is_high());
    }
}

#[test]
fn constant_responses_never_make_the_variety_high() {
    let mut variety = ResponseVariety::default();
    respond(&mut variety, [0; 20_000]);
    assert!(!variety.is_high());
}
