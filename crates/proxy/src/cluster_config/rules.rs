//! Which rule a request falls under. A pure table.
//!
//! A rule fits if all that it gives fits. Of several that fit, the most specific one counts, compared by these
//! in turn: the authority (a whole host before a wildcard, a longer wildcard before a shorter, any before
//! none), the path (a longer prefix before a shorter, any before none), the method (given before not), the
//! class (given before not). Two rules that fit the same request and are equal in all of these give exactly the
//! same; such a pair is an error when the file is read, so that the order of rules in it never matters.

use crate::call::RequestAttributes;
use olivecart_decisions::ClassId;
use std::cmp::Reverse;

/// What a rule asks of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Criteria {
    /// Lower case, without a port; with a leading `*.`, any host below.
    pub authority: Option<String>,
    /// A prefix of whole segments, without a slash at its end; empty for `/`, which every path has.
    pub path: Option<String>,
    /// The method.
    pub method: Option<String>,
    /// The class.
    pub class: Option<ClassId>,
}

impl Criteria {
    /// The greater, the more specific.
    fn rank(&self) -> impl Ord + use<> {
        let authority = self.authority.as_ref().map(|a| (!a.starts_with("*."), a.len()));
        let path = self.path.as_ref().map(String::len);
        (authority, path, self.method.is_some(), self.class.is_some())
    }

    fn fit(&self, request: &RequestAttributes) -> bool {
        self.class.is_none_or(|class| class == request.class)
            && self.method.as_deref().is_none_or(|method| method == request.method)
            && self.path.as_deref().is_none_or(|prefix| below(request.path, prefix))
            && self.authority.as_deref().is_none_or(|pattern| is_of(host(request.authority), pattern))
    }
}

/// Whether a path is the prefix or lies below it.
fn below(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// An authority without its port and without the dot that may end a name.
fn host(authority: &str) -> &str {
    // Danger: in an IPv6 literal colons are no port.
    let from = authority.rfind(']').unwrap_or(0);
    let host = authority[from..].find(':').map_or(authority, |at| &authority[..from + at]);
    host.strip_suffix('.').unwrap_or(host)
}

fn is_of(host: &str, pattern: &str) -> bool {
    let Some(suffix) = pattern.strip_prefix('*') else { return host.eq_ignore_ascii_case(pattern) };
    let at = host.len().checked_sub(suffix.len()).filter(|at| *at > 0);
    at.and_then(|at| host.get(at..)).is_some_and(|end| end.eq_ignore_ascii_case(suffix))
}

/// Rules, the most specific first, each with where it leads.
#[derive(Debug)]
pub struct Rules<T>(Vec<(Criteria, T)>);

impl<T> Default for Rules<T> {
    fn default() -> Rules<T> {
        Rules(Vec::new())
    }
}

impl<T> Rules<T> {
    /// A table of rules in any order.
    pub fn new(mut rules: Vec<(Criteria, T)>) -> Rules<T> {
        rules.sort_by_key(|(criteria, _)| Reverse(criteria.rank()));
        Rules(rules)
    }

    /// Where the most specific rule leads that fits; none if none does. Looks at each rule, and allocates
    /// nothing.
    pub fn find(&self, request: &RequestAttributes) -> Option<&T> {
        self.0.iter().find(|(criteria, _)| criteria.fit(request)).map(|(_, target)| target)
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Where they lead.
    pub fn targets(&self) -> impl Iterator<Item = &T> {
        self.0.iter().map(|(_, target)| target)
    }

    /// The same rules, leading elsewhere.
    pub fn map<U>(self, to: impl Fn(T) -> U) -> Rules<U> {
        Rules(self.0.into_iter().map(|(criteria, target)| (criteria, to(target))).collect())
    }
}

#[cfg(test)]
mod tests;
