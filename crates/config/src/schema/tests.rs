use super::*;
use crate::document::shape::check_keywords;

#[test]
fn the_schemas_say_nothing_that_is_not_understood() {
    for kind in Kind::ALL {
        assert_eq!(check_keywords(tree(kind)), Ok(()), "{}", kind.name());
    }
}
