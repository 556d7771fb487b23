//! Scripted engines.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Timeout for a connection within this machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);

/// Handles one request, given its head and the connection.
pub type Script = fn(&str, &mut TcpStream);

/// An engine that answers each request by `script`, on its own thread.
pub struct TestEngine {
    /// Its listen address.
    pub address: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
    connections: Connections,
}

/// The open connections of an engine; `None` after a crash.
type Connections = Arc<Mutex<Option<Vec<TcpStream>>>>;

impl TestEngine {
    /// Starts an engine.
    pub fn start(script: Script) -> Self {
        Self::start_limited(script, usize::MAX, Duration::ZERO)
    }

    /// Starts an engine that resets connections beyond `max_connections` after `reset_delay`.
    pub fn start_limited(script: Script, max_connections: usize, reset_delay: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        Self::start_on(listener, script, max_connections, reset_delay)
    }

    /// Starts an engine at the address of one that has crashed.
    pub fn start_at(address: SocketAddr, script: Script) -> Self {
        let listener = TcpListener::bind(address).expect("the former engine's port");
        Self::start_on(listener, script, usize::MAX, Duration::ZERO)
    }

    fn start_on(
        listener: TcpListener,
        script: Script,
        max_connections: usize,
        reset_delay: Duration,
    ) -> Self {
        let address = listener.local_addr().expect("an address");
        let heads = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&heads);
        let connections: Connections = Arc::new(Mutex::new(Some(Vec::new())));
        let open = Arc::clone(&connections);
        let places = Arc::new(());
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let Some(connections) = &mut *open.lock().expect("no panic") else {
                    return;
                };
                if Arc::strong_count(&places) > max_connections {
                    thread::spawn(move || {
                        thread::sleep(reset_delay);
                        reset(stream);
                    });
                    continue;
                }
                connections.push(stream.try_clone().expect("a second handle"));
                let (seen, place) = (Arc::clone(&seen), Arc::clone(&places));
                thread::spawn(move || {
                    serve(stream, script, &seen);
                    drop(place);
                });
            }
        });
        Self {
            address,
            heads,
            connections,
        }
    }

    /// Simulates the end of a process whose connections close `delay` before its listener.
    pub fn end_connections_first(&self, delay: Duration) {
        let connections = self.connections.lock().expect("no panic");
        for connection in connections.iter().flatten() {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        drop(connections);
        thread::sleep(delay);
        self.crash();
    }

    /// Simulates a crash: closes the connections and the listener.
    pub fn crash(&self) {
        let connections = self.connections.lock().expect("no panic").take();
        // The accepting thread exits on the next connection.
        while !self.refuses() {}
        for connection in connections.into_iter().flatten() {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Whether the listener is closed. Uses a short timeout: if the listener closes during the connection
    /// attempt, the kernel retries after a second, which would block the node on this thread.
    fn refuses(&self) -> bool {
        match TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT) {
            Err(error) => error.kind() == ErrorKind::ConnectionRefused,
            Ok(_) => false,
        }
    }

    /// Whether [`Self::crash`] was called.
    pub fn has_crashed(&self) -> bool {
        self.connections.lock().expect("no panic").is_none()
    }

    /// Number of accepted connections.
    pub fn accepted(&self) -> usize {
        let connections = self.connections.lock().expect("no panic");
        connections.as_ref().map_or(0, Vec::len)
    }

    /// Heads of the received requests.
    pub fn heads(&self) -> Vec<String> {
        self.heads.lock().expect("no panic").clone()
    }
}

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    let socket = socket2::SockRef::from(&stream);
    socket.set_linger(Some(Duration::ZERO)).expect("linger");
    drop(stream);
}

fn serve(mut stream: TcpStream, script: Script, seen: &Mutex<Vec<String>>) {
    while let Some(head) = read_head(&mut stream) {
        seen.lock().expect("no panic").push(head.clone());
        script(&head, &mut stream);
    }
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut read = Vec::new();
    let mut byte = [0_u8; 1];
    while !read.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        read.push(byte[0]);
    }
    String::from_utf8(read).ok()
}

/// The request id in a request's head.
pub fn id_of(head: &str) -> String {
    let line = head.lines().find_map(|line| line.strip_prefix("x-id: "));
    line.unwrap_or_default().to_owned()
}

/// Writes an answer with `content-length`.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}");
    // The node may have closed the connection.
    let _ = stream.write_all(text.as_bytes());
}

/// Answers successfully.
pub fn succeeding(head: &str, stream: &mut TcpStream) {
    answer(
        stream,
        "200 OK",
        &format!("x-id: {}\r\n", id_of(head)),
        "whole",
    );
}

/// Refuses the request for lack of capacity.
pub fn refusing(head: &str, stream: &mut TcpStream) {
    let headers = format!("x-id: {}\r\nx-refused: 1\r\n", id_of(head));
    answer(stream, "503 Service Unavailable", &headers, "");
}
