"""The Lambda Invoke API (2015-03-31) over HTTP/1.1, with extensions such as `GET /deferred/{id}`."""
