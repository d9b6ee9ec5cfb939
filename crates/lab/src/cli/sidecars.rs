//! Many sidecars and a control plane that restarts.

use super::{FINE, faulty};
use argh::FromArgs;
use olivecart_lab::scenario::Span;
use olivecart_lab::sidecars::{Plan, VARIANTS, play};
use olivecart_membership::xds::session::Variant;
use slog::{Logger, info};
use std::path::PathBuf;
use std::time::Duration;

/// Play sidecars whose control plane restarts, in virtual time: what it costs them and it. Nothing else goes
/// wrong but that servers are replaced meanwhile.
#[derive(FromArgs)]
#[argh(subcommand, name = "sidecars")]
pub struct Sidecars {
    /// how many (default 1000)
    #[argh(option, default = "Plan::default().sidecars")]
    sidecars: u32,
    /// clusters, which all sidecars call (default 3)
    #[argh(option, default = "Plan::default().clusters")]
    clusters: u32,
    /// endpoints of each (default 30)
    #[argh(option, default = "Plan::default().endpoints")]
    endpoints: u32,
    /// requests a second of each sidecar (default 5)
    #[argh(option, default = "Plan::default().rate")]
    rate: f64,
    /// incremental (default) or state-of-the-world
    #[argh(option, default = "Variant::Incremental", from_str_fn(variant))]
    variant: Variant,
    /// for how long the control plane is away (default 5s)
    #[argh(option, default = "Plan::default().outage", from_str_fn(span))]
    outage: Duration,
    /// part of the endpoints that is replaced meanwhile (default 0.3)
    #[argh(option, default = "Plan::default().replaced")]
    replaced: f64,
    /// connections a second that the control plane can take (default 500)
    #[argh(option, default = "Plan::default().accepts")]
    accepts: f64,
    /// connections that may wait at it (default 128)
    #[argh(option, default = "Plan::default().backlog")]
    backlog: usize,
    /// the longest wait before another attempt (default 30s)
    #[argh(option, default = "Plan::default().backoff", from_str_fn(span))]
    backoff: Duration,
    /// all sidecars draw their waits from one seed
    #[argh(switch)]
    one_seed: bool,
    /// seed of all chance (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// threads; the result is the same on any number (default: one for 100 sidecars, as far as there are cores)
    #[argh(option)]
    threads: Option<usize>,
    /// write the result to this file, as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

fn span(text: &str) -> Result<Duration, String> {
    text.parse::<Span>().map(Span::duration).map_err(|bad| bad.to_string())
}

fn variant(text: &str) -> Result<Variant, String> {
    let found = VARIANTS.iter().find(|(name, _)| *name == text);
    found.map(|(_, variant)| *variant).ok_or_else(|| "incremental or state-of-the-world".to_owned())
}

impl Sidecars {
    /// Plays it.
    pub fn run(self, log: &Logger) -> u8 {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let threads = self.threads.unwrap_or((self.sidecars as usize).div_ceil(100).clamp(1, cores));
        let plan = Plan {
            sidecars: self.sidecars,
            clusters: self.clusters,
            endpoints: self.endpoints,
            rate: self.rate,
            variant: self.variant,
            outage: self.outage,
            replaced: self.replaced,
            accepts: self.accepts,
            backlog: self.backlog,
            backoff: self.backoff,
            one_seed: self.one_seed,
            seed: self.seed,
        };
        info!(log, "playing"; "sidecars" => plan.sidecars, "seed" => plan.seed, "threads" => threads);
        let outcomes = match play(plan, threads) {
            Ok(outcomes) => outcomes,
            Err(error) => return faulty(error),
        };
        println!("{outcomes}");
        let Some(path) = self.json else { return FINE };
        let written = serde_json::to_string(&outcomes).map_err(std::io::Error::from);
        match written.and_then(|text| std::fs::write(&path, text + "\n")) {
            Ok(()) => FINE,
            Err(error) => faulty(format!("{}: {error}", path.display())),
        }
    }
}
