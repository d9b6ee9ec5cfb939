//! What the proxies of a fleet did together.

use super::{FINE, faulty};
use argh::FromArgs;
use olivecart_lab::fleet_log::count;
use std::fs::File;
use std::io::{BufReader, Error, ErrorKind, Write, stdout};
use std::path::PathBuf;

/// Count what all proxies did, by second and by endpoint, from their logs at OLIVECART_LOG=debug.
#[derive(FromArgs)]
#[argh(subcommand, name = "count")]
pub struct Count {
    /// one log for each proxy
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

impl Count {
    /// Prints the counts.
    pub fn run(self) -> u8 {
        if self.logs.is_empty() {
            return faulty("no logs are named");
        }
        let open = |path: &PathBuf| match File::open(path) {
            Ok(file) => Ok((path.display().to_string(), BufReader::new(file))),
            Err(e) => Err(Error::new(e.kind(), format!("{}: {e}", path.display()))),
        };
        let counted = self.logs.iter().map(open).collect::<Result<Vec<_>, _>>().and_then(count);
        match counted {
            Ok(fleet) if fleet.tiers.is_empty() => {
                faulty("no line of these logs is a proxy's: do they come from OLIVECART_LOG=debug?")
            }
            // Danger: print! panics where its reader, say `head`, has read enough.
            Ok(fleet) => match write!(stdout().lock(), "{fleet}") {
                Err(e) if e.kind() != ErrorKind::BrokenPipe => faulty(e),
                _ => FINE,
            },
            Err(error) => faulty(error),
        }
    }
}
