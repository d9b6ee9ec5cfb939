//! The real proxy.
fn main() {}
