//! The name that was probably meant.

/// The least Jaro-Winkler similarity (Winkler 1990) of a name that is suggested: below it a suggestion is as
/// often wrong as right.
const MIN_SIMILARITY: f64 = 0.7;

/// The known name that is most similar to the one given, if any is at all; of equally similar ones, the
/// first.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let name = name.to_lowercase();
    let mut best = None;
    let mut best_similarity = MIN_SIMILARITY;
    for other in known {
        let similarity = strsim::jaro_winkler(&name, &other.to_lowercase());
        if similarity > best_similarity || (best.is_none() && similarity == best_similarity) {
            best = Some(other);
            best_similarity = similarity;
        }
    }
    best
}

/// What to write instead of an unknown name: the nearest known one, or what is known if none is near.
pub fn suggestion<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let known: Vec<&str> = known.into_iter().collect();
    match nearest(name, known.iter().copied()) {
        Some(near) => format!("did you mean `{near}`?"),
        None if known.is_empty() => "there is none".into(),
        None => format!("known: {}", known.join(", ")),
    }
}
