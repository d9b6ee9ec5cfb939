//! What would do harm, within one proxy and between the applications of a fleet. No I/O.
//!
//! Each file of checks has one subject. What is wrong by a value that many applications inherit is found once,
//! at the place of that value, with the applications that have it.

mod addresses;
mod calls;
mod effects;
mod limits;
mod names;
pub mod pair;
mod routes;
mod time;
mod worth;

use crate::document::Key;
use crate::load::{Loaded, known};
use crate::origin::{Origin, spot};
use crate::report::{Finding, Findings, Spot};
use crate::resolve::{Environment, Resolved, resolve};
use crate::types::Fleet;
pub(crate) use calls::BUDGET;

/// What is judged: files, and what they come to.
pub(crate) struct Model<'a> {
    pub loaded: &'a Loaded,
    pub resolved: &'a [Resolved],
    pub findings: Vec<Finding>,
}

/// Reads, resolves and judges: what came of it, and all findings.
pub fn check(loaded: &Loaded, environment: &Environment) -> (Vec<Resolved>, Findings) {
    let resolved = resolve(loaded, environment);
    let findings = judge(loaded, &resolved, environment);
    (resolved, findings)
}

/// Judges what was resolved.
pub fn judge(loaded: &Loaded, resolved: &[Resolved], environment: &Environment) -> Findings {
    let mut model = Model { loaded, resolved, findings: loaded.findings.clone() };
    model.names();
    model.variables(environment);
    let is_sound = !model.findings.iter().any(|f| f.code.id == "OC0009" || f.code.id == "OC0008");
    let readable: Vec<usize> = (0..resolved.len()).filter(|at| model.is_readable(&resolved[*at])).collect();
    for at in readable {
        model.effects(at);
        model.times(at);
        model.addresses(at);
        model.limits(at);
        model.worth(at);
        model.routes(at);
    }
    // Where a file or a name is not what it should be, who calls whom would be told wrongly.
    if is_sound && loaded.findings.is_empty() {
        model.machines();
        model.calls();
        model.between_tiers();
        model.fleet_worth();
    }
    Findings::of(model.findings)
}

impl<'a> Model<'a> {
    /// Whether the form of a file is right. What a file with a fault means is not judged: it would be judged
    /// without the value that is at fault.
    pub fn is_good(&self, source: usize) -> bool {
        let file = &self.loaded.sources[source].file;
        !self.loaded.findings.iter().flat_map(|finding| &finding.spots).any(|spot| spot.file == *file)
    }

    /// Whether all files that a proxy's values come from are.
    fn is_readable(&self, resolved: &Resolved) -> bool {
        let sources = resolved.origins.values().filter_map(|origin| match origin {
            Origin::File(_, source, _) => Some(*source),
            _ => None,
        });
        let sources: std::collections::BTreeSet<usize> = sources.collect();
        sources.into_iter().all(|source| self.is_good(source))
    }

    /// The fleet and its source's place.
    pub fn fleet(&self) -> Option<(usize, &'a Fleet)> {
        self.loaded.fleet.as_ref().map(|(at, fleet)| (*at, fleet))
    }

    /// Where a value of a resolved proxy came from.
    pub fn spot_of(&self, at: usize, key: &Key) -> Spot {
        let origin = self.resolved[at].origins.get(key).cloned().unwrap_or(Origin::BuiltIn);
        self.spot_or_file(at, &origin)
    }

    /// A place in a file.
    pub fn at(&self, source: usize, key: &Key) -> Spot {
        spot(&self.loaded.sources[source], key, false)
    }

    /// The place of a key itself.
    pub fn at_name(&self, source: usize, key: &Key) -> Spot {
        spot(&self.loaded.sources[source], key, true)
    }

    /// What is built in is at no place: then the proxy's own file stands for it.
    fn spot_or_file(&self, at: usize, origin: &Origin) -> Spot {
        if let Origin::BuiltIn = origin {
            let name = self.resolved[at].origins.get(&crate::document::top("name"));
            return name.map_or_else(|| origin.spot(&self.loaded.sources), |o| o.spot(&self.loaded.sources));
        }
        origin.spot(&self.loaded.sources)
    }

    /// Notes a finding about an application.
    pub fn found(&mut self, at: usize, id: &str, what: String, spot: Spot) -> &mut Finding {
        let name = self.resolved[at].proxy.name.clone();
        self.push(Finding::new(known(id), what, spot).about(&name))
    }

    /// Notes a finding.
    pub fn push(&mut self, finding: Finding) -> &mut Finding {
        let place = self.findings.len();
        self.findings.push(finding);
        &mut self.findings[place]
    }
}
