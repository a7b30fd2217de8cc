mod bind;
mod request;
mod shutdown;
