//! Lines of the platform's protocol, and sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

/// The value of a field in a line, text or number; the first one of this name.
pub fn field(line: &str, name: &str) -> Option<String> {
    let at = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = line[at..].trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        let mut end = 0;
        let bytes = text.as_bytes();
        while end < bytes.len() && bytes[end] != b'"' {
            end += if bytes[end] == b'\\' { 2 } else { 1 };
        }
        return Some(text[..end.min(text.len())].to_string());
    }
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    Some(rest[..end].trim().to_string())
}

pub fn op(line: &str) -> String {
    field(line, "op").unwrap_or_default()
}

pub fn call(line: &str) -> String {
    field(line, "call").unwrap_or_default()
}

pub fn send(mut stream: &TcpStream, line: &str) -> bool {
    stream.write_all(format!("{line}\n").as_bytes()).is_ok()
}

/// Calls `each` with every line until the connection ends.
pub fn lines(stream: &TcpStream, mut each: impl FnMut(&str)) {
    let Ok(reading) = stream.try_clone() else { return };
    for line in BufReader::new(reading).lines() {
        match line {
            Ok(line) => each(&line),
            Err(_) => return,
        }
    }
}

pub fn listen(address: &str) -> TcpListener {
    TcpListener::bind(address).unwrap_or_else(|error| panic!("{address}: {error}"))
}

/// A loopback address with a port that is free now.
pub fn free_address(host: &str) -> String {
    listen(&format!("{host}:0")).local_addr().expect("bound").to_string()
}

pub fn dial(address: &str) -> Option<TcpStream> {
    let address = address.parse().expect("an address");
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    Some(stream)
}

extern "C" {
    fn dup2(from: i32, to: i32) -> i32;
    fn fcntl(descriptor: i32, command: i32, flags: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

const F_SETFD: i32 = 2;

/// Has the next program of this process hold a descriptor under this number.
pub fn inherit(descriptor: i32, number: i32) -> io::Result<()> {
    // SAFETY: the descriptor is open; `number` is used by nobody after this.
    let done = unsafe {
        if descriptor == number {
            fcntl(number, F_SETFD, 0)
        } else {
            dup2(descriptor, number)
        }
    };
    if done < 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(())
}

/// Has the close of this socket reset its connection.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1i32, 0];
    // SAFETY: the socket is open, and `linger` has the layout of the C structure of two ints.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
