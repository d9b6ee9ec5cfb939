//! The catalogue: every code with what it means, why it hurts, and the way out.

use std::fmt;

/// How bad something is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// It would do harm, or cannot be used.
    Error,
    /// It is hardly meant.
    Warning,
}

/// Something that can be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Code {
    /// Such as `OC0107`. Never given to something else.
    pub id: &'static str,
    /// How bad it is.
    pub severity: Severity,
    /// In a few words.
    pub title: &'static str,
    /// Why it hurts.
    pub why: &'static str,
    /// What to do about it in general.
    pub help: &'static str,
}

const fn error(id: &'static str, title: &'static str, why: &'static str, help: &'static str) -> Code {
    Code { id, severity: Severity::Error, title, why, help }
}

const fn warning(id: &'static str, title: &'static str, why: &'static str, help: &'static str) -> Code {
    Code { id, severity: Severity::Warning, title, why, help }
}

/// The catalogue, by id. 00: form; 01: effects and repeats; 02: time and attempts; 03: addresses; 04: limits;
/// 05: worth and shares; 06: who calls whom; 07: clusters and routes; 08: classes between tiers.
pub const CODES: &[Code] = &[
    error("OC0001", "not TOML", "nothing of the file can be read", "mend it at the place that is shown"),
    error(
        "OC0002",
        "unknown key",
        "a key that is misspelt would silently leave the default in force",
        "write the key that was meant, or remove it",
    ),
    error("OC0003", "missing key", "there is no value that fits all", "add the key"),
    error(
        "OC0004",
        "wrong type",
        "the value cannot mean anything here",
        "write a value of the type that is named",
    ),
    error("OC0005", "out of range", "the program could not work with it", "choose a value within the range"),
    error(
        "OC0006",
        "unknown version",
        "another version may mean something else by the same words",
        "use a program of that version, or rewrite the file",
    ),
    error(
        "OC0007",
        "unknown kind",
        "it is not clear what the file describes",
        "write kind = \"fleet\", \"application\" or \"proxy\"",
    ),
    error(
        "OC0008",
        "a name twice",
        "the second would silently be taken for the first",
        "give each a name of its own",
    ),
    error(
        "OC0009",
        "unknown name",
        "what it leads to is not there",
        "write the name of something that is there, or add it",
    ),
    error(
        "OC0010",
        "cannot be read",
        "without it the rest cannot be judged",
        "see to it that the file is there and can be read",
    ),
    error(
        "OC0011",
        "bad name",
        "names go into file names, headers and logs",
        "use letters, digits, '-', '_' and '.', at most 64, and begin with a letter or digit",
    ),
    error(
        "OC0012",
        "keys that exclude each other",
        "only one of them could be in force",
        "keep the one that is meant",
    ),
    error(
        "OC0101",
        "a class that must run once would be repeated",
        "an attempt that may have run is sent again, and the effect happens twice",
        "set repeat = \"unsent\", or leave it out",
    ),
    error(
        "OC0102",
        "a keyed class would be repeated outside its group and window",
        "endpoints that have not seen the key, or no longer know it, run the request again",
        "set repeat = \"window\", or leave it out",
    ),
    error(
        "OC0103",
        "a window shorter than one attempt",
        "the key is forgotten before the first repeat could be sent, so that repeats run again",
        "widen the window beyond the longest attempt, or shorten the attempt",
    ),
    warning(
        "OC0104",
        "a window shorter than all attempts",
        "the last attempts could not be sent, since the window has closed by then",
        "widen the window to attempts x attempt, or allow fewer attempts",
    ),
    error(
        "OC0105",
        "a keyed class without a window or group",
        "without them nothing says where and until when a repeat does no harm",
        "add window and group, or another effect",
    ),
    warning(
        "OC0106",
        "a window or group that means nothing",
        "only the effect by-key has them",
        "remove it, or write effect = \"by-key\"",
    ),
    error(
        "OC0201",
        "an aim above the deadline",
        "the client is gone before the answer would be worth all",
        "lower the aim or raise the deadline",
    ),
    error(
        "OC0202",
        "a deadline longer than the caller's",
        "work goes on for a caller that has given up, and takes the place of work that somebody waits for",
        "shorten the deadline to the caller's, or lengthen the caller's first",
    ),
    error(
        "OC0203",
        "a deadline longer than what the caller's own attempts leave",
        "the caller's last attempt has less time than it lets the call take, so it ends in nothing",
        "shorten the deadline, the caller's attempt, or the caller's number of attempts",
    ),
    error(
        "OC0204",
        "attempts over all tiers beyond the budget",
        "when the last tier is ill, each request of a client becomes so many, and keeps it ill",
        "allow fewer attempts in one of the tiers that are named, or raise budget.attempts",
    ),
    error(
        "OC0205",
        "a time to stay away beyond what clients honour",
        "clients come back earlier all the same, and the proxy counts on it that they don't",
        "lower retry_after to 2s at most",
    ),
    error(
        "OC0206",
        "a grace for drains beyond what the platform allows",
        "an endpoint that drains is gone 500 ms later, and requests to it are lost",
        "lower drain_grace to 500ms at most",
    ),
    error(
        "OC0207",
        "a connect timeout that leaves nothing of a deadline",
        "one connection that does not come up takes all the time there is",
        "lower connect_timeout below the shortest deadline",
    ),
    error(
        "OC0208",
        "an attempt longer than the deadline",
        "the figure cannot be true, and what is reckoned with it is wrong",
        "lower attempt to the deadline at most",
    ),
    error(
        "OC0301",
        "two listeners at one address",
        "the second cannot be bound, and the proxy does not start",
        "give each listener a port of its own",
    ),
    error(
        "OC0302",
        "two applications at one address of a machine",
        "whichever starts second does not start",
        "give each a port of its own, or run them on different machines",
    ),
    error(
        "OC0303",
        "a listener that is its own upstream",
        "each request would come back in at once, until all descriptors are taken",
        "let the application listen on another port than the proxy before it",
    ),
    error(
        "OC0304",
        "a listener for one's own that others reach",
        "whoever reaches it can read the configuration, drain the proxy, or call in this application's name",
        "listen on a loopback address",
    ),
    error(
        "OC0305",
        "an address that cannot be listened on",
        "port 0 is another port at each start",
        "choose a port",
    ),
    warning(
        "OC0306",
        "a port below 1024",
        "it takes a privilege that sidecars should not have",
        "choose a port from 1024 on",
    ),
    error(
        "OC0401",
        "descriptors that cannot hold clients and endpoints",
        "each request that a client waits for may need a connection to an endpoint as well",
        "raise descriptors, or lower client_connections",
    ),
    error(
        "OC0402",
        "memory that cannot hold what the limits allow",
        "the process is killed at its peak, with all that it holds",
        "raise memory, or lower largest_body, client_connections or open_requests",
    ),
    error("OC0403", "too little memory", "the program does not run in it", "give at least 32MiB"),
    error("OC0404", "too few descriptors", "the program does not run with them", "give at least 80"),
    error(
        "OC0501",
        "shares that add up to more than all",
        "tenants would be promised what is not there",
        "lower shares until they add up to 1 at most",
    ),
    warning(
        "OC0502",
        "a class that is worth nothing",
        "it is the first to be refused, always",
        "give it a worth above 0",
    ),
    error(
        "OC0503",
        "no class that is worth anything",
        "nothing tells what to serve first",
        "give a class a worth above 0",
    ),
    error(
        "OC0601",
        "a loop of calls",
        "one request goes round until every deadline on the way has passed",
        "break the loop at one of the calls that are shown",
    ),
    error(
        "OC0602",
        "a call into its own tier or one before it",
        "deadlines and attempts add up along the tiers, and would not here",
        "call into a tier after one's own, or put the tiers into another order",
    ),
    warning(
        "OC0603",
        "nobody calls it",
        "it is of a tier after the first, and would get no requests",
        "add the call to the application that makes it, or remove it",
    ),
    error(
        "OC0604",
        "a call to an application without a listener",
        "others cannot reach it",
        "give the application that is called an [inbound]",
    ),
    error(
        "OC0605",
        "the same call twice",
        "each would have connections, limits and beliefs of its own about the same endpoints",
        "keep one, with routes if there are several clusters",
    ),
    warning(
        "OC0701",
        "a cluster that no route leads to",
        "it is watched, probed, and never used",
        "add a route to it, or remove it",
    ),
    error(
        "OC0702",
        "a route to no cluster",
        "its requests could only be refused",
        "write one of the clusters of this call",
    ),
    error(
        "OC0703",
        "two routes for the same requests",
        "only one of them can be taken",
        "remove one, or make them differ",
    ),
    warning(
        "OC0704",
        "a route behind a broader one to the same cluster",
        "it changes nothing, and looks as if it did",
        "remove it",
    ),
    error(
        "OC0705",
        "a bad route",
        "no request could fit it",
        "give a path that begins with / and has no query, and a method in capital letters",
    ),
    error(
        "OC0706",
        "calls and no source of endpoints",
        "nothing would say where the calls go",
        "add [[sources]] to the fleet",
    ),
    warning(
        "OC0707",
        "a zone that no application is in",
        "what is set for it has no effect; the zone of another is perhaps misspelt",
        "remove the zone, or mend the applications'",
    ),
    error(
        "OC0708",
        "a source of no kind, or of several",
        "it says nothing, or several things",
        "give exactly one of file, directory, envoy and xds",
    ),
    error(
        "OC0801",
        "a class that a tier below does not know",
        "each of its calls would be turned away as a bad request",
        "add the class to the tier's serves, or do not take it in above",
    ),
    error(
        "OC0802",
        "a class with another effect than the fleet's",
        "one side repeats what the other runs twice",
        "leave effect to the fleet, and use repeat to be stricter",
    ),
    warning(
        "OC0803",
        "a class that no tier serves",
        "no application takes it",
        "add it to a tier's serves, or remove it",
    ),
];

/// The code of an id, in any case.
pub fn code(id: &str) -> Option<&'static Code> {
    CODES.iter().find(|code| code.id.eq_ignore_ascii_case(id))
}

/// The code of an id that the checks use. The catalogue has all of these; a test holds it to that.
pub(super) fn known(id: &str) -> &'static Code {
    code(id).unwrap_or(&CODES[0])
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
        })
    }
}
