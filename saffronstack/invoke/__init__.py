"""The invoke front: AWS Lambda's Invoke API of 2015-03-31 over HTTP/1.1, and our `GET /deferred/{id}`."""
