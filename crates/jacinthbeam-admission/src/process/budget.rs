//! How many attempts beyond the first one a service may cost: a token bucket.

/// What can be tuned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Tokens that each new request brings; a repeated attempt costs one.
    pub per_request: f64,
    /// Most tokens kept, which bounds the burst of retries after a quiet time.
    pub most: f64,
    /// Tokens at the start.
    pub initial: f64,
}

impl Default for Options {
    /// At most `initial + 0.08 n` retries for `n` requests: 1.1 attempts a request or fewer from the hundredth request on.
    fn default() -> Self {
        Self { per_request: 0.08, most: 10.0, initial: 2.0 }
    }
}

/// Retry budget of one service on one entry host.
///
/// Without it an outage multiplies the load: every request in progress is tried again and again, and the backend servers that come back drown in retries.
#[derive(Debug, Clone)]
pub struct Budget {
    options: Options,
    tokens: f64,
}

impl Budget {
    /// A budget with its initial tokens.
    pub fn new(options: Options) -> Self {
        Self { tokens: options.initial.min(options.most), options }
    }

    /// Counts a new request, not its retries.
    pub fn request(&mut self) {
        self.tokens = (self.tokens + self.options.per_request).min(self.options.most);
    }

    /// Takes a token for a retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Tokens left.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
