//! Parses the operators' file and collects all errors in it.

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
struct ConfigTables {
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

/// Parses the file. `name` is the file name in error messages, relative paths are resolved against
/// `directory`, and `class` looks up the classes of the platform by name.
///
/// # Errors
/// All errors in the file, but only the first one if the text is not TOML or has unknown, missing or mistyped
/// keys.
pub fn parse(
    name: &str,
    text: &str,
    directory: &Path,
    class: &dyn Fn(&str) -> Option<ClassId>,
) -> Result<ClusterConfig, Problems> {
    let file = parse_tables(text).map_err(|problem| Problems::one(name, problem))?;
    let mut reader = Reader { text, directory, class, problems: Vec::new() };
    let cluster_config = reader.cluster_config(&file);
    Problems::of(name, reader.problems).map_or(Ok(cluster_config), Err)
}

/// Deserializes the text.
fn parse_tables(text: &str) -> Result<ConfigTables, Problem> {
    let problem = |key: String, e: toml::de::Error| {
        let (line, column) = line_and_column(text, e.span().map_or(0, |at| at.start));
        Problem { line, column, key, fault: Fault::Syntax(e.message().to_owned()) }
    };
    let tree = toml::Deserializer::parse(text).map_err(|e| problem(String::new(), e))?;
    serde_path_to_error::deserialize(tree)
        .map_err(|e| problem(key_path(&e.path().to_string()), e.into_inner()))
}

struct Reader<'t> {
    text: &'t str,
    directory: &'t Path,
    class: &'t dyn Fn(&str) -> Option<ClassId>,
    problems: Vec<Problem>,
}

