//! xDS: resources, conversations line by line, files, random faults, and the shell on loopback.

mod faults;
mod file;
mod harness;
mod random;
mod resource;
mod session;
mod transport;
