//! Decides where the body of an HTTP/1 message ends (RFC 9112, section 6), for clients' requests and endpoints'
//! responses alike.
//!
//! The decision is made once for each message, from its head and before any byte of it is forwarded. It owns both
//! directions: the HTTP libraries get a head that they can read in no other way, or the message is rejected with
//! the name of its form ([`FramingError`]). What is forwarded is framed anew from the decision.
//!
//! Where a head can be read in two ways, as with `Transfer-Encoding` beside `Content-Length`, two recipients may
//! disagree about where the next message begins (RFC 9112, section 11). Such a head is rejected, never interpreted.
//!
//! This module does no I/O and knows nothing of clients, endpoints or retries.

mod body_scanner;
mod chunked;
mod head;
mod overhead;
mod rejections;
mod request_scanner;

pub use body_scanner::{BodyScanner, Scanned};
pub use head::{
    BodyFraming, ExpectedResponse, canonical_head, of_request, of_response, rejected_response_form,
};
pub use rejections::{RejectedForms, Side};
pub use request_scanner::{RequestScanner, ScannedHead};

/// The form for which a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum FramingError {
    /// The head is no HTTP/1 head, or too long.
    #[error("the head is malformed or too long")]
    InvalidHead,
    /// Both fields are present, with any values.
    #[error("Transfer-Encoding and Content-Length in one message")]
    TransferEncodingWithLength,
    /// HTTP/1.0 has no transfer codings.
    #[error("Transfer-Encoding in an HTTP/1.0 message")]
    TransferEncodingInHttp10,
    /// Another coding follows `chunked`.
    #[error("chunked is not the last transfer coding")]
    ChunkedNotLast,
    /// `chunked` is applied more than once.
    #[error("chunked is applied more than once")]
    RepeatedChunked,
    /// A coding other than `chunked`, or none.
    #[error("unsupported transfer coding")]
    UnsupportedCoding,
    /// Several lengths that are equal.
    #[error("several values of Content-Length")]
    RepeatedLength,
    /// Several lengths that are not equal.
    #[error("values of Content-Length that differ")]
    DifferingLengths,
    /// Not a number of bytes, or one that overflows.
    #[error("Content-Length is not a number of bytes")]
    InvalidLength,
    /// An HTTP/1.1 response that gives no end of its body and does not close its connection.
    #[error("neither a length nor chunks nor a close")]
    Undelimited,
    /// The connection would become a WebSocket, which is not forwarded.
    #[error("upgrade to a WebSocket")]
    WebSocketUpgrade,
    /// A chunk begins with something other than a hexadecimal number.
    #[error("a chunk without a valid size")]
    InvalidChunkSize,
    /// A chunk's size overflows.
    #[error("a chunk size that overflows")]
    ChunkSizeOverflow,
    /// A chunk's data is not followed by a line end.
    #[error("a chunk that does not end with its size")]
    InvalidChunkEnd,
    /// A chunk's extensions are too long, or have control characters.
    #[error("chunk extensions that are malformed or too long")]
    InvalidChunkExtension,
    /// The trailer section is too long or malformed.
    #[error("trailers that are malformed or too long")]
    InvalidTrailers,
    /// More bytes of chunk sizes, extensions and trailers than the body can need.
    #[error("too many bytes beside the body")]
    ExcessiveOverhead,
    /// The body is longer than the limit.
    #[error("the body is too long")]
    BodyTooLong,
}

impl FramingError {
    /// All forms.
    pub const ALL: [FramingError; 18] = [
        FramingError::InvalidHead,
        FramingError::TransferEncodingWithLength,
        FramingError::TransferEncodingInHttp10,
        FramingError::ChunkedNotLast,
        FramingError::RepeatedChunked,
        FramingError::UnsupportedCoding,
        FramingError::RepeatedLength,
        FramingError::DifferingLengths,
        FramingError::InvalidLength,
        FramingError::Undelimited,
        FramingError::WebSocketUpgrade,
        FramingError::InvalidChunkSize,
        FramingError::ChunkSizeOverflow,
        FramingError::InvalidChunkEnd,
        FramingError::InvalidChunkExtension,
        FramingError::InvalidTrailers,
        FramingError::ExcessiveOverhead,
        FramingError::BodyTooLong,
    ];

    /// The name in the log and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            FramingError::InvalidHead => "invalid_head",
            FramingError::TransferEncodingWithLength => "transfer_encoding_with_length",
            FramingError::TransferEncodingInHttp10 => "transfer_encoding_in_http_1_0",
            FramingError::ChunkedNotLast => "chunked_not_last",
            FramingError::RepeatedChunked => "repeated_chunked",
            FramingError::UnsupportedCoding => "unsupported_coding",
            FramingError::RepeatedLength => "repeated_length",
            FramingError::DifferingLengths => "differing_lengths",
            FramingError::InvalidLength => "invalid_length",
            FramingError::Undelimited => "undelimited",
            FramingError::WebSocketUpgrade => "websocket_upgrade",
            FramingError::InvalidChunkSize => "invalid_chunk_size",
            FramingError::ChunkSizeOverflow => "chunk_size_overflow",
            FramingError::InvalidChunkEnd => "invalid_chunk_end",
            FramingError::InvalidChunkExtension => "invalid_chunk_extension",
            FramingError::InvalidTrailers => "invalid_trailers",
            FramingError::ExcessiveOverhead => "excessive_overhead",
            FramingError::BodyTooLong => "body_too_long",
        }
    }
}

#[cfg(test)]
mod tests;
