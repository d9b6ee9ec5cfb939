//! The catalogue of finding codes, each with its meaning, its consequences and a fix.

use std::fmt;

/// The severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The configuration is harmful or cannot be used.
    Error,
    /// The configuration works but is probably a mistake.
    Warning,
}

/// The code of a kind of finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Code {
    /// The identifier, such as `OC0107`. Identifiers are never reused.
    pub id: &'static str,
    /// The severity.
    pub severity: Severity,
    /// A short title.
    pub title: &'static str,
    /// The consequences.
    pub why: &'static str,
    /// The general fix.
    pub help: &'static str,
}

const fn error(id: &'static str, title: &'static str, why: &'static str, help: &'static str) -> Code {
    Code { id, severity: Severity::Error, title, why, help }
}

const fn warning(id: &'static str, title: &'static str, why: &'static str, help: &'static str) -> Code {
    Code { id, severity: Severity::Warning, title, why, help }
}

/// The catalogue, sorted by id. 00: form and names; 01: effects and retries; 02: durations and attempts; 03:
/// addresses; 04: limits; 05: worth and shares; 06: calls between applications; 07: clusters, routes and
/// sources; 08: classes between tiers.
pub const CODES: &[Code] = &[
    error("OC0001", "not TOML", "the file cannot be parsed", "fix the syntax error at the location shown"),
    error(
        "OC0002",
        "unknown key",
        "the value of a misspelt key would be ignored and the default would apply",
        "correct the spelling of the key, or remove it",
    ),
    error("OC0003", "missing key", "the key is required and has no default", "add the key"),
    error(
        "OC0004",
        "wrong type",
        "the value cannot be converted to the type of the key",
        "write a value of the type that the message names",
    ),
    error(
        "OC0005",
        "out of range",
        "the proxy cannot work with the value",
        "choose a value within the range",
    ),
    error(
        "OC0006",
        "unsupported version",
        "the same keys may have another meaning in another version of the format",
        "use a release of olivecart that supports this version, or convert the file",
    ),
    error(
        "OC0007",
        "unknown kind",
        "the kind determines which keys the file may have",
        "set kind to \"fleet\", \"application\" or \"proxy\"",
    ),
    error(
        "OC0008",
        "duplicate name",
        "references to the name would be ambiguous",
        "give each one a different name",
    ),
    error(
        "OC0009",
        "unknown name",
        "the value refers to something that is not defined",
        "correct the name, or define what it refers to",
    ),
    error(
        "OC0010",
        "file cannot be read",
        "the configuration cannot be checked without the file",
        "make sure that the file exists and is readable",
    ),
    error(
        "OC0011",
        "invalid name",
        "names are used in file names, headers and logs",
        "use at most 64 letters, digits, '-', '_' and '.', and begin with a letter or digit",
    ),
    error(
        "OC0012",
        "conflicting keys or files",
        "only one of them can take effect",
        "keep one of them and remove the others",
    ),
    error(
        "OC0101",
        "retry of a class that must run once",
        "a request is retried although an earlier attempt may have run, so that it takes effect twice",
        "set repeat = \"unsent\", or remove it",
    ),
    error(
        "OC0102",
        "retry of a keyed class outside its group and window",
        "endpoints that have not seen the key, or have forgotten it, run the request again",
        "set repeat = \"window\", or remove it",
    ),
    error(
        "OC0103",
        "window not longer than one attempt",
        "endpoints forget the key before the first retry, so that the request runs again",
        "make window longer than attempt, or shorten attempt",
    ),
    warning(
        "OC0104",
        "window shorter than all attempts",
        "the last attempts are not sent, because the window has ended by then",
        "set window to at least attempts x attempt, or lower attempts",
    ),
    error(
        "OC0105",
        "keyed class without a window",
        "without a window the proxy does not know how long a retry is safe",
        "add window (and group, unless all endpoints share keys), or choose another effect",
    ),
    warning(
        "OC0106",
        "window or group without keys",
        "window and group only apply to the effect by-key",
        "remove the key, or set effect = \"by-key\"",
    ),
    error(
        "OC0201",
        "aim longer than the deadline",
        "the client gives up before the aim has passed, so the aim has no effect",
        "shorten aim or lengthen deadline",
    ),
    error(
        "OC0202",
        "deadline longer than the caller's",
        "the application works on requests that its caller has given up, instead of requests whose callers still wait",
        "shorten the deadline to that of the caller, or lengthen the caller's deadline first",
    ),
    error(
        "OC0203",
        "deadline longer than the time left after the caller's attempts",
        "the caller's last attempt has less time left than the called application may take, and may fail at the deadline",
        "shorten the deadline or the caller's attempt, or lower the caller's attempts",
    ),
    error(
        "OC0204",
        "attempts over all tiers exceed the budget",
        "when the last tier is overloaded, retries multiply each client request and keep the tier from recovering",
        "lower attempts in one of the tiers shown, or raise budget.attempts",
    ),
    error(
        "OC0205",
        "Retry-After longer than clients honour",
        "clients retry earlier than the proxy expects",
        "set retry_after to at most 2s",
    ),
    error(
        "OC0206",
        "drain grace longer than the platform allows",
        "a draining endpoint stops after 500 ms, and requests sent to it later are lost",
        "set drain_grace to at most 500ms",
    ),
    error(
        "OC0207",
        "connect timeout not shorter than a deadline",
        "one failed connection attempt uses up the whole deadline",
        "set connect_timeout below the shortest deadline",
    ),
    error(
        "OC0208",
        "attempt longer than the deadline",
        "an attempt cannot last longer than the deadline, and checks that use the value give wrong results",
        "set attempt to at most the deadline",
    ),
    error(
        "OC0301",
        "two listeners at the same address",
        "the second listener cannot be bound, and the proxy does not start",
        "give each listener a different port",
    ),
    error(
        "OC0302",
        "two applications at the same address of a machine",
        "the application that starts second cannot bind the address",
        "give each one a different port, or run them on different machines",
    ),
    error(
        "OC0303",
        "listener that is its own upstream",
        "each request would be forwarded to the same listener again, until all descriptors are used",
        "set inbound.application to the address of the application, on another port than the listener",
    ),
    error(
        "OC0304",
        "local listener reachable from other machines",
        "other machines could read the configuration, drain the proxy, or send requests in the name of this application",
        "use a loopback address",
    ),
    error(
        "OC0305",
        "address with port 0",
        "the system would choose another port at each start",
        "choose a fixed port",
    ),
    warning(
        "OC0306",
        "port below 1024",
        "binding it needs a privilege that sidecars should not have",
        "choose a port of at least 1024",
    ),
    error(
        "OC0401",
        "too few descriptors for clients and endpoints",
        "each client request may also need a connection to an endpoint",
        "raise descriptors, or lower client_connections",
    ),
    error(
        "OC0402",
        "too little memory for the limits",
        "the process can be killed under peak load, with all its requests",
        "raise memory, or lower largest_body, client_connections or open_requests",
    ),
    error(
        "OC0403",
        "too little memory",
        "the proxy does not run with less than 32MiB",
        "set memory to at least 32MiB",
    ),
    error(
        "OC0404",
        "too few descriptors",
        "the proxy does not run with fewer than 80",
        "set descriptors to at least 80",
    ),
    error(
        "OC0501",
        "shares of more than 1",
        "the tenants are promised more than the whole capacity",
        "lower the shares so that they add up to at most 1",
    ),
    warning(
        "OC0502",
        "class with a worth of 0",
        "under overload its requests are always rejected first",
        "set worth above 0",
    ),
    error(
        "OC0503",
        "all classes with a worth of 0",
        "under overload the proxy cannot prioritize requests",
        "set worth above 0 for at least one class",
    ),
    error(
        "OC0601",
        "loop of calls",
        "a request is passed around the loop until all deadlines have expired",
        "remove one of the calls shown",
    ),
    error(
        "OC0602",
        "call to the same or an earlier tier",
        "deadlines and attempts are checked from one tier to the next, which is impossible for such a call",
        "call an application of a later tier, or reorder the tiers",
    ),
    warning(
        "OC0603",
        "application without callers",
        "an application of a later tier that no application calls receives no requests",
        "add the call to the calling application, or remove this application",
    ),
    error(
        "OC0604",
        "call to an application without a listener",
        "other applications cannot reach it",
        "add [inbound] to the called application",
    ),
    error(
        "OC0605",
        "duplicate call",
        "each call would have its own connections, limits and learned state for the same endpoints",
        "keep one call, with routes if there are several clusters",
    ),
    warning(
        "OC0701",
        "cluster without a route",
        "its endpoints are watched and probed, but never used",
        "add a route to the cluster, or remove the cluster",
    ),
    error(
        "OC0702",
        "route to an unknown cluster",
        "requests that match the route would always fail",
        "use one of the clusters of this call",
    ),
    error(
        "OC0703",
        "two routes for the same requests",
        "only one of them can be used",
        "remove one of them, or change its path, method or class",
    ),
    warning(
        "OC0704",
        "redundant route",
        "a broader route already leads to the same cluster",
        "remove the route",
    ),
    error(
        "OC0705",
        "invalid route",
        "no request can match the route as intended",
        "set at least one of path, method and class; a path begins with / and has no query, a method is in upper case",
    ),
    error(
        "OC0706",
        "calls without a source of endpoints",
        "the proxy would not know any endpoints of the called applications",
        "add [[sources]] to the fleet",
    ),
    warning(
        "OC0707",
        "unused zone",
        "no application runs in the zone; the zone of an application may be wrong",
        "remove the zone, or correct the zones of the applications",
    ),
    error(
        "OC0708",
        "source without exactly one kind",
        "the proxy would not know where to read endpoints from",
        "set exactly one of file, directory, envoy and xds",
    ),
    error(
        "OC0801",
        "class that a called tier does not serve",
        "calls with this class would be rejected as invalid requests",
        "add the class to serves of the called tier, or remove it from serves of the calling tier",
    ),
    error(
        "OC0802",
        "class with another effect than in the fleet",
        "a caller may retry a request that its callee executes twice",
        "remove effect here, and use repeat for a stricter retry rule",
    ),
    warning(
        "OC0803",
        "class that no tier serves",
        "no application accepts requests of this class",
        "add the class to serves of a tier, or remove it",
    ),
];

/// Returns the code with an id, ignoring case.
pub fn code(id: &str) -> Option<&'static Code> {
    CODES.iter().find(|code| code.id.eq_ignore_ascii_case(id))
}

/// Returns the code with an id that the checks use. A test ensures that the catalogue has all of them.
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
