//! The name that was probably meant.

/// The known name most like the one given, if any is at all like it.
///
/// Jaro-Winkler similarity (Winkler 1990) of at least 0.7; of names just as like, the first.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let mut best = None;
    let mut likeness = 0.7;
    for other in known {
        let like = strsim::jaro_winkler(name, other);
        if like > likeness || (best.is_none() && like == likeness) {
            (best, likeness) = (Some(other), like);
        }
    }
    best
}
