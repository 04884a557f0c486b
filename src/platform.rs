//! HTTP adapter to the platform's interfaces. `docs/PLATFORM.md` describes the assumed formats; a
//! platform with other formats needs another adapter.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use ntex::client;
use ntex::http::{Method, StatusCode};
use ntex::time::Millis;
use ntex::util::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::store::{self, Condition, Failure, ObjectStore};
use crate::{orders, raw_json, set_aside, usage};

/// Timeout for an answer of the platform.
const CALL_MS: u32 = 2_000;
/// Maximum time for which the platform holds a watch (long poll).
pub const WATCH_MS: u32 = 10_000;
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// State of an instance or endpoint in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    Starting,
    Live,
    Leaving,
}

/// One item of the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Id of a daemon or of an endpoint.
    pub id: CompactString,
    pub standing: Standing,
}

/// The platform's list of instances and endpoints, which lags behind their real state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Roster {
    pub revision: u64,
    pub instances: Vec<Instance>,
}

/// An endpoint as the endpoint interface reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLine {
    pub id: CompactString,
    pub service: CompactString,
    pub standing: Standing,
}

/// Endpoints of an availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointList {
    pub endpoints: Vec<EndpointLine>,
}

#[derive(Debug, Deserialize)]
struct Written {
    version: u64,
}

/// The platform, reached by HTTP.
#[derive(Clone, Debug)]
pub struct Platform {
    http: client::Client,
    url: String,
    set_aside: Rc<set_aside::SetAside>,
    log: slog::Logger,
}

/// What a list of the platform holds.
#[derive(Clone, Copy, Debug)]
enum ListKind {
    Objects,
    Instances,
    Endpoints,
}

impl ListKind {
    /// Name of the member that holds the items of a list.
    fn member(self) -> &'static str {
        match self {
            Self::Objects => "objects",
            Self::Instances => "instances",
            Self::Endpoints => "endpoints",
        }
    }

    /// Name of the member that tells an item from the others.
    fn name_member(self) -> &'static str {
        match self {
            Self::Objects => "key",
            Self::Instances | Self::Endpoints => "id",
        }
    }
}

