//! The schema uses only what the reader of configuration documents understands.

#[test]
fn schema_uses_only_understood_keywords() {
    assert_eq!(olivecart_config::document::shape::check_keywords(super::tree()), Ok(()));
}
