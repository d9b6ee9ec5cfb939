//! Puts the decision module on the simulator's wire: one JSON object a line in, one a line out.
//!
//! It decides nothing. What cannot be read ends the process with a message on standard error and, where
//! the batch number is known, an `internal-error` in reply.

mod host;
mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use wire::{Batch, BatchNumber, Order, Reply};

fn main() -> ExitCode {
    // A panic's text goes out as `internal-error`; the hook's own print would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("olivecart-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), String> {
    let mut input = io::BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 18, io::stdout().lock());
    let (mut host, mut catalogs) = (host::Host::default(), host::Catalogs::new());
    let (mut line, mut orders, mut last) = (Vec::new(), Vec::new(), None::<u64>);
    loop {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("standard input: {e}"))?;
        if read == 0 {
            return Ok(());
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        orders.clear();
        let batch: Batch = match serde_json::from_slice(&line) {
            Ok(batch) => batch,
            Err(e) => {
                let number = serde_json::from_slice::<BatchNumber>(&line).ok().map(|b| b.batch);
                let place = match (number, last) {
                    (Some(n), _) => format!("batch {n}"),
                    (None, Some(n)) => format!("the line after batch {n}"),
                    (None, None) => "the first line".into(),
                };
                let message = format!("{place}: {e}");
                if let Some(number) = number {
                    let orders = [Order::InternalError { i: 0, what: message.clone() }];
                    reply(&mut output, number, &orders)?;
                }
                return Err(message);
            }
        };
        let number = batch.batch;
        last = Some(number);
        if let Err((i, what)) = host.play(batch, &mut catalogs, &mut orders) {
            let message = format!("batch {number}: instance {i}: {what}");
            reply(&mut output, number, &[Order::InternalError { i, what: message.clone() }])?;
            return Err(message);
        }
        reply(&mut output, number, &orders)?;
    }
}

fn reply(output: &mut impl Write, batch: u64, orders: &[Order]) -> Result<(), String> {
    let done = serde_json::to_writer(&mut *output, &Reply { batch, orders }).map_err(io::Error::from);
    let done = done.and_then(|()| output.write_all(b"\n")).and_then(|()| output.flush());
    done.map_err(|e| format!("standard output: {e}"))
}
