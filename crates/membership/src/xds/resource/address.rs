//! The address of an endpoint.

use super::problem::{BadField, Problem};
use envoy_types::pb::envoy::config::core::v3::address::Address as Form;
use envoy_types::pb::envoy::config::core::v3::socket_address::{PortSpecifier, Protocol};
use envoy_types::pb::envoy::config::core::v3::{Address, SocketAddress};
use std::net::{IpAddr, SocketAddr};

/// A socket address over TCP, by number; the fault names the field below the address. Nothing here resolves names or
/// speaks over pipes.
pub(super) fn socket_address(address: Option<&Address>) -> Result<SocketAddr, BadField> {
    let only = |found: &str| {
        let instead = "give a socket_address";
        fault("", Problem::Unsupported { found: found.to_owned(), instead })
    };
    match address.map(|address| address.address.as_ref()) {
        None | Some(None) => Err(fault("", Problem::Missing(""))),
        Some(Some(Form::SocketAddress(socket))) => by_number(socket),
        Some(Some(Form::Pipe(_))) => Err(only("a pipe")),
        Some(Some(Form::EnvoyInternalAddress(_))) => Err(only("an internal listener")),
    }
}

fn by_number(socket: &SocketAddress) -> Result<SocketAddr, BadField> {
    let unsupported = |found: String, instead| Problem::Unsupported { found, instead };
    if socket.protocol != Protocol::Tcp as i32 {
        let found = match socket.protocol() {
            Protocol::Udp => "UDP".to_owned(),
            _ => format!("protocol {}", socket.protocol),
        };
        return Err(fault(".socket_address.protocol", unsupported(found, "requests go over TCP")));
    }
    if !socket.resolver_name.is_empty() {
        let found = format!("resolver {:?}", socket.resolver_name);
        return Err(fault(".socket_address.resolver_name", unsupported(found, "give an IP address")));
    }
    let ip: IpAddr = socket.address.parse().map_err(|_| {
        let found = format!("{:?}, which is no IP address,", socket.address);
        fault(".socket_address.address", unsupported(found, "names are not resolved here"))
    })?;
    let port = match &socket.port_specifier {
        Some(PortSpecifier::PortValue(port)) => u16::try_from(*port).map_err(|_| {
            let found = format!("port {port}");
            fault(".socket_address.port_value", unsupported(found, "a port is from 1 to 65535"))
        })?,
        Some(PortSpecifier::NamedPort(name)) => {
            let found = format!("the named port {name:?}");
            return Err(fault(".socket_address.named_port", unsupported(found, "give a port_value")));
        }
        None => return Err(fault(".socket_address.port_value", Problem::Missing(""))),
    };
    Ok(SocketAddr::new(ip, port))
}

/// What is wrong with a field below the address.
fn fault(field: &str, problem: Problem) -> BadField {
    BadField { field: field.to_owned(), problem }
}
