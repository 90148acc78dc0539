// Replaces undici by the part that the daemon uses; not loading its fetch, mocks and caches makes the daemon start faster.
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js')
const Agent = require('../node_modules/undici/lib/dispatcher/agent.js')
const Pool = require('../node_modules/undici/lib/dispatcher/pool.js')
const api = require('../node_modules/undici/lib/api/index.js')
const buildConnector = require('../node_modules/undici/lib/core/connect.js')
const { parseURL } = require('../node_modules/undici/lib/core/util.js')

Object.assign(Dispatcher.prototype, api)

exports.Agent = Agent
exports.Pool = Pool
exports.buildConnector = buildConnector
exports.request = function request (url, { dispatcher, ...options }) {
  const { origin, pathname, search } = parseURL(url)
  return api.request.call(dispatcher, { ...options, origin, path: pathname + search })
}
