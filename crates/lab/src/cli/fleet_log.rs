//! The `count` command, which counts events across the logs of a fleet's proxies.

use super::{FINE, faulty};
use argh::FromArgs;
use olivecart_lab::fleet_log::count;
use std::fs::File;
use std::io::{BufReader, Error, ErrorKind, Write, stdout};
use std::path::PathBuf;

/// Count the events of all proxies by second and by endpoint, from their logs at OLIVECART_LOG=debug.
#[derive(FromArgs)]
#[argh(subcommand, name = "count")]
pub struct Count {
    /// log files, one per proxy
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

impl Count {
    /// Prints the counts.
    pub fn run(self) -> u8 {
        if self.logs.is_empty() {
            return faulty("no log file is given");
        }
        let open = |path: &PathBuf| match File::open(path) {
            Ok(file) => Ok((path.display().to_string(), BufReader::new(file))),
            Err(e) => Err(Error::new(e.kind(), format!("{}: {e}", path.display()))),
        };
        let counted = self.logs.iter().map(open).collect::<Result<Vec<_>, _>>().and_then(count);
        match counted {
            Ok(fleet) if fleet.tiers.is_empty() => {
                faulty("the logs contain no lines of a proxy; were they written with OLIVECART_LOG=debug?")
            }
            // print! would panic if the reader of the output, such as `head`, has closed the pipe.
            Ok(fleet) => match write!(stdout().lock(), "{fleet}") {
                Err(e) if e.kind() != ErrorKind::BrokenPipe => faulty(e),
                _ => FINE,
            },
            Err(error) => faulty(error),
        }
    }
}