impl Reader<'_> {
    fn report(&mut self, at: Range<usize>, key: String, fault: impl Into<Fault>) {
        let (line, column) = line_and_column(self.text, at.start);
        self.problems.push(Problem { line, column, key, fault: fault.into() });
    }

    fn report_invalid_value(&mut self, at: &Text, key: String, expected: &'static str) {
        let found = at.get_ref().clone();
        self.report(at.span(), key, Fault::InvalidValue { found, expected });
    }

    fn cluster_config(&mut self, file: &ConfigTables) -> ClusterConfig {
        if *file.version.get_ref() != VERSION {
            self.report(
                file.version.span(),
                "version".into(),
                Fault::UnsupportedVersion(*file.version.get_ref()),
            );
        }
        let default = match &file.default {
            Some(name) => self.cluster_name(name, "default".into()),
            None => REGISTRY.into(),
        };
        let mut names = BTreeMap::new();
        let mut sources = Vec::new();
        for (index, table) in file.sources.iter().enumerate() {
            let (key, name) = (format!("sources[{index}]"), &table.get_ref().name);
            self.check_unique(&mut names, name, format!("{key}.name"));
            if name.get_ref() == REGISTRY {
                self.report(name.span(), format!("{key}.name"), Fault::ReservedName);
            }
            sources.extend(self.source(table, &key));
        }
        let (mut names, mut clusters) = (BTreeMap::new(), BTreeMap::new());
        for (index, table) in file.clusters.iter().enumerate() {
            let (key, name) = (format!("clusters[{index}]"), &table.get_ref().name);
            self.check_unique(&mut names, name, format!("{key}.name"));
            let overrides = self.overrides(table, &key);
            clusters.insert(self.cluster_name(name, format!("{key}.name")), overrides);
        }
        let policy = file.catalog.as_ref().map(|table| self.policy(table)).unwrap_or_default();
        ClusterConfig { sources, policy, clusters, rules: self.rules(&file.rules), default }
    }

    /// Checks that a name is unique, since a second item of the same name would otherwise silently replace
    /// the first.
    fn check_unique<'n>(&mut self, known: &mut BTreeMap<&'n str, usize>, name: &'n Text, key: String) {
        let (line, _) = line_and_column(self.text, name.span().start);
        if let Some(line) = known.insert(name.get_ref(), line) {
            self.report(name.span(), key, Fault::Duplicate { name: name.get_ref().clone(), line });
        }
    }

    fn cluster_name(&mut self, name: &Text, key: String) -> ClusterName {
        let cluster = ClusterName::new(name.get_ref().as_str());
        if let Err(fault) = cluster.check() {
            self.report(name.span(), key, fault);
        }
        cluster
    }

    fn duration(&mut self, text: Option<&Text>, key: &str, range: (Duration, Duration)) -> Option<Duration> {
        let text = text?;
        match humantime::parse_duration(text.get_ref()) {
            Ok(time) if (range.0..=range.1).contains(&time) => Some(time),
            Ok(_) => {
                self.report_invalid_value(text, key.into(), "in the allowed range of this key");
                None
            }
            Err(_) => {
                self.report_invalid_value(text, key.into(), "a duration such as \"250ms\" or \"2s\"");
                None
            }
        }
    }

    fn source(&mut self, table: &Spanned<SourceTable>, key: &str) -> Option<Source> {
        let t = table.get_ref();
        let kinds = [&t.file, &t.directory, &t.envoy, &t.xds].into_iter().flatten().count();
        if kinds != 1 {
            self.report(table.span(), key.into(), Fault::SourceKindCount(kinds));
            return None;
        }
        let xds_keys = [
            ("node", &t.node),
            ("node_cluster", &t.node_cluster),
            ("first_fetch", &t.first_fetch),
            ("backoff", &t.backoff),
            ("variant", &t.variant),
            ("region", &t.region),
            ("zone", &t.zone),
        ];
        let is_xds = t.xds.is_some();
        let inapplicable = xds_keys
            .into_iter()
            .filter(|_| !is_xds)
            .chain([("poll", &t.poll)].into_iter().filter(|_| is_xds));
        let mut inapplicable: Vec<_> =
            inapplicable.filter_map(|(name, text)| Some((name, text.as_ref()?.span()))).collect();
        inapplicable.extend(t.clusters.as_ref().filter(|_| !is_xds).map(|list| ("clusters", list.span())));
        for (name, at) in inapplicable {
            self.report(at, format!("{key}.{name}"), Fault::NotApplicable);
        }
        let kind = if let Some(address) = &t.xds {
            SourceKind::Xds(self.xds(t, address, table.span(), key)?)
        } else {
            let (name, path) = [("file", &t.file), ("directory", &t.directory), ("envoy", &t.envoy)]
                .into_iter()
                .find_map(|(name, text)| Some((name, text.as_ref()?)))?;
            if path.get_ref().is_empty() {
                self.report_invalid_value(path, format!("{key}.{name}"), "a non-empty path");
            }
            let range = (Duration::from_millis(100), Duration::from_secs(3600));
            let poll = self.duration(t.poll.as_ref(), &format!("{key}.poll"), range);
            let path = self.directory.join(path.get_ref());
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
            self.report_invalid_value(address, format!("{key}.xds"), "host:port");
        }
        if t.node.is_none() {
            self.report(whole, format!("{key}.node"), Fault::MissingKey);
        }
        let listed = t.clusters.as_ref().map(Spanned::get_ref).into_iter().flatten().enumerate();
        let clusters =
            listed.map(|(index, name)| self.cluster_name(name, format!("{key}.clusters[{index}]"))).collect();
        let range = (Duration::from_millis(100), Duration::from_secs(3600));
        let first_fetch = self.duration(t.first_fetch.as_ref(), &format!("{key}.first_fetch"), range);
        let backoff = self.duration(t.backoff.as_ref(), &format!("{key}.backoff"), range);
        let variant = match t.variant.as_ref().map(|text| text.get_ref().as_str()) {
            None | Some("incremental") => Variant::Incremental,
            Some("state-of-the-world") => Variant::StateOfTheWorld,
            Some(_) => {
                let expected = "\"incremental\" or \"state-of-the-world\"";
                t.variant
                    .iter()
                    .for_each(|text| self.report_invalid_value(text, format!("{key}.variant"), expected));
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
            self.report(table.span(), key.into(), fault);
        }
        let max_attempts = t.max_attempts.as_ref().map(|n| *n.get_ref());
        if let (Some(0), Some(at)) = (max_attempts, &t.max_attempts) {
            let fault = Fault::InvalidValue { found: "0".into(), expected: "at least 1" };
            self.report(at.span(), format!("{key}.max_attempts"), fault);
        }
        Overrides { limits, max_attempts, probes: t.probes }
    }

    fn rules(&mut self, tables: &[Spanned<RuleTable>]) -> Rules<ClusterName> {
        let mut rules: Vec<(Criteria, ClusterName)> = Vec::new();
        for (index, table) in tables.iter().enumerate() {
            let (key, t) = (format!("rules[{index}]"), table.get_ref());
            let cluster = self.cluster_name(&t.cluster, format!("{key}.cluster"));
            let problems_before = self.problems.len();
            let criteria = self.criteria(t, &key);
            if self.problems.len() > problems_before {
                continue; // without its invalid criteria the rule might equal another one
            }
            if criteria == Criteria::default() {
                self.report(table.span(), key, Fault::MatchesAll(cluster.as_str().into()));
            } else if let Some(same) = rules.iter().position(|(other, _)| *other == criteria) {
                let (line, _) = line_and_column(self.text, tables[same].span().start);
                self.report(table.span(), key, Fault::DuplicateRule { line });
            }
            rules.push((criteria, cluster));
        }
        Rules::new(rules)
    }

    fn criteria(&mut self, t: &RuleTable, key: &str) -> Criteria {
        let authority = t.authority.as_ref().map(|text| {
            let host = text.get_ref().to_ascii_lowercase();
            let name = host.strip_prefix("*.").unwrap_or(&host);
            let is_ip_literal = name.starts_with('[') && name.ends_with(']');
            let is_host_char = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            let is_host_name = !name.is_empty() && !name.starts_with('.') && name.chars().all(is_host_char);
            if !is_ip_literal && !is_host_name {
                let expected = "a host without a port, or *. followed by a host";
                self.report_invalid_value(text, format!("{key}.authority"), expected);
            }
            host.strip_suffix('.').unwrap_or(&host).to_owned()
        });
        let path = t.path.as_ref().map(|text| {
            let path = text.get_ref().as_str();
            if !path.starts_with('/')
                || path.contains(|c: char| c == '?' || c == '#' || !c.is_ascii_graphic())
            {
                self.report_invalid_value(
                    text,
                    format!("{key}.path"),
                    "a path that starts with / and has no query",
                );
            }
            path.trim_end_matches('/').to_owned()
        });
        let method = t.method.as_ref().map(|text| {
            if text.get_ref().is_empty()
                || !text.get_ref().bytes().all(|b| b.is_ascii_uppercase() || b == b'-')
            {
                self.report_invalid_value(text, format!("{key}.method"), "an HTTP method in capital letters");
            }
            text.get_ref().clone()
        });
        let class = t.class.as_ref().and_then(|text| {
            let class = (self.class)(text.get_ref());
            if class.is_none() {
                self.report(text.span(), format!("{key}.class"), Fault::UnknownClass(text.get_ref().clone()));
            }
            class
        });
        Criteria { authority, path, method, class }
    }

    fn policy(&mut self, table: &Spanned<CatalogTable>) -> Policy {
        let (t, defaults) = (table.get_ref(), Policy::default());
        let range = (Duration::ZERO, Duration::MAX);
        let mut duration = |text: &Option<Text>, key: &str, default| {
            self.duration(text.as_ref(), &format!("catalog.{key}"), range).unwrap_or(default)
        };
        let policy = Policy {
            hold: duration(&t.hold, "hold", defaults.hold),
            most_gone: t.most_gone.unwrap_or(defaults.most_gone),
            returns_within: duration(&t.returns_within, "returns_within", defaults.returns_within),
            aged_after: duration(&t.aged_after, "aged_after", defaults.aged_after),
            max_clusters: t.max_clusters.unwrap_or(defaults.max_clusters),
            max_endpoints: t.max_endpoints.unwrap_or(defaults.max_endpoints),
        };
        if let Err(error) = policy.check() {
            self.report(table.span(), format!("catalog.{}", error.key), error);
        }
        policy
    }
}

/// Returns the key as written in the file, without the parser's placeholders.
fn key_path(key: &str) -> String {
    key.split('.')
        .filter(|part| !(part.is_empty() || part.starts_with("$__") || *part == "?"))
        .collect::<Vec<_>>()
        .join(".")
}

/// Returns the line and column, from 1, of a byte offset.
fn line_and_column(text: &str, at: usize) -> (usize, usize) {
    let before = text.get(..at).unwrap_or(text);
    let line = before.rsplit('\n').next().unwrap_or_default();
    (before.matches('\n').count() + 1, line.chars().count() + 1)
}
