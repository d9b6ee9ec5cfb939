//! Tests of xDS resources, sessions, files, random faults, and the transport on loopback.

mod faults;
mod file;
mod harness;
mod random;
mod resource;
mod session;
mod transport;
