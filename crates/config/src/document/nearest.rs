//! Suggests known names for a misspelt one.

/// The minimum Jaro-Winkler similarity (Winkler 1990) of a suggested name. Below it, suggestions are wrong as
/// often as right.
const MIN_SIMILARITY: f64 = 0.7;

/// Returns the known name that is most similar to the given one, if any is similar enough. Of equally similar
/// names, the first is returned.
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

/// Returns a help text for an unknown name: the nearest known name, or all known names if none is similar.
pub fn suggestion<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    let known: Vec<&str> = known.into_iter().collect();
    match nearest(name, known.iter().copied()) {
        Some(near) => format!("did you mean `{near}`?"),
        None if known.is_empty() => "none is defined".into(),
        None => format!("known: {}", known.join(", ")),
    }
}
