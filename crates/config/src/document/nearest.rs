//! The name that was probably meant.

/// The known name most like the one given, if any is at all like it; of names just as like, the first.
///
/// Jaro-Winkler similarity (Winkler 1990) of at least 0.7: below that a suggestion is as often wrong as right.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let name = name.to_lowercase();
    let (mut best, mut likeness) = (None, 0.7);
    for other in known {
        let like = strsim::jaro_winkler(&name, &other.to_lowercase());
        if like > likeness || (best.is_none() && like == likeness) {
            (best, likeness) = (Some(other), like);
        }
    }
    best
}

/// What to write instead of an unknown name: the nearest known one, or what is known if none is near.
pub fn instead<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let known: Vec<&str> = known.into_iter().collect();
    match nearest(name, known.iter().copied()) {
        Some(near) => format!("did you mean `{near}`?"),
        None if known.is_empty() => "there is none".into(),
        None => format!("known: {}", known.join(", ")),
    }
}
