//! Responses that belong to other calls, and arrive in the place of the one that is due.

use std::time::Duration;

use actix_codec::Decoder as _;
use actix_http::ResponseHead;
use actix_http::h1::{ClientCodec, MessageType};

use crate::connection::{Connection, ReceivedHead};
use crate::error::SendError;
use crate::response::{has_connection_close, is_close_delimited};

/// Number of stray responses that are skipped for one call.
const MAX_STRAY_RESPONSES: usize = 8;

/// Bytes of their bodies that are skipped for one call. They are not held.
const MAX_STRAY_BYTES: usize = 1 << 20;

/// Time from the first stray response to the call's own, which may not come: an engine may send another's in its stead.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Skips the responses that do not belong to the call according to `is_own`, until one does. Returns that one, and the number of those
/// skipped.
pub(crate) async fn skip_stray_responses(
    connection: &mut Connection,
    received: ReceivedHead,
    mut is_own: impl FnMut(&ResponseHead) -> bool,
) -> Result<(ReceivedHead, usize), SendError> {
    if is_own(&received.head) {
        return Ok((received, 0));
    }
    let own = receive_own(connection, received, is_own);
    let in_time = tokio::time::timeout(MAX_WAIT, own).await;
    in_time.unwrap_or_else(|_| Err(stray("only a response to another call")))
}

/// Skips `received` and those after it, until the call's own response.
async fn receive_own(
    connection: &mut Connection,
    mut received: ReceivedHead,
    mut is_own: impl FnMut(&ResponseHead) -> bool,
) -> Result<(ReceivedHead, usize), SendError> {
    let mut bytes_left = MAX_STRAY_BYTES;
    for skipped in 1..=MAX_STRAY_RESPONSES {
        let codec = skip_body(connection, received, &mut bytes_left).await?;
        received = connection.receive_head(codec, true).await?;
        if is_own(&received.head) {
            return Ok((received, skipped));
        }
    }
    Err(stray("too many responses to other calls"))
}

/// Reads a body to its end, which its length or chunks mark.
async fn skip_body(
    connection: &mut Connection,
    received: ReceivedHead,
    bytes_left: &mut usize,
) -> Result<ClientCodec, SendError> {
    let ReceivedHead { head, codec, .. } = received;
    let is_last = has_connection_close(&head.headers) || !codec.keep_alive();
    if is_last || is_close_delimited(&head) {
        return Err(stray("a response to another call ends the connection"));
    }
    if codec.message_type() == MessageType::None {
        return Ok(codec);
    }
    let mut codec = codec.into_payload_codec();
    loop {
        let decoded = codec.decode(&mut connection.received);
        match decoded.map_err(|error| stray(&error.to_string()))? {
            Some(Some(chunk)) => {
                let left = bytes_left.checked_sub(chunk.len());
                *bytes_left =
                    left.ok_or_else(|| stray("a response to another call is too long"))?;
            }
            Some(None) => return Ok(codec.into_message_codec()),
            None => match connection.read_more().await {
                Ok(0) => return Err(stray("a response to another call is incomplete")),
                Ok(_) => {}
                Err(error) => return Err(stray(&error.to_string())),
            },
        }
    }
}

fn stray(message: &str) -> SendError {
    SendError::StrayResponse(message.to_owned())
}
