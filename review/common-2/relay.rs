//! A relay in front of a control host's peer port, through which all hosts reach it. It can cut off one
//! host: what that host sends, and what is sent to it, is held back until the cut ends.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often a blocked direction looks whether the cut has ended.
const POLL: Duration = Duration::from_millis(20);
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// The host that is cut off from all control hosts, if one is.
pub type CutOff = Arc<Mutex<Option<Ipv4Addr>>>;

pub fn start(listen: SocketAddr, to: SocketAddr, cut_off: &CutOff) -> std::io::Result<()> {
    let tcp = TcpListener::bind(listen)?;
    let udp = UdpSocket::bind(listen)?;
    let cut = cut_off.clone();
    thread::spawn(move || {
        for stream in tcp.incoming().flatten() {
            let cut = cut.clone();
            thread::spawn(move || relay_connection(stream, to, &cut));
        }
    });
    let cut = cut_off.clone();
    thread::spawn(move || relay_datagrams(&udp, to, &cut));
    Ok(())
}

fn is_cut(cut_off: &CutOff, host: Option<Ipv4Addr>) -> bool {
    host.is_some() && *cut_off.lock().unwrap() == host
}

/// The first frame of a connection: its length, then the message that opens it.
fn read_first_frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut frame = length.to_vec();
    frame.resize(4 + u32::from_be_bytes(length) as usize, 0);
    stream.read_exact(&mut frame[4..]).ok()?;
    Some(frame)
}

/// A host's number as the opening message holds it: its address, seven bits to a byte.
fn encoded(host: Ipv4Addr) -> Vec<u8> {
    let mut number = u32::from(host);
    let mut bytes = Vec::new();
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
    bytes
}

fn relay_connection(mut opener: TcpStream, to: SocketAddr, cut_off: &CutOff) {
    let Some(first) = read_first_frame(&mut opener) else { return };
    let names = |host: &Ipv4Addr| {
        let number = encoded(*host);
        first.windows(number.len()).any(|bytes| bytes == number)
    };
    // Whose connection it is matters only while that host is cut off, or will be.
    let cut = cut_off.clone();
    let of_host: Arc<dyn Fn() -> bool + Send + Sync> = {
        let first = first.clone();
        Arc::new(move || {
            let host = *cut.lock().unwrap();
            host.is_some_and(|host| {
                let number = encoded(host);
                first.windows(number.len()).any(|bytes| bytes == number)
            })
        })
    };
    let host = *cut_off.lock().unwrap();
    while host.as_ref().is_some_and(names) && is_cut(cut_off, host) {
        thread::sleep(POLL);
    }
    let Ok(mut target) = TcpStream::connect(to) else { return };
    let _ = opener.set_nodelay(true);
    let _ = target.set_nodelay(true);
    if target.write_all(&first).is_err() {
        return;
    }
    let (Ok(from_opener), Ok(from_target)) = (opener.try_clone(), target.try_clone()) else { return };
    let held = of_host.clone();
    let back = thread::spawn(move || pump(from_target, opener, &*held));
    pump(from_opener, target, &*of_host);
    let _ = back.join();
}

fn pump(mut from: TcpStream, mut to: TcpStream, is_held: &dyn Fn() -> bool) {
    let mut buffer = [0; 16 << 10];
    loop {
        let read = match from.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(read) => read,
        };
        while is_held() {
            thread::sleep(POLL);
        }
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    while is_held() {
        thread::sleep(POLL);
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Relays datagrams, each sender's through a socket of its own, so that answers find their way back.
fn relay_datagrams(listener: &UdpSocket, to: SocketAddr, cut_off: &CutOff) {
    let mut sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (size, from) = match listener.recv_from(&mut buffer) {
            Ok(received) => received,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => continue,
            Err(_) => return,
        };
        let SocketAddr::V4(sender) = from else { continue };
        let host = Some(*sender.ip());
        let socket = match sockets.get(&from) {
            Some(socket) => socket.clone(),
            None => {
                let Ok(socket) = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)) else { continue };
                let socket = Arc::new(socket);
                let Ok(back) = listener.try_clone() else { continue };
                let (answers, cut) = (socket.clone(), cut_off.clone());
                thread::spawn(move || {
                    let mut buffer = [0; MAX_DATAGRAM_BYTES];
                    loop {
                        match answers.recv_from(&mut buffer) {
                            Ok((size, _)) if !is_cut(&cut, host) => {
                                let _ = back.send_to(&buffer[..size], from);
                            }
                            Ok(_) | Err(_) => {}
                        }
                    }
                });
                sockets.insert(from, socket.clone());
                socket
            }
        };
        if !is_cut(cut_off, host) {
            let _ = socket.send_to(&buffer[..size], to);
        }
    }
}

/// Time between two calls that were held back, which arrive in the order in which they were sent.
const RELEASE_PAUSE: Duration = Duration::from_millis(40);

/// Whether calls through a relay of [`start_delaying`] are held back.
pub type Held = Arc<Mutex<bool>>;

/// Relays calls of a replica to a control host. While they are held, a call is kept, also once its
/// sender has given up waiting, and delivered afterwards, as a network does that was cut for a while.
pub fn start_delaying(listen: SocketAddr, to: SocketAddr, held: &Held) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let held = held.clone();
    thread::spawn(move || {
        let mut calls_held = 0;
        for stream in listener.incoming().flatten() {
            let is_held = *held.lock().unwrap();
            let place = if is_held { calls_held } else { 0 };
            calls_held += u32::from(is_held);
            let held = held.clone();
            thread::spawn(move || {
                let _ = relay_call(stream, to, &held, RELEASE_PAUSE * place);
            });
        }
    });
    Ok(address)
}

fn relay_call(mut from: TcpStream, to: SocketAddr, held: &Held, pause: Duration) -> std::io::Result<()> {
    let mut call = Vec::new();
    let mut buffer = [0; 16 << 10];
    from.set_read_timeout(Some(POLL))?;
    loop {
        let read = from.read(&mut buffer);
        if let Ok(read) = read {
            call.extend_from_slice(&buffer[..read]);
        }
        let is_held = *held.lock().unwrap();
        if !is_held && is_whole(&call) {
            break;
        }
        if matches!(read, Ok(0)) {
            // The sender has given up.
            if !is_whole(&call) {
                return Ok(());
            }
            thread::sleep(POLL);
        }
    }
    thread::sleep(pause);
    let mut target = TcpStream::connect(to)?;
    target.write_all(&call)?;
    target.set_read_timeout(Some(Duration::from_secs(1)))?;
    let mut answer = Vec::new();
    // The sender asks for the connection to be closed after the answer.
    let _ = target.read_to_end(&mut answer);
    from.write_all(&answer)?;
    Ok(())
}

fn is_whole(call: &[u8]) -> bool {
    let Some(end) = call.windows(4).position(|four| four == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&call[..end]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|text| text.trim().parse::<usize>().ok()).unwrap_or(0);
    call.len() >= end + 4 + length
}
