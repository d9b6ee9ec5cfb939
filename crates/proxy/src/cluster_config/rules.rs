//! Selects the routing rule of a request.
//!
//! A rule matches if all of its criteria match. Of several matching rules, the most specific applies. Rules
//! are compared by their authority (a full host before a wildcard, a longer wildcard before a shorter one,
//! any before none), then path (a longer prefix before a shorter one, any before none), then method (given
//! before not given), then class (given before not given). Two rules that match the same request and are
//! equally specific have identical criteria; such a pair is rejected when the file is parsed, so that the
//! order of the rules in it never matters.

use crate::call::RequestAttributes;
use olivecart_decisions::ClassId;
use std::cmp::Reverse;

/// The criteria of a rule; `None` matches every request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Criteria {
    /// A host in lower case without a port, or `*.` and a host for all of its subdomains.
    pub authority: Option<String>,
    /// A prefix of whole segments, without a slash at the end; empty for `/`, which matches every path.
    pub path: Option<String>,
    /// The method.
    pub method: Option<String>,
    /// The class.
    pub class: Option<ClassId>,
}

impl Criteria {
    /// Returns the sort key of the criteria: the greater, the more specific.
    fn specificity(&self) -> impl Ord + use<> {
        let authority = self.authority.as_ref().map(|a| (!a.starts_with("*."), a.len()));
        let path = self.path.as_ref().map(String::len);
        (authority, path, self.method.is_some(), self.class.is_some())
    }

    fn matches(&self, request: &RequestAttributes) -> bool {
        self.class.is_none_or(|class| class == request.class)
            && self.method.as_deref().is_none_or(|method| method == request.method)
            && self.path.as_deref().is_none_or(|prefix| is_within(request.path, prefix))
            && self.authority.as_deref().is_none_or(|pattern| host_matches(host(request.authority), pattern))
    }
}

/// Returns whether a path equals the prefix or lies below it.
fn is_within(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Returns an authority without its port and without a trailing dot.
fn host(authority: &str) -> &str {
    // The colons within an IPv6 literal don't introduce a port.
    let from = authority.rfind(']').unwrap_or(0);
    let host = authority[from..].find(':').map_or(authority, |at| &authority[..from + at]);
    host.strip_suffix('.').unwrap_or(host)
}

fn host_matches(host: &str, pattern: &str) -> bool {
    let Some(suffix) = pattern.strip_prefix('*') else { return host.eq_ignore_ascii_case(pattern) };
    let at = host.len().checked_sub(suffix.len()).filter(|at| *at > 0);
    at.and_then(|at| host.get(at..)).is_some_and(|end| end.eq_ignore_ascii_case(suffix))
}

/// Rules and their targets, the most specific rule first.
#[derive(Debug)]
pub struct Rules<T>(Vec<(Criteria, T)>);

impl<T> Default for Rules<T> {
    fn default() -> Rules<T> {
        Rules(Vec::new())
    }
}

impl<T> Rules<T> {
    /// Creates a table from rules in any order.
    pub fn new(mut rules: Vec<(Criteria, T)>) -> Rules<T> {
        rules.sort_by_key(|(criteria, _)| Reverse(criteria.specificity()));
        Rules(rules)
    }

    /// Returns the target of the most specific rule that matches. Checks the rules one after another and
    /// allocates nothing.
    pub fn find(&self, request: &RequestAttributes) -> Option<&T> {
        self.0.iter().find(|(criteria, _)| criteria.matches(request)).map(|(_, target)| target)
    }

    /// Returns whether there are no rules.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of rules.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the targets of the rules.
    pub fn targets(&self) -> impl Iterator<Item = &T> {
        self.0.iter().map(|(_, target)| target)
    }

    /// Returns the same rules with their targets mapped.
    pub fn map<U>(self, to: impl Fn(T) -> U) -> Rules<U> {
        Rules(self.0.into_iter().map(|(criteria, target)| (criteria, to(target))).collect())
    }
}

#[cfg(test)]
mod tests;