impl Platform {
    /// Creates a client that logs nothing; connections are made on demand.
    ///
    /// # Errors
    /// When the HTTP client cannot be created.
    pub async fn open(url: &str) -> anyhow::Result<Self> {
        let http = client::ClientBuilder::new()
            .response_timeout(Millis(CALL_MS))
            .response_payload_limit(MAX_ANSWER_BYTES)
            .response_payload_timeout(Millis(CALL_MS))
            .connector::<()>(client::Connector::new().limit(64))
            .disable_redirects()
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|error| anyhow::anyhow!("cannot create the HTTP client: {error:?}"))?;
        Ok(Self {
            http,
            url: url.trim_end_matches('/').to_owned(),
            set_aside: Rc::default(),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        })
    }

    /// Returns this client with a log.
    #[must_use]
    pub fn with_log(self, log: slog::Logger) -> Self {
        Self { log, ..self }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: String,
        wait_ms: u32,
    ) -> Result<Option<T>, Failure> {
        let answer = self.call_raw(method, path, body, wait_ms).await?;
        let decode = |bytes: Bytes| serde_json::from_slice(&bytes).map_err(|_| Failure::NoAnswer);
        answer.map(decode).transpose()
    }

    /// Reads a list; returns its revision, if it has one, and its items. Each is decoded by itself: one that cannot be
    /// read is left out.
    async fn read_list<T: DeserializeOwned>(
        &self,
        kind: ListKind,
        path: &str,
        wait_ms: u32,
    ) -> Result<(Option<u64>, Vec<T>), Failure> {
        let body = self.call_raw(Method::GET, path, String::new(), wait_ms).await?;
        let body = body.ok_or(Failure::NoAnswer)?;
        let texts = raw_json::member(&body, kind.member()).and_then(raw_json::elements);
        let texts = texts.ok_or(Failure::NoAnswer)?;
        let revision = raw_json::member(&body, "revision");
        let revision = revision.map(serde_json::from_slice).transpose();
        let items = texts.into_iter().filter_map(|text| self.decode_item(kind, text)).collect();
        Ok((revision.map_err(|_| Failure::NoAnswer)?, items))
    }

    fn decode_item<T: DeserializeOwned>(&self, kind: ListKind, text: &[u8]) -> Option<T> {
        let hash = || xxh3::xxh3_64(raw_json::member(text, kind.name_member()).unwrap_or(text));
        // Decoded whole first: parts that are not used have to be readable as well.
        let decoded = serde_json::from_slice::<serde_json::Value>(text);
        match decoded.and_then(serde_json::from_value) {
            Ok(item) => {
                self.set_aside.remove(kind.member(), hash);
                Some(item)
            }
            Err(error) => {
                if self.set_aside.add(kind.member(), hash()) {
                    let text = set_aside::shortened(&String::from_utf8_lossy(text));
                    slog::warn!(self.log, "object not readable"; "kind" => kind.member(),
                        "text" => text, "error" => set_aside::shortened(&error.to_string()));
                }
                None
            }
        }
    }

    async fn call_raw(
        &self,
        method: Method,
        path: &str,
        body: String,
        wait_ms: u32,
    ) -> Result<Option<Bytes>, Failure> {
        let request = self
            .http
            .request(method, format!("{}{path}", self.url))
            .timeout(Millis(wait_ms))
            .content_type("application/json")
            .send_body(body);
        // The client's own timeout covers only the response head; the outer one includes connecting, so
        // that a platform that accepts and then hangs can't block a caller.
        let outer = Duration::from_millis(u64::from(wait_ms) + 500);
        let response = tokio::time::timeout(outer, request)
            .await
            .map_err(|_| Failure::NoAnswer)?
            .map_err(|error| match error {
            client::error::ClientError::Connect(_) => Failure::Down,
            _ => Failure::NoAnswer,
        })?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::CONFLICT => Err(Failure::Conflict),
            status if status.is_success() => {
                let bytes = tokio::time::timeout(outer, response.body())
                    .await
                    .map_err(|_| Failure::NoAnswer)?
                    .map_err(|_| Failure::NoAnswer)?;
                Ok(Some(bytes))
            }
            StatusCode::SERVICE_UNAVAILABLE => Err(Failure::Down),
            _ => Err(Failure::NoAnswer),
        }
    }

    /// As `call`, but a missing object counts as no answer.
    async fn call_required<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: String,
        wait_ms: u32,
    ) -> Result<T, Failure> {
        self.call(method, path, body, wait_ms).await?.ok_or(Failure::NoAnswer)
    }

    /// Waits for changes under a prefix after a revision; returns an empty listing on timeout.
    ///
    /// # Errors
    /// When the store is down or gives no answer.
    pub async fn watch(&self, prefix: &str, after: u64) -> Result<store::Listing, Failure> {
        let prefix = encode_key(prefix);
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={WATCH_MS}");
        self.read_listing(&path, WATCH_MS + CALL_MS).await
    }

    async fn read_listing(&self, path: &str, wait_ms: u32) -> Result<store::Listing, Failure> {
        let (revision, objects) = self.read_list(ListKind::Objects, path, wait_ms).await?;
        Ok(store::Listing { revision: revision.ok_or(Failure::NoAnswer)?, objects })
    }

    /// Reads the lagging list of instances and endpoints.
    ///
    /// # Errors
    /// When the platform is down or gives no answer.
    pub async fn roster(&self) -> Result<Roster, Failure> {
        let (revision, instances) =
            self.read_list(ListKind::Instances, "/instances", CALL_MS).await?;
        Ok(Roster { revision: revision.ok_or(Failure::NoAnswer)?, instances })
    }

    /// Reads the endpoints of an availability zone.
    ///
    /// # Errors
    /// When the platform is down or gives no answer.
    pub async fn endpoints(&self, zone: &str) -> Result<EndpointList, Failure> {
        let path = format!("/endpoints/{}", store::encode_name(zone));
        let (_, endpoints) = self.read_list(ListKind::Endpoints, &path, CALL_MS).await?;
        Ok(EndpointList { endpoints })
    }

    /// Sends an order for endpoints of a zone; its timeout is the time limit of orders.
    ///
    /// # Errors
    /// `Conflict` when the platform has seen a higher fencing token.
    pub async fn order(&self, zone: &str, order: &orders::Order) -> Result<(), Failure> {
        let body = serde_json::to_string(order).map_err(|_| Failure::Down)?;
        let path = format!("/endpoints/{}/orders", store::encode_name(zone));
        let _: serde_json::Value =
            self.call_required(Method::POST, &path, body, orders::SEND_TIMEOUT_MS as u32).await?;
        Ok(())
    }

    /// Reports a sealed billing window.
    ///
    /// # Errors
    /// `Conflict` when the window was already reported with other figures.
    pub async fn report(&self, report: &usage::Report) -> Result<(), Failure> {
        let body = serde_json::to_string(report).map_err(|_| Failure::Down)?;
        let _: serde_json::Value =
            self.call_required(Method::POST, "/usage", body, CALL_MS).await?;
        Ok(())
    }
}

/// Encodes the segments of a key.
fn encode_key(key: &str) -> String {
    let segments = key.split('/').map(|segment| store::encode_name(segment).to_string());
    segments.collect::<Vec<String>>().join("/")
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", encode_key(key))
}

impl ObjectStore for Platform {
    async fn get(&self, key: &str) -> Result<Option<store::Object>, Failure> {
        self.call(Method::GET, &object_path(key), String::new(), CALL_MS).await
    }

    async fn put(&self, key: &str, value: String, condition: Condition) -> Result<u64, Failure> {
        let version = match condition {
            Condition::Absent => 0,
            Condition::Version(version) => version,
        };
        let path = format!("{}?if_version={version}", object_path(key));
        let written: Written = self.call_required(Method::PUT, &path, value, CALL_MS).await?;
        Ok(written.version)
    }

    async fn delete(&self, key: &str, version: u64) -> Result<(), Failure> {
        let path = format!("{}?if_version={version}", object_path(key));
        let _: serde_json::Value =
            self.call_required(Method::DELETE, &path, String::new(), CALL_MS).await?;
        Ok(())
    }

    async fn list(&self, prefix: &str) -> Result<store::Listing, Failure> {
        let path = format!("/list?prefix={}", encode_key(prefix));
        self.read_listing(&path, CALL_MS).await
    }
}
