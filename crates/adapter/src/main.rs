//! Connects the decision module to the simulator's wire protocol: one JSON object per line on standard input,
//! and one reply per line on standard output.
//!
//! The adapter makes no decisions. A line that cannot be processed ends the process with a message on
//! standard error and, if the number of the batch is known, a reply with an `internal-error`.

mod error;
mod host;
mod instance;
mod wire;

use error::AdapterError;
use host::Host;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use wire::{Batch, BatchNumber, Order, Reply};

/// A batch is one line of up to several megabytes.
const INPUT_BUFFER_BYTES: usize = 1 << 20;
const OUTPUT_BUFFER_BYTES: usize = 1 << 18;

fn main() -> ExitCode {
    // The message of a panic is sent as `internal-error`; the default hook would print it a second time.
    std::panic::set_hook(Box::new(|_| {}));
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("olivecart-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Processes the batches on standard input until its end.
fn serve() -> Result<(), AdapterError> {
    let mut input = io::BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    let mut host = Host::default();
    let mut orders = Vec::new();
    let mut line = Vec::new();
    let mut previous_number = None;
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
            Err(error) => return Err(reject_line(&mut output, &line, error, previous_number)?),
        };
        let number = batch.number;
        previous_number = Some(number);
        orders.clear();
        if let Err(error) = host.process_batch(batch, &mut orders) {
            let instance = error.instance;
            let error = AdapterError::Batch { number, error };
            reply_with_error(&mut output, number, instance, &error)?;
            return Err(error);
        }
        reply(&mut output, number, &orders)?;
    }
}

/// Replies to a line that is not a valid batch if its batch number can be parsed. Returns the error that ends
/// the adapter.
fn reject_line(
    output: &mut impl Write,
    line: &[u8],
    error: serde_json::Error,
    previous_number: Option<u64>,
) -> Result<AdapterError, AdapterError> {
    let number = serde_json::from_slice::<BatchNumber>(line).ok().map(|batch| batch.number);
    let line = match (number, previous_number) {
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
