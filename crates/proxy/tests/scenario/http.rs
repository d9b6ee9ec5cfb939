//! HTTP messages as the tests read them.

use std::collections::HashMap;
use std::io::BufRead;

/// An HTTP message: its first line without the version, its headers with lower-case names, and its body.
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

pub fn read_message(from: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let (mut lines, mut line) = (Vec::new(), String::new());
    while from.read_line(&mut line)? > 0 && !line.trim().is_empty() {
        lines.push(std::mem::take(&mut line).trim_end().to_owned());
    }
    if lines.is_empty() {
        return Ok(None);
    }
    let first = lines.remove(0).replace(" HTTP/1.1", "").replace("HTTP/1.1 ", "");
    let header = |l: String| l.split_once(": ").map(|(n, v)| (n.to_lowercase(), v.to_owned()));
    let headers: HashMap<_, _> = lines.into_iter().filter_map(header).collect();
    let body = if headers.contains_key("transfer-encoding") {
        read_chunks(from)?
    } else {
        read_bytes(from, headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0))?
    };
    Ok(Some(Message { first, headers, body: String::from_utf8_lossy(&body).into_owned() }))
}

fn read_bytes(from: &mut impl BufRead, length: usize) -> std::io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes).map(|()| bytes)
}

fn read_chunks(from: &mut impl BufRead) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(std::io::Error::other)?;
        let chunk = read_bytes(from, length + 2)?;
        body.extend_from_slice(&chunk[..length]);
        if length == 0 {
            return Ok(body);
        }
    }
}

/// Reads a head including its blank line, or returns `None` if the connection ends before.
pub fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}
