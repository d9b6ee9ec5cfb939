//! From the text of the operators' file to what it says, with all that is wrong on the way.

use super::problem::{Fault, Problem, Problems};
use super::rules::{Criteria, Rules};
use super::{ClusterConfig, Overrides, REGISTRY, Source, SourceKind, VERSION, Watched, Xds};
use olivecart_decisions::ClassId;
use olivecart_membership::xds::session::Variant;
use olivecart_membership::{ClusterName, ClusterSettings, Policy, SourceId};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::Range;
use std::path::Path;
use std::time::Duration;
use toml::Spanned;

type Text = Spanned<String>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: Spanned<i64>,
    default: Option<Text>,
    #[serde(default)]
    sources: Vec<Spanned<SourceTable>>,
    #[serde(default)]
    clusters: Vec<Spanned<ClusterTable>>,
    #[serde(default)]
    rules: Vec<Spanned<RuleTable>>,
    catalog: Option<Spanned<CatalogTable>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SourceTable {
    name: Text,
    file: Option<Text>,
    directory: Option<Text>,
    envoy: Option<Text>,
    xds: Option<Text>,
    poll: Option<Text>,
    node: Option<Text>,
    node_cluster: Option<Text>,
    clusters: Option<Spanned<Vec<Text>>>,
    first_fetch: Option<Text>,
    backoff: Option<Text>,
    variant: Option<Text>,
    region: Option<Text>,
    zone: Option<Text>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClusterTable {
    name: Text,
    connect_timeout: Option<Text>,
    max_connections: Option<u32>,
    max_requests: Option<u32>,
    max_attempts: Option<Spanned<u32>>,
    probes: Option<bool>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RuleTable {
    cluster: Text,
    authority: Option<Text>,
    path: Option<Text>,
    method: Option<Text>,
    class: Option<Text>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CatalogTable {
    hold: Option<Text>,
    most_gone: Option<f64>,
    returns_within: Option<Text>,
    aged_after: Option<Text>,
    max_clusters: Option<usize>,
    max_endpoints: Option<usize>,
}

/// Reads the file. `name` is what problems call it, `beside` is where paths that are not absolute begin, and
/// `class` knows the platform's classes.
///
/// # Errors
/// All that is wrong with it; but of what is not TOML or not of the form only the first thing.
pub fn parse(
    name: &str,
    text: &str,
    beside: &Path,
    class: &dyn Fn(&str) -> Option<ClassId>,
) -> Result<ClusterConfig, Problems> {
    let file = form(text).map_err(|problem| Problems::one(name, problem))?;
    let mut reader = Reader { text, beside, class, problems: Vec::new() };
    let cluster_config = reader.cluster_config(&file);
    Problems::of(name, reader.problems).map_or(Ok(cluster_config), Err)
}

/// The text as a tree of the form's types.
fn form(text: &str) -> Result<File, Problem> {
    let bad = |key: String, e: toml::de::Error| {
        let (line, column) = place(text, e.span().map_or(0, |at| at.start));
        Problem { line, column, key, fault: Fault::Form(e.message().to_owned()) }
    };
    let tree = toml::Deserializer::parse(text).map_err(|e| bad(String::new(), e))?;
    serde_path_to_error::deserialize(tree).map_err(|e| bad(path(&e.path().to_string()), e.into_inner()))
}

struct Reader<'t> {
    text: &'t str,
    beside: &'t Path,
    class: &'t dyn Fn(&str) -> Option<ClassId>,
    problems: Vec<Problem>,
}

impl Reader<'_> {
    fn problem(&mut self, at: Range<usize>, key: String, fault: impl Into<Fault>) {
        let (line, column) = place(self.text, at.start);
        self.problems.push(Problem { line, column, key, fault: fault.into() });
    }

    fn wrong(&mut self, at: &Text, key: String, wanted: &'static str) {
        let found = at.get_ref().clone();
        self.problem(at.span(), key, Fault::Value { found, wanted });
    }

    fn cluster_config(&mut self, file: &File) -> ClusterConfig {
        if *file.version.get_ref() != VERSION {
            self.problem(file.version.span(), "version".into(), Fault::Version(*file.version.get_ref()));
        }
        let default = match &file.default {
            Some(name) => self.cluster_name(name, "default".into()),
            None => REGISTRY.into(),
        };
        let mut names = BTreeMap::new();
        let mut sources = Vec::new();
        for (at, table) in file.sources.iter().enumerate() {
            let (key, name) = (format!("sources[{at}]"), &table.get_ref().name);
            self.unique(&mut names, name, format!("{key}.name"));
            if name.get_ref() == REGISTRY {
                self.problem(name.span(), format!("{key}.name"), Fault::Reserved);
            }
            sources.extend(self.source(table, &key));
        }
        let (mut names, mut clusters) = (BTreeMap::new(), BTreeMap::new());
        for (at, table) in file.clusters.iter().enumerate() {
            let (key, name) = (format!("clusters[{at}]"), &table.get_ref().name);
            self.unique(&mut names, name, format!("{key}.name"));
            let overrides = self.overrides(table, &key);
            clusters.insert(self.cluster_name(name, format!("{key}.name")), overrides);
        }
        let policy = file.catalog.as_ref().map(|table| self.policy(table)).unwrap_or_default();
        ClusterConfig { sources, policy, clusters, rules: self.rules(&file.rules), default }
    }

    /// Danger: one name for two things, where the second would silently be taken for the first.
    fn unique<'n>(&mut self, known: &mut BTreeMap<&'n str, usize>, name: &'n Text, key: String) {
        let (line, _) = place(self.text, name.span().start);
        if let Some(line) = known.insert(name.get_ref(), line) {
            self.problem(name.span(), key, Fault::Twice { name: name.get_ref().clone(), line });
        }
    }

    fn cluster_name(&mut self, name: &Text, key: String) -> ClusterName {
        let cluster = ClusterName::new(name.get_ref().as_str());
        if let Err(fault) = cluster.check() {
            self.problem(name.span(), key, fault);
        }
        cluster
    }

    fn duration(&mut self, text: Option<&Text>, key: &str, range: (Duration, Duration)) -> Option<Duration> {
        let text = text?;
        match humantime::parse_duration(text.get_ref()) {
            Ok(time) if (range.0..=range.1).contains(&time) => Some(time),
            Ok(_) => {
                self.wrong(text, key.into(), "in the range of this key");
                None
            }
            Err(_) => {
                self.wrong(text, key.into(), "a length of time such as \"250ms\" or \"2s\"");
                None
            }
        }
    }

    fn source(&mut self, table: &Spanned<SourceTable>, key: &str) -> Option<Source> {
        let t = table.get_ref();
        let given = [&t.file, &t.directory, &t.envoy, &t.xds].into_iter().flatten().count();
        if given != 1 {
            self.problem(table.span(), key.into(), Fault::Kind(given));
            return None;
        }
        let of_xds = [
            ("node", &t.node),
            ("node_cluster", &t.node_cluster),
            ("first_fetch", &t.first_fetch),
            ("backoff", &t.backoff),
            ("variant", &t.variant),
            ("region", &t.region),
            ("zone", &t.zone),
        ];
        let is_xds = t.xds.is_some();
        let beside =
            of_xds.into_iter().filter(|_| !is_xds).chain([("poll", &t.poll)].into_iter().filter(|_| is_xds));
        let mut beside: Vec<_> =
            beside.filter_map(|(name, text)| Some((name, text.as_ref()?.span()))).collect();
        beside.extend(t.clusters.as_ref().filter(|_| !is_xds).map(|list| ("clusters", list.span())));
        for (name, at) in beside {
            self.problem(at, format!("{key}.{name}"), Fault::Beside);
        }
        let kind = if let Some(address) = &t.xds {
            SourceKind::Xds(self.xds(t, address, table.span(), key)?)
        } else {
            let (name, path) = [("file", &t.file), ("directory", &t.directory), ("envoy", &t.envoy)]
                .into_iter()
                .find_map(|(name, text)| Some((name, text.as_ref()?)))?;
            if path.get_ref().is_empty() {
                self.wrong(path, format!("{key}.{name}"), "a path");
            }
            let range = (Duration::from_millis(100), Duration::from_secs(3600));
            let poll = self.duration(t.poll.as_ref(), &format!("{key}.poll"), range);
            let path = self.beside.join(path.get_ref());
            let watched = Watched { path, poll: poll.unwrap_or(Duration::from_secs(2)) };
            match name {
                "file" => SourceKind::File(watched),
                "directory" => SourceKind::Directory(watched),
                _ => SourceKind::Envoy(watched),
            }
        };
        Some(Source { id: SourceId::new(t.name.get_ref().as_str()), kind })
    }

    fn xds(&mut self, t: &SourceTable, address: &Text, whole: Range<usize>, key: &str) -> Option<Xds> {
        let port = address.get_ref().rsplit_once(':').filter(|(host, _)| !host.is_empty());
        if !port.is_some_and(|(_, port)| port.parse::<u16>().is_ok_and(|port| port > 0)) {
            self.wrong(address, format!("{key}.xds"), "host:port");
        }
        if t.node.is_none() {
            self.problem(whole, format!("{key}.node"), Fault::Missing);
        }
        let listed = t.clusters.as_ref().map(Spanned::get_ref).into_iter().flatten().enumerate();
        let clusters =
            listed.map(|(at, name)| self.cluster_name(name, format!("{key}.clusters[{at}]"))).collect();
        let range = (Duration::from_millis(100), Duration::from_secs(3600));
        let first_fetch = self.duration(t.first_fetch.as_ref(), &format!("{key}.first_fetch"), range);
        let backoff = self.duration(t.backoff.as_ref(), &format!("{key}.backoff"), range);
        let variant = match t.variant.as_ref().map(|text| text.get_ref().as_str()) {
            None | Some("incremental") => Variant::Incremental,
            Some("state-of-the-world") => Variant::StateOfTheWorld,
            Some(_) => {
                let wanted = "\"incremental\" or \"state-of-the-world\"";
                t.variant.iter().for_each(|text| self.wrong(text, format!("{key}.variant"), wanted));
                Variant::Incremental
            }
        };
        let text = |text: &Option<Text>| text.as_ref().map(|text| text.get_ref().clone()).unwrap_or_default();
        Some(Xds {
            address: address.get_ref().clone(),
            node: t.node.as_ref()?.get_ref().clone(),
            node_cluster: text(&t.node_cluster),
            clusters,
            first_fetch: first_fetch.unwrap_or(Duration::from_secs(15)),
            backoff: backoff.unwrap_or(Duration::from_secs(30)),
            variant,
            region: text(&t.region),
            zone: text(&t.zone),
        })
    }

    fn overrides(&mut self, table: &Spanned<ClusterTable>, key: &str) -> Overrides {
        let t = table.get_ref();
        let range = (Duration::ZERO, Duration::MAX);
        let limits = ClusterSettings {
            connect_timeout: self.duration(
                t.connect_timeout.as_ref(),
                &format!("{key}.connect_timeout"),
                range,
            ),
            max_connections: t.max_connections,
            max_requests: t.max_requests,
            ..ClusterSettings::default()
        };
        if let Err(fault) = limits.check() {
            self.problem(table.span(), key.into(), fault);
        }
        let max_attempts = t.max_attempts.as_ref().map(|n| *n.get_ref());
        if let (Some(0), Some(at)) = (max_attempts, &t.max_attempts) {
            let fault = Fault::Value { found: "0".into(), wanted: "at least 1" };
            self.problem(at.span(), format!("{key}.max_attempts"), fault);
        }
        Overrides { limits, max_attempts, probes: t.probes }
    }

    fn rules(&mut self, tables: &[Spanned<RuleTable>]) -> Rules<ClusterName> {
        let mut rules: Vec<(Criteria, ClusterName)> = Vec::new();
        for (at, table) in tables.iter().enumerate() {
            let (key, t) = (format!("rules[{at}]"), table.get_ref());
            let cluster = self.cluster_name(&t.cluster, format!("{key}.cluster"));
            let known = self.problems.len();
            let criteria = self.criteria(t, &key);
            if self.problems.len() > known {
                continue; // what is left of it may look like another rule
            }
            if criteria == Criteria::default() {
                self.problem(table.span(), key, Fault::Everything(cluster.as_str().into()));
            } else if let Some(same) = rules.iter().position(|(other, _)| *other == criteria) {
                let (line, _) = place(self.text, tables[same].span().start);
                self.problem(table.span(), key, Fault::SameRule { line });
            }
            rules.push((criteria, cluster));
        }
        Rules::new(rules)
    }

    fn criteria(&mut self, t: &RuleTable, key: &str) -> Criteria {
        let authority = t.authority.as_ref().map(|text| {
            let host = text.get_ref().to_ascii_lowercase();
            let name = host.strip_prefix("*.").unwrap_or(&host);
            let literal = name.starts_with('[') && name.ends_with(']');
            let label = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            let plain = !name.is_empty() && !name.starts_with('.') && name.chars().all(label);
            if !literal && !plain {
                let wanted = "a host without a port, or *. and a host";
                self.wrong(text, format!("{key}.authority"), wanted);
            }
            host.strip_suffix('.').unwrap_or(&host).to_owned()
        });
        let path = t.path.as_ref().map(|text| {
            let path = text.get_ref().as_str();
            if !path.starts_with('/')
                || path.contains(|c: char| c == '?' || c == '#' || !c.is_ascii_graphic())
            {
                self.wrong(text, format!("{key}.path"), "a path that begins with / and has no query");
            }
            path.trim_end_matches('/').to_owned()
        });
        let method = t.method.as_ref().map(|text| {
            if text.get_ref().is_empty()
                || !text.get_ref().bytes().all(|b| b.is_ascii_uppercase() || b == b'-')
            {
                self.wrong(text, format!("{key}.method"), "a method in capital letters");
            }
            text.get_ref().clone()
        });
        let class = t.class.as_ref().and_then(|text| {
            let class = (self.class)(text.get_ref());
            if class.is_none() {
                self.problem(text.span(), format!("{key}.class"), Fault::Class(text.get_ref().clone()));
            }
            class
        });
        Criteria { authority, path, method, class }
    }

    fn policy(&mut self, table: &Spanned<CatalogTable>) -> Policy {
        let (t, usual) = (table.get_ref(), Policy::default());
        let range = (Duration::ZERO, Duration::MAX);
        let mut time = |text: &Option<Text>, key: &str, usual| {
            self.duration(text.as_ref(), &format!("catalog.{key}"), range).unwrap_or(usual)
        };
        let policy = Policy {
            hold: time(&t.hold, "hold", usual.hold),
            most_gone: t.most_gone.unwrap_or(usual.most_gone),
            returns_within: time(&t.returns_within, "returns_within", usual.returns_within),
            aged_after: time(&t.aged_after, "aged_after", usual.aged_after),
            max_clusters: t.max_clusters.unwrap_or(usual.max_clusters),
            max_endpoints: t.max_endpoints.unwrap_or(usual.max_endpoints),
        };
        if let Err(bad) = policy.check() {
            self.problem(table.span(), format!("catalog.{}", bad.key), bad);
        }
        policy
    }
}

/// The key as the file has it, without what stands for places.
fn path(key: &str) -> String {
    key.split('.')
        .filter(|part| !(part.is_empty() || part.starts_with("$__") || *part == "?"))
        .collect::<Vec<_>>()
        .join(".")
}

/// Line and column of a byte, from 1.
fn place(text: &str, at: usize) -> (usize, usize) {
    let before = text.get(..at).unwrap_or(text);
    let line = before.rsplit('\n').next().unwrap_or_default();
    (before.matches('\n').count() + 1, line.chars().count() + 1)
}
