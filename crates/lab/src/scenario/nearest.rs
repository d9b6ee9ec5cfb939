//! What somebody may have meant who wrote a name that is not known.

/// What to write instead of an unknown name: the nearest known one, or what is known if none is near.
pub(super) fn instead<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let known: Vec<&str> = known.into_iter().collect();
    match nearest(name, &known) {
        Some(near) => format!("did you mean `{near}`?"),
        None if known.is_empty() => "the scenario has none".into(),
        None => format!("known: {}", known.join(", ")),
    }
}

/// The known name most like another; none if all are far.
pub(super) fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    // As clap does for options: below 0.7 a suggestion is as often wrong as right.
    let likeness = |other: &str| strsim::jaro_winkler(&name.to_lowercase(), other);
    let near = known.iter().map(|&k| (likeness(k), k)).filter(|(likeness, _)| *likeness > 0.7);
    near.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, name)| name)
}
