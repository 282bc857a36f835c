/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`test/integration.path.test.ts > TAP > a request and a change go the whole way > the session 1`] = `
Array [
  Object {
    "body": Object {
      "error": "notConfigured",
      "message": "The instance has no configuration yet.",
      "outcome": "not-executed",
      "retry": "otherInstance",
    },
    "error": "notConfigured",
    "isWhole": true,
    "outcome": "not-executed",
    "retry": "otherInstance",
    "status": 503,
    "step": "before any configuration",
  },
  Object {
    "body": Object {
      "bytes": 0,
      "echo": "mine",
      "method": "GET",
      "path": "/read/42?week=9",
    },
    "error": undefined,
    "isWhole": true,
    "outcome": "executed",
    "retry": undefined,
    "status": 200,
    "step": "read",
  },
  Object {
    "body": Object {
      "bytes": 13,
      "method": "POST",
      "path": "/orders",
    },
    "error": undefined,
    "isWhole": true,
    "outcome": "executed",
    "retry": undefined,
    "status": 200,
    "step": "order, through an instance that does not own its key",
  },
  Object {
    "body": Object {
      "bytes": 13,
      "method": "POST",
      "path": "/orders",
    },
    "error": undefined,
    "isWhole": true,
    "outcome": "executed",
    "retry": undefined,
    "status": 200,
    "step": "the same order again",
  },
  Object {
    "body": Object {
      "error": "orderKeyMissing",
      "message": "The route needs an order key and the request has none.",
      "outcome": "not-executed",
      "retry": "no",
    },
    "error": "orderKeyMissing",
    "isWhole": true,
    "outcome": "not-executed",
    "retry": "no",
    "status": 400,
    "step": "an order without a key",
  },
  Object {
    "body": Object {
      "error": "routeNotFound",
      "message": "no route matches GET /elsewhere",
      "outcome": "not-executed",
      "retry": "no",
    },
    "error": "routeNotFound",
    "isWhole": true,
    "outcome": "not-executed",
    "retry": "no",
    "status": 404,
    "step": "no such route",
  },
  Object {
    "body": Object {
      "bytes": 20971520,
      "sha256": "10343fa44ea2111440a575788bcb74296eeddf42896e9f2b08a43c2441081322",
    },
    "error": undefined,
    "isWhole": true,
    "outcome": "executed",
    "retry": undefined,
    "status": 200,
    "step": "download",
  },
  Object {
    "body": Object {
      "error": "featureRetired",
      "message": "the feature reading is retired",
      "outcome": "not-executed",
      "retry": "no",
    },
    "error": "featureRetired",
    "isWhole": true,
    "outcome": "not-executed",
    "retry": "no",
    "status": 410,
    "step": "a retired feature at i1",
  },
  Object {
    "body": Object {
      "error": "featureRetired",
      "message": "the feature reading is retired",
      "outcome": "not-executed",
      "retry": "no",
    },
    "error": "featureRetired",
    "isWhole": true,
    "outcome": "not-executed",
    "retry": "no",
    "status": 410,
    "step": "a retired feature at i2",
  },
  Object {
    "body": Object {
      "error": "featureRetired",
      "message": "the feature reading is retired",
      "outcome": "not-executed",
      "retry": "no",
    },
    "error": "featureRetired",
    "isWhole": true,
    "outcome": "not-executed",
    "retry": "no",
    "status": 410,
    "step": "a retired feature at i3",
  },
]
`
