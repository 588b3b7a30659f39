//! The callers' listening socket, where the platform owns it and each process inherits it.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, OwnedFd, RawFd};

use socket2::SockRef;

/// Why an inherited descriptor is not the socket that callers connect to.
#[derive(Debug, thiserror::Error)]
pub enum InheritedError {
    #[error("'{0}' is not a descriptor number")]
    InvalidNumber(String),
    #[error("descriptor {0}: {1}")]
    Unusable(RawFd, io::Error),
    #[error("descriptor {0} is not a listening TCP socket")]
    NotListening(RawFd),
    #[error("descriptor {0} listens on {1}, not on {2}")]
    Elsewhere(RawFd, SocketAddr, SocketAddr),
}

/// Duplicates the inherited descriptor `number` as a listener.
///
/// # Errors
/// The number is not that of a TCP socket that listens on `address`.
pub fn listener(number: &str, address: SocketAddr) -> Result<TcpListener, InheritedError> {
    let number: RawFd = match number.parse() {
        // The first three are standard input, output and error.
        Ok(number @ 3..) => number,
        _ => return Err(InheritedError::InvalidNumber(number.escape_debug().to_string())),
    };
    let unusable = |error| InheritedError::Unusable(number, error);
    let descriptor = duplicate(number).map_err(unusable)?;
    let listens = SockRef::from(&descriptor).is_listener().unwrap_or(false);
    let listener = TcpListener::from(descriptor);
    let bound = listener.local_addr().ok().filter(|_| listens).ok_or(InheritedError::NotListening(number))?;
    if bound != address {
        return Err(InheritedError::Elsewhere(number, bound, address));
    }
    listener.set_nonblocking(true).map_err(unusable)?;
    Ok(listener)
}

/// Duplicates a descriptor; an error where it is not open.
#[allow(unsafe_code)]
fn duplicate(number: RawFd) -> io::Result<OwnedFd> {
    // SAFETY: the borrow ends with this line and is only duplicated, which the system rejects where the
    // descriptor is not open. Nothing in this process closes a descriptor that it did not open.
    unsafe { BorrowedFd::borrow_raw(number) }.try_clone_to_owned()
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::fd::AsRawFd;

    #[test]
    fn only_a_listening_socket_at_the_address_is_accepted() {
        let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("bound");
        let number = socket.as_raw_fd().to_string();
        let taken = listener(&number, address).expect("it is the one");
        assert_eq!(taken.local_addr().expect("bound"), address);
        let other = SocketAddr::from(([127, 0, 0, 1], 1));
        let file = std::fs::File::open("/dev/null").expect("there");
        let peer = std::net::TcpStream::connect(address).expect("it listens");
        let said = |number: &str, address| listener(number, address).expect_err("bad").to_string();
        assert_eq!(said(&number, other), format!("descriptor {number} listens on {address}, not on {other}"));
        for fd in [file.as_raw_fd(), peer.as_raw_fd()] {
            assert_eq!(
                said(&fd.to_string(), address),
                format!("descriptor {fd} is not a listening TCP socket")
            );
        }
        assert_eq!(said("4x", address), "'4x' is not a descriptor number");
        assert_eq!(said("1", address), "'1' is not a descriptor number");
        assert!(said("1000000", address).starts_with("descriptor 1000000: "));
    }
}
