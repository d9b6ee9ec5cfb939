//! The lab on sockets: stand-ins, load, proxies as children. Needs loopback, and the program `olivecart`,
//! which is built where it is missing.

mod common;
mod fleet;
mod peers;
mod stage;
