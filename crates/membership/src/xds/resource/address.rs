//! Reads the address of an endpoint.

use super::problem::{InvalidField, Problem};
use envoy_types::pb::envoy::config::core::v3::address::Address as AddressKind;
use envoy_types::pb::envoy::config::core::v3::socket_address::{PortSpecifier, Protocol};
use envoy_types::pb::envoy::config::core::v3::{Address, SocketAddress};
use std::net::{IpAddr, SocketAddr};

/// Reads a TCP socket address with a numeric IP address. The field in an error is relative to the address.
/// Host names and Unix domain sockets are not supported.
pub(super) fn socket_address(address: Option<&Address>) -> Result<SocketAddr, InvalidField> {
    let unsupported_kind = |found: &str| {
        let hint = "use socket_address";
        field_error("", Problem::Unsupported { found: found.to_owned(), hint })
    };
    match address.map(|address| address.address.as_ref()) {
        None | Some(None) => Err(field_error("", Problem::Missing(""))),
        Some(Some(AddressKind::SocketAddress(socket))) => ip_socket_address(socket),
        Some(Some(AddressKind::Pipe(_))) => Err(unsupported_kind("a pipe")),
        Some(Some(AddressKind::EnvoyInternalAddress(_))) => Err(unsupported_kind("an internal listener")),
    }
}

fn ip_socket_address(socket: &SocketAddress) -> Result<SocketAddr, InvalidField> {
    let unsupported = |found: String, hint| Problem::Unsupported { found, hint };
    if socket.protocol != Protocol::Tcp as i32 {
        let found = match socket.protocol() {
            Protocol::Udp => "UDP".to_owned(),
            _ => format!("protocol {}", socket.protocol),
        };
        return Err(field_error(
            ".socket_address.protocol",
            unsupported(found, "requests are sent over TCP"),
        ));
    }
    if !socket.resolver_name.is_empty() {
        let found = format!("resolver {:?}", socket.resolver_name);
        return Err(field_error(".socket_address.resolver_name", unsupported(found, "use an IP address")));
    }
    let ip: IpAddr = socket.address.parse().map_err(|_| {
        let found = format!("host name {:?}", socket.address);
        field_error(
            ".socket_address.address",
            unsupported(found, "use an IP address, names are not resolved"),
        )
    })?;
    let port = match &socket.port_specifier {
        Some(PortSpecifier::PortValue(port)) => u16::try_from(*port).map_err(|_| {
            let found = format!("port {port}");
            field_error(".socket_address.port_value", unsupported(found, "a port must be from 1 to 65535"))
        })?,
        Some(PortSpecifier::NamedPort(name)) => {
            let found = format!("the named port {name:?}");
            return Err(field_error(".socket_address.named_port", unsupported(found, "use port_value")));
        }
        None => return Err(field_error(".socket_address.port_value", Problem::Missing(""))),
    };
    Ok(SocketAddr::new(ip, port))
}

/// Returns an error about a field below the address.
fn field_error(field: &str, problem: Problem) -> InvalidField {
    InvalidField { field: field.to_owned(), problem }
}
