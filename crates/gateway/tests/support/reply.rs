//! A request of a caller and its answer.

use std::net::SocketAddr;

use serde_json::Value;

use super::CONDITION_LIMIT;

/// A complete answer to a caller.
pub struct Reply {
    pub status: u16,
    pub headers: actix_http::header::HeaderMap,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    pub fn text(&self) -> String {
        String::from_utf8(self.body.clone()).expect("UTF-8")
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("JSON")
    }

    /// The chunks of a streamed answer.
    pub fn chunks(&self) -> Vec<Value> {
        let text = self.text();
        let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
        data.filter(|data| *data != "[DONE]")
            .map(|data| serde_json::from_str(data).expect("a chunk in JSON"))
            .collect()
    }

    /// The text of a streamed completion.
    pub fn streamed_text(&self) -> String {
        let chunks = self.chunks();
        let texts = chunks.iter().map(|chunk| {
            let choice = &chunk["choices"][0];
            let chat = choice["delta"]["content"].as_str();
            choice["text"]
                .as_str()
                .or(chat)
                .unwrap_or_default()
                .to_owned()
        });
        texts.collect()
    }
}

/// Posts a body and reads the whole answer.
pub async fn post(
    address: SocketAddr,
    path: &str,
    body: Vec<u8>,
    headers: &[(&str, &str)],
) -> Reply {
    let client = awc::Client::builder().timeout(CONDITION_LIMIT).finish();
    let mut request = client.post(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    let mut response = request.send_body(body).await.expect("an answer");
    let status = response.status().as_u16();
    let headers = response.headers().clone();
    let body = response.body().limit(64 << 20).await.expect("a body");
    Reply {
        status,
        headers,
        body: body.to_vec(),
    }
}
