//! Puts the decisions on the simulator's wire: one JSON object a line in, one a line out.
//!
//! It decides nothing. What cannot be read ends the process with a message on standard error and, where
//! the number of the batch is known, an `internal-error` in reply.

mod error;
mod host;
mod instance;
mod wire;

use error::AdapterError;
use host::Host;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use wire::{Batch, BatchNumber, Order, Reply};

/// Batches of megabytes come in one line.
const INPUT_BUFFER: usize = 1 << 20;
const OUTPUT_BUFFER: usize = 1 << 18;

fn main() -> ExitCode {
    // A panic's text goes out as `internal-error`; the hook's own print would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("olivecart-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Plays all batches of standard input.
fn serve() -> Result<(), AdapterError> {
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER, io::stdin().lock());
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER, io::stdout().lock());
    let mut host = Host::default();
    let mut orders = Vec::new();
    let mut line = Vec::new();
    let mut last_number = None;
    loop {
        line.clear();
        let length = input.read_until(b'\n', &mut line).map_err(AdapterError::Input)?;
        if length == 0 {
            return Ok(());
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let batch: Batch = match serde_json::from_slice(&line) {
            Ok(batch) => batch,
            Err(error) => return Err(refuse_line(&mut output, &line, error, last_number)?),
        };
        let number = batch.number;
        last_number = Some(number);
        orders.clear();
        if let Err(error) = host.play(batch, &mut orders) {
            let instance = error.instance;
            let error = AdapterError::Batch { number, error };
            reply_with_error(&mut output, number, instance, &error)?;
            return Err(error);
        }
        reply(&mut output, number, &orders)?;
    }
}

/// Replies to a line that is no batch, if its number can be read; the error that ends the adapter.
fn refuse_line(
    output: &mut impl Write,
    line: &[u8],
    error: serde_json::Error,
    last_number: Option<u64>,
) -> Result<AdapterError, AdapterError> {
    let number = serde_json::from_slice::<BatchNumber>(line).ok().map(|batch| batch.number);
    let line = match (number, last_number) {
        (Some(number), _) => format!("batch {number}"),
        (None, Some(last)) => format!("the line after batch {last}"),
        (None, None) => "the first line".to_owned(),
    };
    let error = AdapterError::Line { line, error };
    if let Some(number) = number {
        reply_with_error(output, number, 0, &error)?;
    }
    Ok(error)
}

fn reply_with_error(
    output: &mut impl Write,
    batch: u64,
    instance: u64,
    error: &AdapterError,
) -> Result<(), AdapterError> {
    reply(output, batch, &[Order::InternalError { i: instance, what: error.to_string() }])
}

fn reply(output: &mut impl Write, batch: u64, orders: &[Order]) -> Result<(), AdapterError> {
    serde_json::to_writer(&mut *output, &Reply { batch, orders })
        .map_err(io::Error::from)
        .and_then(|()| output.write_all(b"\n"))
        .and_then(|()| output.flush())
        .map_err(AdapterError::Output)
}
