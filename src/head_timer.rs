//! The HTTP server's timer for the head of a request.

use ntex::web::HttpRequest;

/// Stops the timer once the head has arrived.
///
/// The server leaves it running. If it expires while a stream is sent, the connection closes after the stream, and the
/// caller's next request on it is lost.
pub fn stop(http: &HttpRequest) {
    if let Some(io) = http.io() {
        io.stop_timer();
    }
}
