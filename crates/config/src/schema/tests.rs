use super::*;
use crate::document::shape::check_keywords;

#[test]
fn schemas_use_only_supported_keywords() {
    for kind in Kind::ALL {
        assert_eq!(check_keywords(tree(kind)), Ok(()), "{}", kind.name());
    }
}
