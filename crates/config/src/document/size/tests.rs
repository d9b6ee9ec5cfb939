use super::*;

#[test]
fn sizes_with_units_are_parsed_and_malformed_ones_rejected() {
    for (text, bytes) in
        [("0B", 0), ("64KiB", 65_536), ("1.5 MiB", 1_572_864), ("2GB", 2_000_000_000), ("1024GiB", 1 << 40)]
    {
        assert_eq!(text.parse(), Ok(Size(bytes)), "{text}");
    }
    for text in ["", "64", "KiB", "-1B", ".5MiB", "5.MiB", "1e3B", "64kib", "1 2B"] {
        assert_eq!(text.parse::<Size>(), Err(ParseSizeError::Malformed(text.into())), "{text}");
    }
    assert_eq!("2000000GiB".parse::<Size>(), Err(ParseSizeError::TooLarge("2000000GiB".into())));
    for bytes in [0, 1, 1000, 65_536, 192 << 20, 3 << 30] {
        assert_eq!(Size(bytes).to_string().parse(), Ok(Size(bytes)));
    }
}
